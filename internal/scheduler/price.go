package scheduler

import (
	"cmp"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// priceOf returns the price of a type of machine.
func priceOf(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

const (
	// zoneConcentrationSurcharge is by how much a machine counts as dearer in a zone that has all machines, so
	// that the fleet spreads.
	zoneConcentrationSurcharge = 0.3
	// minFleetForZoneShare is the least fleet of which a zone's share is reckoned: in a smaller one
	// each machine would move the price too much.
	minFleetForZoneShare = 30
)

// machinePrice returns what a machine counts as, somewhat more in zones that have many.
func (pl *planner) machinePrice(t *wire.MachineType, spot bool, zone string) float64 {
	total := len(pl.Machines) + len(pl.pool.added)
	return priceOf(t, spot) * (1 + zoneConcentrationSurcharge*float64(pl.pool.inZone[zone])/float64(max(minFleetForZoneShare, total)))
}

// shareCost returns what a task's share of a machine costs, with what others lose who need that
// type more; it is infinite where the task does not fit.
func (pl *planner) shareCost(j *Job, t *wire.MachineType, spot bool) float64 {
	full := float64(capacityOf(t).Slots(ResourcesOf(j.Job)))
	if full == 0 {
		return math.Inf(1)
	}
	return (priceOf(t, spot) + pl.valuation.opportunityCost(j, t, spot, pl.Types)) / full
}

// offerChoice is an offer with what a task costs there.
type offerChoice struct {
	offer     Offer
	cost      float64 // of the task's share of a machine, see shareCost
	price     float64 // the same with the zone's price, and the part of the machine that stays empty
	exhausted bool    // no more can be asked for now
}

// betterThan reports whether an offer is to be preferred. One of which no more can be asked for
// now is left to those who find no other.
func (c offerChoice) betterThan(other offerChoice) bool {
	if c.exhausted != other.exhausted {
		return !c.exhausted
	}
	return c.price < other.price
}

// emptyShareWeight is which part counts of the share of a machine that the job leaves empty: it is
// mostly of use to others.
const emptyShareWeight = 0.5

// cheapestOffer picks the cheapest offer for a task, counting the price of the share that the job
// can fill; its cost is infinite where there is none.
func (s *search) cheapestOffer() (best Offer, cost float64) {
	choice := offerChoice{cost: math.Inf(1), price: math.Inf(1), exhausted: true}
	types := s.planner.Types
	for i := range types {
		choice = s.cheapestOfType(&types[i], choice)
	}
	return choice.offer, choice.cost
}

// cheapestOfType picks the cheapest among the offers of a machine type, and keeps the choice where none is better.
func (s *search) cheapestOfType(machineType *wire.MachineType, choice offerChoice) offerChoice {
	full := float64(capacityOf(machineType).Slots(s.need))
	slots := min(full, float64(len(s.job.Waiting)))
	if slots == 0 {
		return choice
	}
	for _, spot := range []bool{true, false} {
		share := s.planner.shareCost(s.job, machineType, spot)
		for _, zone := range machineType.Zones {
			offer := Offer{machineType.Name, zone, spot}
			if !s.mayRequest(offer) {
				continue
			}
			price := share * s.planner.machinePrice(machineType, spot, zone) / s.planner.machinePrice(machineType, spot, "")
			price += emptyShareWeight * price * (full/slots - 1)
			c := offerChoice{offer, share, price, s.exhausted(offer)}
			if c.betterThan(choice) && (s.maxShareCost == 0 || price <= s.maxShareCost) {
				choice = c
			}
		}
	}
	return choice
}

// mayRequest reports whether a machine of an offer may be asked for.
func (s *search) mayRequest(o Offer) bool {
	return !s.planner.Unavailable[o] && allowsOffer(s.job, o) && (s.zone == "" || s.zone == o.Zone) && zoneAllowed(s.job, s.tasksByZone, o.Zone)
}

// exhausted reports whether the plan asks for as many machines of an offer as can be asked for now.
func (s *search) exhausted(o Offer) bool {
	limit, limited := s.planner.RequestLimit[o]
	return limited && s.planner.pool.requested[o] >= limit
}

// priceOffers finds what a task costs on each offer that has come up since it was last called.
func (s *search) priceOffers() {
	pool := &s.planner.pool
	for o := len(s.costByOffer); o < len(pool.offers); o++ {
		cost := math.Inf(1)
		if t := pool.types[pool.offers[o].Type]; t != nil && s.permitsOffer(o) {
			cost = s.planner.shareCost(s.job, t, pool.offers[o].Spot)
		}
		s.costByOffer, s.bootingCursor = append(s.costByOffer, cost), append(s.bootingCursor, 0)
		if s.permitsOffer(o) {
			at, _ := slices.BinarySearchFunc(s.offersByCost, cost, func(i int, c float64) int { return cmp.Or(cmp.Compare(s.costByOffer[i], c), -1) })
			s.offersByCost = slices.Insert(s.offersByCost, at, o)
		}
	}
}
