package scheduler

import (
	"cmp"
	"math"
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// mayPreempt reports whether the protocol lets a job stop another's task:
// lesser priority, or work beyond a team's own guarantee for one within it.
// What would get the room again before the job does is left alone, or the two
// would chase each other for ever.
func (pl *planner) mayPreempt(j, victim *Job) bool {
	if victim.queuePosition < j.queuePosition {
		return false
	}
	if tier.MayPreempt(&j.work, &victim.work, false) {
		return true
	}
	t := pl.Teams[victim.Team]
	return j.guaranteed && tier.MayPreempt(&j.work, &victim.work, t != nil && (t.GuaranteedGPUs > 0 && t.UsedGPUs+t.RemoteUsedGPUs-victim.GPUs >= t.GuaranteedGPUs || t.GuaranteedGPUs == 0 && t.GuaranteedCPUs == 0))
}

// canPreempt reports whether there is anything that a job might stop.
func (pl *planner) canPreempt(j *Job) bool {
	if pl.lowestRank < j.Priority.Rank() {
		return true
	}
	if j.guaranteed {
		for _, t := range pl.Teams {
			if t.GuaranteedGPUs > 0 && t.UsedGPUs+t.RemoteUsedGPUs > t.GuaranteedGPUs || t.GuaranteedGPUs == 0 && t.GuaranteedCPUs == 0 {
				return true
			}
		}
	}
	return false
}

// reservedPreemptionFactor is by how much more it costs to stop work where another job gathers room: that
// room goes with it.
const reservedPreemptionFactor = 4

// preempt stops the work that loses least on one machine, so that a task fits.
func (pl *planner) preempt(j *Job, need Resources, ok func(*Machine) bool) *Machine {
	if !pl.canPreempt(j) {
		return nil
	}
	rank := j.Priority.Rank()
	if j.guaranteed {
		rank = len(Machine{}.loadByRank)
	}
	var best *Machine
	var victims []int
	cost := math.Inf(1)
	fetch := pl.fetchTime(j).Seconds() * (need.GPUs + need.CPUs/16)
	for _, m := range pl.usable {
		room := m.Free.AddScaled(m.stopping, 1)
		for _, l := range m.loadByRank[:rank] {
			room = room.AddScaled(l, 1)
		}
		if !room.Fits(need) || !ok(m) {
			continue
		}
		if pl.searchBudget--; pl.searchBudget < 0 {
			break
		}
		v, c := pl.victims(j, need, m)
		if !m.hasImage(j.Image) { // the room stands empty while the image comes
			c += fetch
		}
		if m.reservedForOther(j) { // as far as there is other room
			c *= reservedPreemptionFactor
		}
		if v != nil && c < cost {
			best, victims, cost = m, v, c
		}
	}
	if best == nil {
		return nil
	}
	if best.stopping == (Resources{}) {
		pl.stoppingMachines = append(pl.stoppingMachines, best)
	}
	for _, i := range victims {
		t := &best.Tasks[i]
		pl.recordUndo(best, i)
		t.Stopping = true
		takes := ResourcesOf(t.Job.Job)
		best.stopping = best.stopping.AddScaled(takes, 1)
		best.loadByRank[t.Job.Priority.Rank()] = best.loadByRank[t.Job.Priority.Rank()].AddScaled(takes, -1)
		pl.plan.Stops = append(pl.plan.Stops, Stop{t.Job, t.Index, best.ID, "room for " + j.ID, j, pl.endsBeforeReclaim(j, *t)})
	}
	return best
}

func (pl *planner) victims(j *Job, need Resources, m *Machine) (picked []int, cost float64) {
	room := m.Free.AddScaled(m.stopping, 1)
	order := make([]int, 0, len(m.Tasks))
	for i, t := range m.Tasks {
		if !t.Stopping && pl.mayPreempt(j, t.Job) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(pl.preemptionCost(j, m.Tasks[a]), pl.preemptionCost(j, m.Tasks[b]))
	})
	for _, i := range order {
		if room.Fits(need) {
			break
		}
		if !pl.mayTakeFromTier(j, m, picked, i) {
			continue
		}
		room = room.AddScaled(ResourcesOf(m.Tasks[i].Job.Job), 1)
		picked = append(picked, i)
		cost += pl.preemptionCost(j, m.Tasks[i])
	}
	if !room.Fits(need) {
		return nil, 0
	}
	return picked, cost
}

// preemptionCost is what stopping a task for a job wastes: nothing where it ends in time by itself.
func (pl *planner) preemptionCost(j *Job, t Task) float64 {
	if pl.endsBeforeReclaim(j, t) {
		return 0
	}
	return stopCost(t)
}

// failedAttemptCost is the loss, in seconds, for each time that a task was stopped before it ran: what waits for
// its image loses nothing else, and would be the cheapest to stop again and again.
const failedAttemptCost = 60

// stopCost is what stopping a task wastes, in seconds of GPUs and CPUs. With a task of a gang all
// its mates go, and the wait for room for all of them, which it has to go through again.
func stopCost(t Task) float64 {
	lost := t.RunTime.Seconds()
	if t.Job.CheckpointS > 0 {
		lost = min(lost, t.Job.SaveS)
	}
	if t.RunTime == 0 {
		lost += float64(t.FailedAttempts) * failedAttemptCost
	}
	tasks := 1
	if t.Job.Shape == wire.Gang && t.Job.Active > 1 {
		tasks = t.Job.Active
		lost += max(0, (t.Job.Age - t.RunTime).Seconds())
	}
	return (lost + 5) * (t.Job.GPUs + t.Job.CPUs/16) * float64(tasks)
}
