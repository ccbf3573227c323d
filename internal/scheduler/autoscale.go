package scheduler

import (
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// What is rented, and what is returned.

// machinePrice is what a machine costs, somewhat more in zones that have many, so that
// the fleet spreads.
func (pl *planner) machinePrice(t *wire.MachineType, spot bool, zone string) float64 {
	p := t.Price
	if spot {
		p = t.SpotPrice
	}
	total := len(pl.Machines) + len(pl.newMachines)
	return p * (1 + 0.3*float64(pl.machinesInZone[zone])/float64(max(30, total)))
}

// shareCost is what a task's share of a machine costs, with what others lose who
// need that type more.
func (pl *planner) shareCost(j *Job, t *wire.MachineType, spot bool) float64 {
	full := float64((Resources{t.CPUs, t.GPUs, t.MemoryGB}).Slots(ResourcesOf(j.Job)))
	if full == 0 {
		return math.Inf(1)
	}
	p := t.Price
	if spot {
		p = t.SpotPrice
	}
	return (p + pl.opportunityCost(j, t, spot)) / full
}

// opportunityCostShare is the part of another class's loss that counts: how much there is of
// a type is not known before it has run out, and then it is too late, since
// services never leave the machines that they begin on.
const opportunityCostShare = 0.5

// opportunityCost is what another class of jobs would lose, at the most, if there were
// one machine less of a type, by having to take the next best.
func (pl *planner) opportunityCost(j *Job, t *wire.MachineType, spot bool) float64 {
	most := 0.0
	for _, k := range pl.classes {
		if k.job.Class == j.Class || spot && !k.job.Spot {
			continue
		}
		own, other := math.Inf(1), math.Inf(1)
		for i := range pl.Types {
			u := &pl.Types[i]
			if len(k.job.Types) > 0 && !slices.Contains(k.job.Types, u.Name) {
				continue
			}
			full := float64((Resources{u.CPUs, u.GPUs, u.MemoryGB}).Slots(k.need))
			p := u.Price / full
			if k.job.Spot {
				p = u.SpotPrice / full
			}
			if u.Name == t.Name {
				own = p
			} else {
				other = min(other, p)
			}
		}
		if k.job.Spot == spot && own < other && !math.IsInf(other, 1) {
			slots := float64((Resources{t.CPUs, t.GPUs, t.MemoryGB}).Slots(k.need))
			most = max(most, opportunityCostShare*(other-own)*slots)
		}
	}
	return most
}

// cheapestOffer picks the cheapest offer for a task, counting the price of the share
// that the job can fill; its cost is infinite when there is none. One of which no
// more can be asked for now is left to those who find no other.
func (s *search) cheapestOffer() (best Offer, cost float64) {
	pl, j := s.planner, s.job
	price, cost, spent := math.Inf(1), math.Inf(1), true
	for i := range pl.Types {
		t := &pl.Types[i]
		full := float64((Resources{t.CPUs, t.GPUs, t.MemoryGB}).Slots(s.need))
		slots := min(full, float64(len(j.Waiting)))
		if slots == 0 {
			continue
		}
		for _, spot := range []bool{true, false} {
			share := pl.shareCost(j, t, spot)
			for _, zone := range t.Zones {
				o := Offer{t.Name, zone, spot}
				if pl.Unavailable[o] || !allowsOffer(j, o) || s.zone != "" && s.zone != zone || !zoneAllowed(j, s.tasksByZone, zone) {
					continue
				}
				// The share of the machine that the job leaves empty is mostly
				// of use to others: count half of it.
				p := share * pl.machinePrice(t, spot, zone) / pl.machinePrice(t, spot, "")
				p += 0.5 * p * (full/slots - 1)
				most, limited := pl.RequestLimit[o]
				over := limited && pl.requested[o] >= most
				if (p < price && over == spent || spent && !over) && (s.maxShareCost == 0 || p <= s.maxShareCost) {
					best, price, cost, spent = o, p, share, over
				}
			}
		}
	}
	return best, cost
}

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
