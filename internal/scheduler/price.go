package scheduler

import (
	"cmp"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

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

// priceOffers reckons what a task costs on each offer that has come up since it was
// last called.
func (s *search) priceOffers() {
	for o := len(s.costByOffer); o < len(s.planner.offers); o++ {
		cost := math.Inf(1)
		if t := s.planner.types[s.planner.offers[o].Type]; t != nil && s.permitsOffer(o) {
			cost = s.planner.shareCost(s.job, t, s.planner.offers[o].Spot)
		}
		s.costByOffer, s.bootingCursor = append(s.costByOffer, cost), append(s.bootingCursor, 0)
		if s.permitsOffer(o) {
			at, _ := slices.BinarySearchFunc(s.offersByCost, cost, func(i int, c float64) int { return cmp.Or(cmp.Compare(s.costByOffer[i], c), -1) })
			s.offersByCost = slices.Insert(s.offersByCost, at, o)
		}
	}
}
