package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// gang places all waiting tasks of a gang, or none.
func (pl *planner) gang(j *Job) {
	team := pl.Teams[j.Team]
	whole := Amount{}.Plus(Of(j.Job), float64(len(j.Waiting)))
	if team == nil || j.Active > 0 {
		return
	}
	if !team.allows(whole) {
		if pl.want(j, len(j.Waiting)); j.elder > 0 {
			team.use(whole) // what is left is not for smaller work that stands behind it
		}
		return
	}
	if j.Unsure {
		for _, m := range j.picks {
			pl.occupy(j, m)
		}
		return
	}
	if pl.Tasks >= len(j.Waiting) {
		if picks := pl.together(j, true); picks != nil {
			if team.use(whole); j.Hold {
				pl.plan.Ready = append(pl.plan.Ready, j.ID)
				return
			}
			for i, m := range picks {
				pl.plan.Launches = append(pl.plan.Launches, Launch{j, j.Waiting[i], m.ID})
				j.InZone[m.Zone]++
			}
			pl.Tasks -= len(picks)
			return
		}
	}
	// Not now: hold room for it on what stops, boots or is to be rented.
	if pl.Tasks >= len(j.Waiting) && pl.outside(j, len(j.Waiting)) {
		team.use(whole)
		pl.short(j, len(j.Waiting), 0)
		return
	}
	var picks []*Machine
	if len(j.picks) > 0 {
		picks = pl.holdGathered(j)
	} else {
		picks = pl.together(j, false)
	}
	if picks != nil {
		team.use(whole)
	}
	switch n := len(j.Waiting); {
	case pl.Tasks < n:
	case picks == nil:
		pl.short(j, 0, n)
	case slices.ContainsFunc(picks, func(m *Machine) bool { return !m.Usable }):
		pl.short(j, n, 0)
	}
}

// together finds machines for all waiting tasks of a gang and occupies them,
// or leaves everything as it was. now asks for room that is there; else the zone
// is taken in which the least must be rented. The cheapest zone is another one
// from round to round, and machines would be rented for the gang in each.
func (pl *planner) together(j *Job, now bool) []*Machine {
	zones := pl.zonesOf(j)
	if now && j.Spot { // cheap machines of any zone before others of the first
		for _, zone := range zones {
			if picks, _ := pl.try(j, zone, true, true); picks != nil {
				return picks
			}
		}
	}
	best, least := "", math.Inf(1)
	for _, zone := range zones {
		at := pl.mark()
		picks, price := pl.try(j, zone, now, false)
		if picks != nil && (price == 0 || len(zones) == 1) {
			return picks
		}
		if picks != nil && price < least {
			best, least = zone, price
		}
		pl.restore(at)
	}
	if math.IsInf(least, 1) {
		return nil
	}
	picks, _ := pl.try(j, best, now, false)
	return picks
}

// try finds machines for all waiting tasks of a gang in one zone, and tells what
// those to be rented for it cost; on failure it leaves everything as it was.
func (pl *planner) try(j *Job, zone string, now, spotOnly bool) (picks []*Machine, price float64) {
	at := pl.mark()
	if !now && len(j.Waiting) > 1 {
		if picks := pl.soonest(j, zone); picks != nil {
			return picks, 0
		}
	}
	s := pl.search(j, maps.Clone(j.InZone), zone)
	pick := s.next
	// What waits for a boot anyway has nothing stopped meanwhile: the room would go to
	// lesser work again, which would be stopped again, round after round.
	s.noPreempt = len(j.Waiting) > 1
	if now {
		pick, s.spotOnly = s.companion, spotOnly
		if s.scan(); s.slots(len(j.Waiting)) < len(j.Waiting) {
			return nil, 0
		}
	}
	for range j.Waiting {
		m := pick()
		if m == nil {
			pl.restore(at)
			return nil, 0
		}
		s.take(m)
		picks = append(picks, m)
	}
	for _, m := range pl.fresh[at.fresh:] {
		price += pl.price(pl.types[m.Type], m.Spot, m.Zone)
	}
	return picks, price
}

// soonest finds machines for all waiting tasks of a gang among those that are up, of which
// lesser work is stopped where need be, and holds what is free already until that is gone;
// on failure it leaves everything as it was.
func (pl *planner) soonest(j *Job, zone string) (picks []*Machine) {
	at := pl.mark()
	s := pl.search(j, maps.Clone(j.InZone), zone)
	for range j.Waiting {
		m := s.companion()
		if m == nil {
			m = s.pacedRoom()
		}
		if m == nil {
			m = pl.stoppingRoom(s.need, s.ok)
		}
		if m == nil {
			m = pl.preempt(j, s.need, s.ok)
		}
		if m == nil {
			pl.restore(at)
			return nil
		}
		s.take(m)
		picks = append(picks, m)
	}
	return picks
}

// mark is a state of the plan to come back to.
type mark struct{ undone, fresh, leaving, stops int }

func (pl *planner) mark() mark {
	return mark{len(pl.undone), len(pl.fresh), len(pl.leaving), len(pl.plan.Stops)}
}

// restore takes back all changes after a mark.
func (pl *planner) restore(to mark) {
	for i := len(pl.undone) - 1; i >= to.undone; i-- {
		u := pl.undone[i]
		m := u.machine
		m.Free, m.leaving, m.load, m.taken, m.planned = u.free, u.leaving, u.load, u.taken, m.planned[:u.planned]
		if u.task >= 0 {
			m.Tasks[u.task].Stopping = false
		}
	}
	for _, m := range pl.fresh[to.fresh:] {
		pl.inZone[m.Zone]--
		pl.asked[pl.offers[m.offer]]--
		pl.booting[m.offer] = pl.booting[m.offer][:len(pl.booting[m.offer])-1]
	}
	pl.undone, pl.fresh = pl.undone[:to.undone], pl.fresh[:to.fresh]
	pl.leaving, pl.plan.Stops = pl.leaving[:to.leaving], pl.plan.Stops[:to.stops]
}

// zonesOf lists the zones of which a gang must be in one.
func (pl *planner) zonesOf(j *Job) []string {
	if j.Zone == "" && j.OneZone && len(j.Waiting) > 1 {
		return pl.zones(j)
	}
	return []string{j.Zone}
}

// zones lists all zones, the cheapest for a job first: the first that has room
// for a gang gets it, and its machines are then kept for that.
func (pl *planner) zones(j *Job) []string {
	price := make(map[string]float64)
	for i := range pl.Types {
		t := &pl.Types[i]
		for _, z := range t.Zones {
			if _, known := price[z]; !known {
				price[z] = math.Inf(1)
			}
			for _, spot := range []bool{false, true} {
				if o := (Offer{t.Name, z, spot}); allowed(j, o) && !pl.Refused[o] {
					price[z] = min(price[z], pl.price(t, spot, z)/float64((Amount{t.CPUs, t.GPUs, t.MemoryGB}).Slots(Of(j.Job))))
				}
			}
		}
	}
	return slices.SortedFunc(maps.Keys(price), func(a, b string) int {
		return cmp.Or(cmp.Compare(price[a], price[b]), cmp.Compare(a, b))
	})
}
