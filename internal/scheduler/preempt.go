package scheduler

import (
	"cmp"
	"math"
	"slices"

	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

// mayPreempt reports whether a job may stop a task of the victim job. The victim must have a lower
// priority; a job within its team's guarantee may also stop work that exceeds the guarantee of the
// victim's team. A victim ahead of the job in the queue is never stopped: it would get the capacity
// back first, and the two jobs would preempt each other forever.
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

// hasPreemptibleTasks is a quick check that reports whether there may be tasks that a job may stop.
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

// preemption is a set of tasks to stop on one machine.
type preemption struct {
	machine *Machine
	victims []int   // indices in machine.Tasks
	cost    float64 // loss caused by stopping them, see preemptionCost
}

// preempt plans the cheapest preemption on one machine that makes room for a task of the job once
// the stopped tasks have ended. It returns the machine, or nil if no preemption is possible.
func (pl *planner) preempt(j *Job, need Resources, permitted func(*Machine) bool) *Machine {
	if !pl.hasPreemptibleTasks(j) {
		return nil
	}
	best := pl.cheapestPreemption(j, need, permitted)
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

// reservedPreemptionFactor multiplies the cost of a preemption on a machine with capacity reserved
// for another job, because the preemption takes that capacity too.
const reservedPreemptionFactor = 4

// cheapestPreemption finds the machine, and the tasks to stop on it, with the lowest preemption cost.
func (pl *planner) cheapestPreemption(j *Job, need Resources, permitted func(*Machine) bool) preemption {
	rank := j.Priority.Rank()
	if j.guaranteed {
		rank = priorityRanks
	}
	best := preemption{cost: math.Inf(1)}
	fetchCost := pl.fetchTime(j).Seconds() * gpuEquivalents(need)
	for _, m := range pl.pool.usable {
		if !m.freeWithoutLowerRanks(rank).Fits(need) || !permitted(m) {
			continue
		}
		pl.searchBudget--
		if pl.searchBudget < 0 {
			break
		}
		victims, cost := pl.selectVictims(j, need, m)
		if !m.hasImage(j.Image) { // the capacity is idle during the image fetch
			cost += fetchCost
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

// selectVictims picks tasks to stop on a machine, the cheapest first, until a task of the job fits.
// It returns nil if the task can't fit.
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

// planStop adds a stop of a machine's task in favor of a job to the plan.
func (pl *planner) planStop(j *Job, m *Machine, task int) {
	t := &m.Tasks[task]
	pl.undo.record(m, task)
	t.Stopping = true
	freed, rank := ResourcesOf(t.Job.Job), t.Job.Priority.Rank()
	m.stopping = m.stopping.AddScaled(freed, 1)
	m.loadByRank[rank] = m.loadByRank[rank].AddScaled(freed, -1)
	pl.plan.Stops = append(pl.plan.Stops, Stop{t.Job, t.Index, m.ID, "room for " + j.ID, j, pl.endsBeforeReclaim(j, *t)})
}

// preemptionCost returns the loss caused by stopping a task for a job. It is 0 for a task that is
// expected to complete before a reclaim would be due.
func (pl *planner) preemptionCost(j *Job, t Task) float64 {
	if pl.endsBeforeReclaim(j, t) {
		return 0
	}
	return stopCost(t)
}

const (
	// failedAttemptCost is the loss, in seconds, for each earlier attempt of a task that was stopped
	// before it ran. A task that is fetching its image has nothing else to lose; without this cost it
	// would be the cheapest to stop again and again.
	failedAttemptCost = 60
	// stopOverhead is the minimum loss, in seconds, of each stop.
	stopOverhead = 5
	// cpusPerGPU is the number of CPUs that weigh as much as one GPU.
	cpusPerGPU = 16
)

// gpuEquivalents returns the size of a task in GPUs, with its CPUs converted by cpusPerGPU.
func gpuEquivalents(r Resources) float64 { return r.GPUs + r.CPUs/cpusPerGPU }

// stopCost returns the loss caused by stopping a task, in GPU-seconds. Stopping a task of a gang stops
// the whole gang, which must then wait for capacity for all its tasks again.
func stopCost(t Task) float64 {
	lost := t.RunTime.Seconds()
	if t.Job.CheckpointS > 0 {
		lost = min(lost, t.Job.SaveS)
	}
	if t.RunTime == 0 {
		lost += float64(t.FailedAttempts) * failedAttemptCost
	}
	tasks := 1
	if t.Job.Shape == wire.Gang && t.Job.ActiveTasks > 1 {
		tasks = t.Job.ActiveTasks
		lost += max(0, (t.Job.Age - t.RunTime).Seconds())
	}
	return (lost + stopOverhead) * gpuEquivalents(ResourcesOf(t.Job.Job)) * float64(tasks)
}
