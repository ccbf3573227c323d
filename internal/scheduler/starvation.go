package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Room is held for what is to come: for gangs that gather it or have the rest rented, as headroom, for
// the first of a team that takes up its limit, beside images that come for production, away from
// machines on which a job failed. Each of these rules may hold it for as long as its cause lasts.
// No job waits for as long as that: what has no task anywhere for standMost takes room that has
// been free for as long without a break, whatever it is held for. It takes no more than a task, or a
// gang's whole, so that what room is held for is put off by little.
const (
	starvationLimit   = 60 * time.Second
	idleCapacityStep  = 15 * time.Second
	idleCapacitySteps = int(starvationLimit/idleCapacityStep) + 1
)

// IdleCapacity remembers what has been free on a machine of late.
type IdleCapacity struct {
	step  int64
	least [idleCapacitySteps]Resources // in each step, the present one first
}

// Record takes in what is free now, and gives what has been for standMost at the least. Of steps in which
// nobody looked nothing is known.
func (s *IdleCapacity) Record(now time.Time, free Resources) Resources {
	step := now.UnixNano() / int64(idleCapacityStep)
	if gone := step - s.step; gone > 0 {
		var next [idleCapacitySteps]Resources
		if gone == 1 {
			copy(next[1:], s.least[:])
		}
		next[0] = free
		s.step, s.least = step, next
	}
	s.least[0] = s.least[0].min(free)
	out := s.least[0]
	for _, a := range s.least[1:] {
		out = out.min(a)
	}
	return out
}

// admitStarved launches what has stood beside room for too long, in the order of jobs. Where tiers are set,
// room that is not lent stays what it is.
func (pl *planner) admitStarved(teams map[string]Team) {
	if pl.Tiers.Configured() {
		return
	}
	var standing []*Job
	for _, j := range pl.Jobs {
		if j.starved() {
			standing = append(standing, j)
		}
	}
	if len(standing) == 0 {
		return
	}
	taken, begun := make(map[string]Resources), make(map[*Job]bool)
	use := func(l Launch) {
		taken[l.Machine] = taken[l.Machine].AddScaled(ResourcesOf(l.Job.Job), 1)
		t := teams[l.Job.Team]
		t.consume(ResourcesOf(l.Job.Job))
		teams[l.Job.Team], begun[l.Job] = t, true
	}
	for _, l := range pl.plan.Launches {
		use(l)
	}
	for _, j := range standing {
		n := 1
		if j.Shape == wire.Gang {
			n = len(j.Waiting)
		}
		team := teams[j.Team]
		if begun[j] || n > pl.LaunchBudget || pl.Teams[j.Team] == nil || !team.allows(Resources{}.AddScaled(ResourcesOf(j.Job), float64(n))) {
			continue
		}
		for _, zone := range pl.candidateZones(j) {
			picks := pl.placeStarved(j, zone, n, taken)
			if picks == nil {
				continue
			}
			for i, m := range picks {
				l := Launch{j, j.Waiting[i], m.ID}
				pl.plan.Launches = append(pl.plan.Launches, l)
				m.usedByPlan = true
				use(l)
			}
			pl.LaunchBudget -= n
			break
		}
	}
}

// placeStarved picks machines for so many tasks of a job that stands: those that hold its image first.
// Where something is being stopped, what it is for has the rest.
func (pl *planner) placeStarved(j *Job, zone string, n int, taken map[string]Resources) (picks []*Machine) {
	need, in, own := ResourcesOf(j.Job), make(map[string]int), make(map[*Machine]int)
	for _, holds := range []bool{true, false} {
		for _, m := range pl.usable {
			if m.hasImage(j.Image) != holds || !m.Usable || m.stopping != (Resources{}) || !allowsOffer(j, pl.offers[m.offerIndex]) || zone != "" && zone != m.Zone {
				continue
			}
			for len(picks) < n && zoneAllowed(j, in, m.Zone) && m.IdleCapacity.AddScaled(taken[m.ID], -1).AddScaled(need, -float64(own[m])).Fits(need) {
				in[m.Zone]++
				own[m]++
				picks = append(picks, m)
			}
			if len(picks) == n {
				return picks
			}
		}
	}
	return nil
}
