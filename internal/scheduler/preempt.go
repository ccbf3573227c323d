package scheduler

import (
	"cmp"
	"math"
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// What is stopped to make room.

// mayPreempt reports whether the protocol lets a job stop another's task:
// lesser priority, or work beyond a team's own guarantee for one within it.
// What would get the room again before the job does is left alone, or the two
// would chase each other for ever.
func (pl *planner) mayPreempt(j, victim *Job) bool {
	if victim.place < j.place {
		return false
	}
	if tier.MayStop(&j.work, &victim.work, false) {
		return true
	}
	t := pl.Teams[victim.Team]
	return j.guaranteed && tier.MayStop(&j.work, &victim.work, t != nil && (t.GPUs > 0 && t.UsedGPUs+t.ElseGPUs-victim.GPUs >= t.GPUs || t.GPUs == 0 && t.CPUs == 0))
}

// canPreempt reports whether there is anything that a job might stop.
func (pl *planner) canPreempt(j *Job) bool {
	if pl.weakest < j.Priority.Rank() {
		return true
	}
	if j.guaranteed {
		for _, t := range pl.Teams {
			if t.GPUs > 0 && t.UsedGPUs+t.ElseGPUs > t.GPUs || t.GPUs == 0 && t.CPUs == 0 {
				return true
			}
		}
	}
	return false
}

// keptCost is by how much more it costs to stop work where another job gathers room: that
// room goes with it.
const keptCost = 4

// preempt stops the work that loses least on one machine, so that a task fits.
func (pl *planner) preempt(j *Job, need Amount, ok func(*Machine) bool) *Machine {
	if !pl.canPreempt(j) {
		return nil
	}
	rank := j.Priority.Rank()
	if j.guaranteed {
		rank = len(Machine{}.load)
	}
	var best *Machine
	var victims []int
	cost := math.Inf(1)
	fetch := pl.fetch(j).Seconds() * (need.GPUs + need.CPUs/16)
	for _, m := range pl.usable {
		room := m.Free.Plus(m.leaving, 1)
		for _, l := range m.load[:rank] {
			room = room.Plus(l, 1)
		}
		if !room.Fits(need) || !ok(m) {
			continue
		}
		if pl.effort--; pl.effort < 0 {
			break
		}
		v, c := pl.victims(j, need, m)
		if !m.holds(j.Image) { // the room stands empty while the image comes
			c += fetch
		}
		if m.keptFrom(j) { // as far as there is other room
			c *= keptCost
		}
		if v != nil && c < cost {
			best, victims, cost = m, v, c
		}
	}
	if best == nil {
		return nil
	}
	if best.leaving == (Amount{}) {
		pl.leaving = append(pl.leaving, best)
	}
	for _, i := range victims {
		t := &best.Tasks[i]
		pl.note(best, i)
		t.Stopping = true
		takes := Of(t.Job.Job)
		best.leaving = best.leaving.Plus(takes, 1)
		best.load[t.Job.Priority.Rank()] = best.load[t.Job.Priority.Rank()].Plus(takes, -1)
		pl.plan.Stops = append(pl.plan.Stops, Stop{t.Job, t.Index, best.ID, "room for " + j.ID, j, pl.endsSoon(j, *t)})
	}
	return best
}

func (pl *planner) victims(j *Job, need Amount, m *Machine) (picked []int, cost float64) {
	room := m.Free.Plus(m.leaving, 1)
	order := make([]int, 0, len(m.Tasks))
	for i, t := range m.Tasks {
		if !t.Stopping && pl.mayPreempt(j, t.Job) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(pl.loss(j, m.Tasks[a]), pl.loss(j, m.Tasks[b])) })
	for _, i := range order {
		if room.Fits(need) {
			break
		}
		if !pl.lent(j, m, picked, i) {
			continue
		}
		room = room.Plus(Of(m.Tasks[i].Job.Job), 1)
		picked = append(picked, i)
		cost += pl.loss(j, m.Tasks[i])
	}
	if !room.Fits(need) {
		return nil, 0
	}
	return picked, cost
}

// loss is what stopping a task for a job wastes: nothing where it ends in time by itself.
func (pl *planner) loss(j *Job, t Task) float64 {
	if pl.endsSoon(j, t) {
		return 0
	}
	return loss(t)
}

// vainCost is the loss, in seconds, for each time that a task was stopped before it ran: what waits for
// its image loses nothing else, and would be the cheapest to stop again and again.
const vainCost = 60

// loss is what stopping a task wastes, in seconds of GPUs and CPUs. With a task of a gang all
// its mates go, and the wait for room for all of them, which it has to go through again.
func loss(t Task) float64 {
	lost := t.Ran.Seconds()
	if t.Job.CheckpointS > 0 {
		lost = min(lost, t.Job.SaveS)
	}
	if t.Ran == 0 {
		lost += float64(t.Vain) * vainCost
	}
	tasks := 1
	if t.Job.Shape == wire.Gang && t.Job.Active > 1 {
		tasks = t.Job.Active
		lost += max(0, (t.Job.Age - t.Ran).Seconds())
	}
	return (lost + 5) * (t.Job.GPUs + t.Job.CPUs/16) * float64(tasks)
}
