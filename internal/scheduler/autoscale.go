package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// addMachineFor adds a machine that would be rented for a job.
func (pl *planner) addMachineFor(j *Job, o Offer) *Machine {
	m := pl.addMachine(o)
	m.queuePosition = j.queuePosition
	return m
}

// addMachine adds a machine that would be rented, for what is yet to come.
func (pl *planner) addMachine(o Offer) *Machine {
	t := pl.types[o.Type]
	m := &Machine{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Booting: true, Free: Resources{t.CPUs, t.GPUs, t.MemoryGB}, offerIndex: pl.offerIndex(o), queuePosition: len(pl.Jobs)}
	if pl.requested == nil {
		pl.requested = make(map[Offer]int)
	}
	pl.requested[o]++
	pl.newMachines = append(pl.newMachines, m)
	pl.booting[m.offerIndex] = append(pl.booting[m.offerIndex], m)
	pl.machinesInZone[m.Zone]++
	return m
}

func (pl *planner) planScaleOut() {
	at := make(map[Offer]int)
	for _, m := range pl.newMachines {
		o := Offer{m.Type, m.Zone, m.Spot}
		i, known := at[o]
		if !known {
			i, at[o] = len(pl.plan.ScaleOuts), len(pl.plan.ScaleOuts)
			pl.plan.ScaleOuts = append(pl.plan.ScaleOuts, ScaleOut{Offer: o, QueuePosition: m.queuePosition})
		}
		r := &pl.plan.ScaleOuts[i]
		r.Count, r.QueuePosition = r.Count+1, min(r.QueuePosition, m.queuePosition)
	}
}

// planScaleIn returns machines that have been idle for long, but keeps room for
// the next service that comes.
func (pl *planner) planScaleIn() {
	for _, m := range pl.Machines {
		if !m.usedByPlan && m.Usable && len(m.Tasks) == 0 && m.IdleFor > pl.IdleTimeout && pl.servicesStillFit(m) {
			m.Usable = false
			pl.plan.ScaleIns = append(pl.plan.ScaleIns, m.ID)
		}
	}
}

// servicesStillFit reports whether every class of services still finds room for one more
// task when a machine is gone.
func (pl *planner) servicesStillFit(without *Machine) bool {
	if pl.serviceClasses == nil {
		asked := make(map[string]bool)
		pl.serviceClasses = []*Job{}
		for _, j := range pl.Jobs {
			if j.Shape == wire.Service && !asked[j.Class] {
				asked[j.Class] = true
				pl.serviceClasses = append(pl.serviceClasses, j)
			}
		}
	}
	for _, j := range pl.serviceClasses {
		if !slices.ContainsFunc(pl.usable, func(m *Machine) bool {
			return m != without && m.Usable && m.Free.Fits(ResourcesOf(j.Job)) && allowsOffer(j, pl.offers[m.offerIndex])
		}) {
			return false
		}
	}
	return true
}
