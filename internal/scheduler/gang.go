package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// placeGang places all waiting tasks of a gang, or none.
func (pl *planner) placeGang(j *Job) {
	team, n := pl.Teams[j.Team], len(j.Waiting)
	if team == nil || j.ActiveTasks > 0 {
		return
	}
	totalNeed := ResourcesOf(j.Job).Scaled(float64(n))
	switch {
	case !team.allows(totalNeed):
		pl.reportQuotaDemand(j, n)
		if j.reservationTurn > 0 {
			team.consume(totalNeed) // smaller jobs of the team that come later must not use up the rest of its limit
		}
	case j.MaybeRunning:
		for _, m := range j.reservedMachines {
			pl.occupy(j, m)
		}
	case pl.LaunchBudget < n: // the next round launches or reports the gang
		if pl.reserveForGang(j) != nil {
			team.consume(totalNeed)
		}
	case pl.launchGang(j):
		team.consume(totalNeed)
	case pl.useRemoteCapacity(j, n):
		team.consume(totalNeed)
		pl.reportUnplaced(j, n, 0)
	default:
		picks := pl.reserveForGang(j)
		if picks == nil && j.allowLastResort() && pl.launchGang(j) {
			team.consume(totalNeed)
			return
		}
		if picks == nil {
			pl.reportUnplaced(j, 0, n)
			return
		}
		team.consume(totalNeed)
		if slices.ContainsFunc(picks, func(m *Machine) bool { return !m.Usable }) {
			pl.reportUnplaced(j, n, 0)
		}
	}
}

// launchGang launches a gang if there is capacity for it now. If other shards hold the rest of the gang, it reports
// this shard's part as ready instead. It reports whether there was capacity.
func (pl *planner) launchGang(j *Job) bool {
	picks := pl.placeTogether(j, true)
	if picks == nil {
		return false
	}
	if j.ReserveOnly {
		pl.plan.ReadyGangs = append(pl.plan.ReadyGangs, j.ID)
		return true
	}
	for i, m := range picks {
		pl.plan.Launches = append(pl.plan.Launches, Launch{j, j.Waiting[i], m.ID})
		j.TasksByZone[m.Zone]++
	}
	pl.LaunchBudget -= len(picks)
	return true
}

// reserveForGang reserves capacity for a gang on machines where tasks are being stopped, on booting machines or on
// machines to be rented. It returns nil on failure.
func (pl *planner) reserveForGang(j *Job) []*Machine {
	if len(j.reservedMachines) > 0 {
		return pl.holdReservation(j)
	}
	return pl.placeTogether(j, false)
}

// placeTogether finds machines for all waiting tasks of a gang and occupies them; on failure it changes nothing.
// If now is set, it uses only capacity that is free now. Otherwise it picks the zone where the machines to rent cost
// least in total, not the zone with the cheapest machines: that changes from round to round, and machines for the gang
// would be rented in one zone after another.
func (pl *planner) placeTogether(j *Job, now bool) []*Machine {
	zones := pl.candidateZones(j)
	if now && j.Spot { // spot machines in any zone before on-demand machines in the first zone
		if picks := pl.placeOnSpotNow(j, zones); picks != nil {
			return picks
		}
	}
	best, least := "", math.Inf(1)
	for _, zone := range zones {
		at := pl.savepoint()
		picks, price := pl.placeInZone(j, zone, now)
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
	picks, _ := pl.placeInZone(j, best, now)
	return picks
}

// placeOnSpotNow finds spot machines that have capacity now for all waiting tasks of a gang, in the first of the zones
// where there are enough; on failure it changes nothing.
func (pl *planner) placeOnSpotNow(j *Job, zones []string) []*Machine {
	for _, zone := range zones {
		if picks := pl.placeNow(j, zone, true); picks != nil {
			return picks
		}
	}
	return nil
}

// placeInZone finds machines for all waiting tasks of a gang in one zone, and returns the total price of the machines
// that would be rented for it; on failure it changes nothing.
func (pl *planner) placeInZone(j *Job, zone string, now bool) (picks []*Machine, price float64) {
	if now {
		return pl.placeNow(j, zone, false), 0
	}
	if len(j.Waiting) > 1 {
		if picks := pl.placeOnRunning(j, zone); picks != nil {
			return picks, 0
		}
	}
	at := pl.savepoint()
	s := pl.newSearch(j, maps.Clone(j.TasksByZone), zone)
	// Do not preempt for a gang that must wait for a boot anyway: until then the freed capacity would go to
	// preemptible work again, which would be stopped again, round after round.
	s.noPreempt = len(j.Waiting) > 1
	picks = s.placeAll(s.soonestMachine)
	for _, m := range pl.pool.added[at.added:] {
		price += pl.zoneAdjustedPrice(pl.pool.typeOf(m), m.Spot, m.Zone)
	}
	return picks, price
}

// placeNow finds machines that have capacity now for all waiting tasks of a gang; on failure it changes nothing.
func (pl *planner) placeNow(j *Job, zone string, spotOnly bool) []*Machine {
	s := pl.newSearch(j, maps.Clone(j.TasksByZone), zone)
	s.spotOnly = spotOnly
	s.scan()
	if s.countSlots(len(j.Waiting)) < len(j.Waiting) {
		return nil
	}
	return s.placeAll(s.bestFit)
}

// placeOnRunning finds machines for all waiting tasks of a gang among the running ones. It preempts other work if
// necessary, and reserves the capacity that is already free until the preempted tasks have ended; on failure it
// changes nothing.
func (pl *planner) placeOnRunning(j *Job, zone string) []*Machine {
	s := pl.newSearch(j, maps.Clone(j.TasksByZone), zone)
	return s.placeAll(func() *Machine {
		if m := s.bestFit(); m != nil {
			return m
		}
		if m := s.deferredMachine(); m != nil {
			return m
		}
		if m := pl.stoppingMachine(s.need, s.permitsMachine); m != nil {
			return m
		}
		return pl.preempt(j, s.need, s.permitsMachine)
	})
}

// placeAll places each waiting task of the job on the machine that pick returns. If pick finds none, it rolls back and
// returns nil.
func (s *search) placeAll(pick func() *Machine) (picks []*Machine) {
	at := s.planner.savepoint()
	for range s.job.Waiting {
		m := pick()
		if m == nil {
			s.planner.rollback(at)
			return nil
		}
		s.place(m)
		picks = append(picks, m)
	}
	return picks
}

// candidateZones lists the zones to try for a gang, one at a time. An empty zone stands for any mix of zones.
func (pl *planner) candidateZones(j *Job) []string {
	if j.Zone == "" && j.OneZone && len(j.Waiting) > 1 {
		return pl.zonesByPrice(j)
	}
	return []string{j.Zone}
}

// zonesByPrice lists all zones, the cheapest for the job first: a gang is placed in the first zone that has capacity
// for it, and the machines of that zone are then reserved for the gang.
func (pl *planner) zonesByPrice(j *Job) []string {
	priceByZone := make(map[string]float64)
	for i := range pl.Types {
		t := &pl.Types[i]
		for _, z := range t.Zones {
			if _, known := priceByZone[z]; !known {
				priceByZone[z] = math.Inf(1)
			}
			for _, spot := range []bool{false, true} {
				if o := (Offer{t.Name, z, spot}); allowsOffer(j, o) && !pl.Unavailable[o] {
					priceByZone[z] = min(priceByZone[z], pl.zoneAdjustedPrice(t, spot, z)/float64(capacityOf(t).Slots(ResourcesOf(j.Job))))
				}
			}
		}
	}
	return slices.SortedFunc(maps.Keys(priceByZone), func(a, b string) int {
		return cmp.Or(cmp.Compare(priceByZone[a], priceByZone[b]), cmp.Compare(a, b))
	})
}
