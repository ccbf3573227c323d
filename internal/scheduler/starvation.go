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
	standMost  = 60 * time.Second
	standStep  = 15 * time.Second
	standSteps = int(standMost/standStep) + 1
)

// Stood remembers what has been free on a machine of late.
type Stood struct {
	step  int64
	least [standSteps]Amount // in each step, the present one first
}

// Note takes in what is free now, and gives what has been for standMost at the least. Of steps in which
// nobody looked nothing is known.
func (s *Stood) Note(now time.Time, free Amount) Amount {
	step := now.UnixNano() / int64(standStep)
	if gone := step - s.step; gone > 0 {
		var next [standSteps]Amount
		if gone == 1 {
			copy(next[1:], s.least[:])
		}
		next[0] = free
		s.step, s.least = step, next
	}
	s.least[0] = s.least[0].least(free)
	out := s.least[0]
	for _, a := range s.least[1:] {
		out = out.least(a)
	}
	return out
}

func (a Amount) least(b Amount) Amount {
	return Amount{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs), min(a.MemoryGB, b.MemoryGB)}
}

// stood reports whether a job is to wait no longer where there is room.
func (j *Job) stood() bool {
	return j.Stood >= standMost && len(j.Waiting) > 0 && j.Active+j.Elsewhere == 0 && !j.Ending && !j.Unsure && !j.Hold
}

// letIn launches what has stood beside room for too long, in the order of jobs. Where tiers are set,
// room that is not lent stays what it is.
func (pl *planner) letIn(teams map[string]Team) {
	if pl.Tiers.Given() {
		return
	}
	var standing []*Job
	for _, j := range pl.Jobs {
		if j.stood() {
			standing = append(standing, j)
		}
	}
	if len(standing) == 0 {
		return
	}
	taken, begun := make(map[string]Amount), make(map[*Job]bool)
	use := func(l Launch) {
		taken[l.Machine] = taken[l.Machine].Plus(Of(l.Job.Job), 1)
		t := teams[l.Job.Team]
		t.use(Of(l.Job.Job))
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
		if begun[j] || n > pl.Tasks || pl.Teams[j.Team] == nil || !team.allows(Amount{}.Plus(Of(j.Job), float64(n))) {
			continue
		}
		for _, zone := range pl.zonesOf(j) {
			picks := pl.standingRoom(j, zone, n, taken)
			if picks == nil {
				continue
			}
			for i, m := range picks {
				l := Launch{j, j.Waiting[i], m.ID}
				pl.plan.Launches = append(pl.plan.Launches, l)
				m.taken = true
				use(l)
			}
			pl.Tasks -= n
			break
		}
	}
}

// standingRoom picks machines for so many tasks of a job that stands: those that hold its image first.
// Where something is being stopped, what it is for has the rest.
func (pl *planner) standingRoom(j *Job, zone string, n int, taken map[string]Amount) (picks []*Machine) {
	need, in, own := Of(j.Job), make(map[string]int), make(map[*Machine]int)
	for _, holds := range []bool{true, false} {
		for _, m := range pl.usable {
			if m.holds(j.Image) != holds || !m.Usable || m.leaving != (Amount{}) || !allowed(j, pl.offers[m.offer]) || zone != "" && zone != m.Zone {
				continue
			}
			for len(picks) < n && zoneOpen(j, in, m.Zone) && m.Long.Plus(taken[m.ID], -1).Plus(need, -float64(own[m])).Fits(need) {
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
