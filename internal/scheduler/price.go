package scheduler

import (
	"cmp"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// priceOf returns the spot or on-demand price of a machine type.
func priceOf(t *wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

const (
	// zoneConcentrationSurcharge is the relative surcharge on machines in a zone that holds the whole
	// fleet. It grows in proportion to the zone's share of the machines, so that the fleet spreads over zones.
	zoneConcentrationSurcharge = 0.3
	// minFleetForZoneShare is the smallest fleet size used to compute a zone's share: in a smaller
	// fleet each machine would change the price too much.
	minFleetForZoneShare = 30
)

// zoneAdjustedPrice returns the price of a machine, with a surcharge that grows with the zone's share of the fleet.
func (pl *planner) zoneAdjustedPrice(t *wire.MachineType, spot bool, zone string) float64 {
	total := len(pl.Machines) + len(pl.pool.added)
	return priceOf(t, spot) * (1 + zoneConcentrationSurcharge*float64(pl.pool.inZone[zone])/float64(max(minFleetForZoneShare, total)))
}

// shareCost returns the cost of a task's share of a machine, including the opportunity cost for classes
// that need the machine type more; it is infinite if the task does not fit.
func (pl *planner) shareCost(j *Job, t *wire.MachineType, spot bool) float64 {
	slotsPerMachine := float64(capacityOf(t).Slots(ResourcesOf(j.Job)))
	if slotsPerMachine == 0 {
		return math.Inf(1)
	}
	return (priceOf(t, spot) + pl.valuation.opportunityCost(j, t, spot, pl.Types)) / slotsPerMachine
}

// offerChoice is an offer with the cost of placing a task on it.
type offerChoice struct {
	offer     Offer
	cost      float64 // of the task's share of a machine, see shareCost
	price     float64 // cost adjusted for the zone's surcharge and for the part of the machine left empty
	exhausted bool    // no more machines can be requested now
}

// betterThan reports whether an offer is preferred to another. An exhausted offer is chosen only if
// there is no other.
func (c offerChoice) betterThan(other offerChoice) bool {
	if c.exhausted != other.exhausted {
		return !c.exhausted
	}
	return c.price < other.price
}

// emptyShareWeight is the fraction that counts of the price of the machine share that the job leaves
// empty: other jobs can mostly use that share.
const emptyShareWeight = 0.5

// cheapestOffer picks the offer with the lowest price for a task, taking into account how much of a
// machine the job can fill. The cost is infinite if there is no offer.
func (s *search) cheapestOffer() (best Offer, cost float64) {
	choice := offerChoice{cost: math.Inf(1), price: math.Inf(1), exhausted: true}
	types := s.planner.Types
	for i := range types {
		choice = s.cheapestOfType(&types[i], choice)
	}
	return choice.offer, choice.cost
}

// cheapestOfType returns the best offer of a machine type, or the given choice if none is better.
func (s *search) cheapestOfType(machineType *wire.MachineType, choice offerChoice) offerChoice {
	slotsPerMachine := float64(capacityOf(machineType).Slots(s.need))
	slots := min(slotsPerMachine, float64(len(s.job.Waiting)))
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
			price := share * s.planner.zoneAdjustedPrice(machineType, spot, zone) / s.planner.zoneAdjustedPrice(machineType, spot, "")
			price += emptyShareWeight * price * (slotsPerMachine/slots - 1)
			c := offerChoice{offer, share, price, s.exhausted(offer)}
			if c.betterThan(choice) && (s.maxShareCost == 0 || price <= s.maxShareCost) {
				choice = c
			}
		}
	}
	return choice
}

// mayRequest reports whether the job may request a machine of an offer.
func (s *search) mayRequest(o Offer) bool {
	return !s.planner.Unavailable[o] && allowsOffer(s.job, o) && (s.zone == "" || s.zone == o.Zone) && zoneAllowed(s.job, s.tasksByZone, o.Zone)
}

// exhausted reports whether the plan already requests as many machines of an offer as RequestLimit allows.
func (s *search) exhausted(o Offer) bool {
	limit, limited := s.planner.RequestLimit[o]
	return limited && s.planner.pool.requested[o] >= limit
}

// priceOffers computes the cost of a task on each offer that was registered in the pool since the last call.
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
