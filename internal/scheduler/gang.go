package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// placeGang places all waiting tasks of a gang, or none.
func (pl *planner) placeGang(j *Job) {
	team := pl.Teams[j.Team]
	whole := Resources{}.AddScaled(ResourcesOf(j.Job), float64(len(j.Waiting)))
	if team == nil || j.Active > 0 {
		return
	}
	if !team.allows(whole) {
		if pl.reportQuotaDemand(j, len(j.Waiting)); j.reservationTurn > 0 {
			team.consume(whole) // what is left is not for smaller work that stands behind it
		}
		return
	}
	if j.MaybeRunning {
		for _, m := range j.reservedMachines {
			pl.occupy(j, m)
		}
		return
	}
	if pl.LaunchBudget >= len(j.Waiting) {
		if picks := pl.placeTogether(j, true); picks != nil {
			if team.consume(whole); j.ReserveOnly {
				pl.plan.ReadyGangs = append(pl.plan.ReadyGangs, j.ID)
				return
			}
			for i, m := range picks {
				pl.plan.Launches = append(pl.plan.Launches, Launch{j, j.Waiting[i], m.ID})
				j.InZone[m.Zone]++
			}
			pl.LaunchBudget -= len(picks)
			return
		}
	}
	// Not now: hold room for it on what stops, boots or is to be rented.
	if pl.LaunchBudget >= len(j.Waiting) && pl.useRemoteCapacity(j, len(j.Waiting)) {
		team.consume(whole)
		pl.reportUnplaced(j, len(j.Waiting), 0)
		return
	}
	var picks []*Machine
	if len(j.reservedMachines) > 0 {
		picks = pl.holdReservation(j)
	} else {
		picks = pl.placeTogether(j, false)
	}
	if picks != nil {
		team.consume(whole)
	}
	switch n := len(j.Waiting); {
	case pl.LaunchBudget < n:
	case picks == nil:
		pl.reportUnplaced(j, 0, n)
	case slices.ContainsFunc(picks, func(m *Machine) bool { return !m.Usable }):
		pl.reportUnplaced(j, n, 0)
	}
}

// placeTogether finds machines for all waiting tasks of a gang and occupies them,
// or leaves everything as it was. now asks for room that is there; else the zone
// is taken in which the least must be rented. The cheapest zone is another one
// from round to round, and machines would be rented for the gang in each.
func (pl *planner) placeTogether(j *Job, now bool) []*Machine {
	zones := pl.candidateZones(j)
	if now && j.Spot { // cheap machines of any zone before others of the first
		for _, zone := range zones {
			if picks, _ := pl.tryZone(j, zone, true, true); picks != nil {
				return picks
			}
		}
	}
	best, least := "", math.Inf(1)
	for _, zone := range zones {
		at := pl.savepoint()
		picks, price := pl.tryZone(j, zone, now, false)
		if picks != nil && (price == 0 || len(zones) == 1) {
			return picks
		}
		if picks != nil && price < least {
			best, least = zone, price
		}
		pl.rollback(at)
	}
	if math.IsInf(least, 1) {
		return nil
	}
	picks, _ := pl.tryZone(j, best, now, false)
	return picks
}

// tryZone finds machines for all waiting tasks of a gang in one zone, and tells what
// those to be rented for it cost; on failure it leaves everything as it was.
func (pl *planner) tryZone(j *Job, zone string, now, spotOnly bool) (picks []*Machine, price float64) {
	at := pl.savepoint()
	if !now && len(j.Waiting) > 1 {
		if picks := pl.placeOnRunning(j, zone); picks != nil {
			return picks, 0
		}
	}
	s := pl.newSearch(j, maps.Clone(j.InZone), zone)
	pick := s.soonestMachine
	// What waits for a boot anyway has nothing stopped meanwhile: the room would go to
	// lesser work again, which would be stopped again, round after round.
	s.noPreempt = len(j.Waiting) > 1
	if now {
		pick, s.spotOnly = s.bestFit, spotOnly
		if s.scan(); s.countSlots(len(j.Waiting)) < len(j.Waiting) {
			return nil, 0
		}
	}
	for range j.Waiting {
		m := pick()
		if m == nil {
			pl.rollback(at)
			return nil, 0
		}
		s.place(m)
		picks = append(picks, m)
	}
	for _, m := range pl.newMachines[at.newMachines:] {
		price += pl.machinePrice(pl.types[m.Type], m.Spot, m.Zone)
	}
	return picks, price
}

// placeOnRunning finds machines for all waiting tasks of a gang among those that are up, of which
// lesser work is stopped where need be, and holds what is free already until that is gone;
// on failure it leaves everything as it was.
func (pl *planner) placeOnRunning(j *Job, zone string) (picks []*Machine) {
	at := pl.savepoint()
	s := pl.newSearch(j, maps.Clone(j.InZone), zone)
	for range j.Waiting {
		m := s.bestFit()
		if m == nil {
			m = s.deferredMachine()
		}
		if m == nil {
			m = pl.stoppingMachine(s.need, s.permitsMachine)
		}
		if m == nil {
			m = pl.preempt(j, s.need, s.permitsMachine)
		}
		if m == nil {
			pl.rollback(at)
			return nil
		}
		s.place(m)
		picks = append(picks, m)
	}
	return picks
}

// candidateZones lists the zones of which a gang must be in one.
func (pl *planner) candidateZones(j *Job) []string {
	if j.Zone == "" && j.OneZone && len(j.Waiting) > 1 {
		return pl.zonesByPrice(j)
	}
	return []string{j.Zone}
}

// zonesByPrice lists all zones, the cheapest for a job first: the first that has room
// for a gang gets it, and its machines are then kept for that.
func (pl *planner) zonesByPrice(j *Job) []string {
	price := make(map[string]float64)
	for i := range pl.Types {
		t := &pl.Types[i]
		for _, z := range t.Zones {
			if _, known := price[z]; !known {
				price[z] = math.Inf(1)
			}
			for _, spot := range []bool{false, true} {
				if o := (Offer{t.Name, z, spot}); allowsOffer(j, o) && !pl.Unavailable[o] {
					price[z] = min(price[z], pl.machinePrice(t, spot, z)/float64((Resources{t.CPUs, t.GPUs, t.MemoryGB}).Slots(ResourcesOf(j.Job))))
				}
			}
		}
	}
	return slices.SortedFunc(maps.Keys(price), func(a, b string) int {
		return cmp.Or(cmp.Compare(price[a], price[b]), cmp.Compare(a, b))
	})
}
