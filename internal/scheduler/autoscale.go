package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// planScaleOut counts the machines that the plan would rent, by offer.
func (pl *planner) planScaleOut() {
	index := make(map[Offer]int)
	for _, m := range pl.pool.added {
		o := Offer{m.Type, m.Zone, m.Spot}
		i, known := index[o]
		if !known {
			i = len(pl.plan.ScaleOuts)
			index[o] = i
			pl.plan.ScaleOuts = append(pl.plan.ScaleOuts, ScaleOut{Offer: o, QueuePosition: m.queuePosition})
		}
		out := &pl.plan.ScaleOuts[i]
		out.Count++
		out.QueuePosition = min(out.QueuePosition, m.queuePosition)
	}
}

// planScaleIn returns machines that have been idle for long, but keeps capacity for the next
// service that comes.
func (pl *planner) planScaleIn() {
	for _, m := range pl.Machines {
		idle := m.Usable && !m.usedByPlan && len(m.Tasks) == 0 && m.IdleFor > pl.IdleTimeout
		if idle && pl.servicesStillFit(m) {
			m.Usable = false
			pl.plan.ScaleIns = append(pl.plan.ScaleIns, m.ID)
		}
	}
}

// servicesStillFit reports whether every class of services still finds capacity for one more task
// when a machine is gone.
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
	out := []*Job{}
	for _, j := range jobs {
		if j.Shape == wire.Service && !known[j.Class] {
			known[j.Class] = true
			out = append(out, j)
		}
	}
	return out
}
