package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// planScaleOut groups the machines that the plan would rent by offer, and adds a scale-out for each offer.
func (pl *planner) planScaleOut() {
	indexByOffer := make(map[Offer]int)
	for _, m := range pl.pool.added {
		offer := Offer{m.Type, m.Zone, m.Spot}
		i, known := indexByOffer[offer]
		if !known {
			i = len(pl.plan.ScaleOuts)
			indexByOffer[offer] = i
			pl.plan.ScaleOuts = append(pl.plan.ScaleOuts, ScaleOut{Offer: offer, QueuePosition: m.queuePosition})
		}
		scaleOut := &pl.plan.ScaleOuts[i]
		scaleOut.Count++
		scaleOut.QueuePosition = min(scaleOut.QueuePosition, m.queuePosition)
	}
}

// planScaleIn returns machines that have been idle for longer than IdleTimeout, unless the next
// service to be submitted would then find no capacity.
func (pl *planner) planScaleIn() {
	for _, m := range pl.Machines {
		idle := m.Usable && !m.usedByPlan && len(m.Tasks) == 0 && m.IdleFor > pl.IdleTimeout
		if idle && pl.servicesStillFit(m) {
			m.Usable = false
			pl.plan.ScaleIns = append(pl.plan.ScaleIns, m.ID)
		}
	}
}

// servicesStillFit reports whether every class of services would still find capacity for one more
// task if the machine were returned.
func (pl *planner) servicesStillFit(without *Machine) bool {
	if pl.serviceClasses == nil {
		pl.serviceClasses = oneServiceOfEachClass(pl.Jobs)
	}
	for _, j := range pl.serviceClasses {
		fits := slices.ContainsFunc(pl.pool.usable, func(m *Machine) bool {
			return m != without && m.Usable && m.Free.Fits(ResourcesOf(j.Job)) && allowsOffer(j, pl.pool.offers[m.offerIndex])
		})
		if !fits {
			return false
		}
	}
	return true
}

// oneServiceOfEachClass returns the first job of each class of services; the list is never nil.
func oneServiceOfEachClass(jobs []*Job) []*Job {
	known := make(map[string]bool)
	services := []*Job{}
	for _, j := range jobs {
		if j.Shape == wire.Service && !known[j.Class] {
			known[j.Class] = true
			services = append(services, j)
		}
	}
	return services
}
