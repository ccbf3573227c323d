package scheduler

import (
	"cmp"
	"math"
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// mayPreempt reports whether a job may stop another's task: one of lesser priority, or, for work
// within its team's guarantee, one beyond that of its own team. What would get the capacity again
// before the job does is left alone, or the two would preempt each other for ever.
func (pl *planner) mayPreempt(j, victim *Job) bool {
	if victim.queuePosition < j.queuePosition {
		return false
	}
	if tier.MayPreempt(&j.work, &victim.work, false) {
		return true
	}
	if !j.guaranteed {
		return false
	}
	team := pl.Teams[victim.Team]
	return tier.MayPreempt(&j.work, &victim.work, team != nil && team.exceedsGuarantee(victim.GPUs))
}

// hasPreemptibleTasks reports whether there is anything that a job might stop.
func (pl *planner) hasPreemptibleTasks(j *Job) bool {
	if pl.lowestRank < j.Priority.Rank() {
		return true
	}
	if !j.guaranteed {
		return false
	}
	for _, t := range pl.Teams {
		if t.borrows() {
			return true
		}
	}
	return false
}

// preemption is tasks of one machine to stop.
type preemption struct {
	machine *Machine
	victims []int   // indices of its tasks
	cost    float64 // what stopping them loses, see stopCost
}

// preempt stops the work that loses least on one machine, so that a task of the job fits there
// once that has ended; nil means that there is none.
func (pl *planner) preempt(j *Job, need Resources, ok func(*Machine) bool) *Machine {
	if !pl.hasPreemptibleTasks(j) {
		return nil
	}
	best := pl.cheapestPreemption(j, need, ok)
	if best.machine == nil {
		return nil
	}
	if best.machine.stopping == (Resources{}) {
		pl.pool.stopping = append(pl.pool.stopping, best.machine)
	}
	for _, i := range best.victims {
		pl.planStop(j, best.machine, i)
	}
	return best.machine
}

// reservedPreemptionFactor is by how much more it costs to stop work where capacity is reserved
// for another job: it takes that along.
const reservedPreemptionFactor = 4

// cheapestPreemption finds the tasks to stop on one machine that lose least.
func (pl *planner) cheapestPreemption(j *Job, need Resources, ok func(*Machine) bool) preemption {
	rank := j.Priority.Rank()
	if j.guaranteed {
		rank = ranks
	}
	best := preemption{cost: math.Inf(1)}
	fetch := pl.fetchTime(j).Seconds() * gpuEquivalents(need)
	for _, m := range pl.pool.usable {
		if !m.freeWithoutLowerRanks(rank).Fits(need) || !ok(m) {
			continue
		}
		pl.searchBudget--
		if pl.searchBudget < 0 {
			break
		}
		victims, cost := pl.selectVictims(j, need, m)
		if !m.hasImage(j.Image) { // the capacity is idle while the image comes
			cost += fetch
		}
		if m.reservedForOther(j) {
			cost *= reservedPreemptionFactor
		}
		if victims != nil && cost < best.cost {
			best = preemption{m, victims, cost}
		}
	}
	return best
}

// victims picks the tasks to stop on a machine so that a task of the job fits, those first that
// lose least; none if it can't fit.
func (pl *planner) selectVictims(j *Job, need Resources, m *Machine) (picked []int, cost float64) {
	order := make([]int, 0, len(m.Tasks))
	for i, t := range m.Tasks {
		if !t.Stopping && pl.mayPreempt(j, t.Job) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(pl.preemptionCost(j, m.Tasks[a]), pl.preemptionCost(j, m.Tasks[b]))
	})
	free := m.freeAfterStops()
	for _, i := range order {
		if free.Fits(need) {
			break
		}
		if !pl.mayTakeFromTier(j, m, picked, i) {
			continue
		}
		free = free.AddScaled(ResourcesOf(m.Tasks[i].Job.Job), 1)
		picked = append(picked, i)
		cost += pl.preemptionCost(j, m.Tasks[i])
	}
	if !free.Fits(need) {
		return nil, 0
	}
	return picked, cost
}

// stop plans to stop a task of a machine for a job.
func (pl *planner) planStop(j *Job, m *Machine, task int) {
	t := &m.Tasks[task]
	pl.undo.record(m, task)
	t.Stopping = true
	frees, rank := ResourcesOf(t.Job.Job), t.Job.Priority.Rank()
	m.stopping = m.stopping.AddScaled(frees, 1)
	m.loadByRank[rank] = m.loadByRank[rank].AddScaled(frees, -1)
	pl.plan.Stops = append(pl.plan.Stops, Stop{t.Job, t.Index, m.ID, "room for " + j.ID, j, pl.endsBeforeReclaim(j, *t)})
}

// preemptionCost is what stopping a task for a job loses: nothing where it ends in time by itself.
func (pl *planner) preemptionCost(j *Job, t Task) float64 {
	if pl.endsBeforeReclaim(j, t) {
		return 0
	}
	return stopCost(t)
}

const (
	// failedAttemptCost is the loss, in seconds, for each time that a task was stopped before it
	// ran: what waits for its image loses nothing else, and would be the cheapest to stop again and
	// again.
	failedAttemptCost = 60
	// stopOverhead is the loss, in seconds, that each stop has at least.
	stopOverhead = 5
	// cpusPerGPU is how many CPUs count as much as a GPU.
	cpusPerGPU = 16
)

// gpuEquivalents returns how much of a machine a task is, in GPUs.
func gpuEquivalents(r Resources) float64 { return r.GPUs + r.CPUs/cpusPerGPU }

// stopCost is what stopping a task loses, in seconds of GPUs. With a task of a gang all others go,
// and the wait for capacity for all of them, which it has to go through again.
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
	return (lost + stopOverhead) * gpuEquivalents(ResourcesOf(t.Job.Job)) * float64(tasks)
}
