package simulator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// checkCancelled records a violation if a task still runs when CancelWithin has passed since the user
// was told of its cancellation.
func (c *Checker) checkCancelled(t wire.TaskID, zones map[string]string) {
	if toldAt, ok := c.cancelled[t.Job]; ok && len(zones) > 0 && time.Since(toldAt) > c.CancelWithin {
		c.recordViolation("ran_cancelled", "%v is on %v %v after its user was told", t, zones, time.Since(toldAt))
	}
}

// SetTaskRunTimes sets the run time of each task of a job that will be submitted later. If there are
// more tasks than run times, these are used again from the start.
func (c *Checker) SetTaskRunTimes(job string, runTimes ...time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskRunTimes[job] = runTimes
}

// TaskStarted implements Fixture. It checks the start of a task against every rule and returns the
// task's run time.
func (c *Checker) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.submitted[t.Job]
	if j == nil {
		return 0, false
	}
	c.Started++
	if len(c.placements[t]) > 0 {
		c.recordViolation("ran_twice", "%v starts on %s while it is on %v", t, machine, c.placements[t])
	}
	if c.placements[t] == nil {
		c.placements[t] = map[string]string{}
	}
	c.placements[t][machine], c.startedAt[t] = zone, time.Now()
	c.usedGPUs[j.Team] += j.GPUs
	if limit := c.GPULimits[j.Team]; limit > 0 && c.usedGPUs[j.Team] > limit {
		c.recordViolation("quota", "team %s uses %v of %v", j.Team, c.usedGPUs[j.Team], limit)
	}
	if spot && !j.Spot || len(j.Types) > 0 && !slices.Contains(j.Types, typ) || j.Zone != "" && j.Zone != zone {
		c.recordViolation("wrong_place", "%v on %s %s in %s", t, typ, machine, zone)
	}
	c.checkZones(j, t)
	c.Launches.TaskStarted(time.Now(), t)
	if toldAt, ok := c.cancelled[t.Job]; ok && time.Since(toldAt) > c.CancelWithin {
		c.recordViolation("ran_cancelled", "%v starts %v after its user was told", t, time.Since(toldAt))
	}
	if c.finished[t] { // a completed task that is started again ends almost at once
		return 10 * time.Millisecond, true
	}
	return c.taskRunTime(t), true
}

// SetMistaken has all tasks of a job fail after a run time, on whatever machine, like those of a job that was submitted with a
// mistake.
func (c *Checker) SetMistaken(job string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mistakenJobs[job] = after
}

// SetFaulty has all tasks on a machine fail after a run time, until it is called with 0.
func (c *Checker) SetFaulty(machine string, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after == 0 {
		delete(c.faultyMachines, machine)
		return
	}
	c.faultyMachines[machine] = after
}

// FailsAfter implements FailingFixture.
func (c *Checker) FailsAfter(t wire.TaskID, machine string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after, mistaken := c.mistakenJobs[t.Job]; mistaken {
		return after, true
	}
	after, faulty := c.faultyMachines[machine]
	return after, faulty
}

// taskRunTime returns the run time of a task.
func (c *Checker) taskRunTime(t wire.TaskID) time.Duration {
	if runTimes := c.taskRunTimes[t.Job]; len(runTimes) > 0 {
		return runTimes[t.Index%len(runTimes)]
	}
	return c.runTimes[t.Job]
}

// LongRunning returns up to n jobs that have a task with at least the given run time left, the longest
// first, and the machines on which their tasks run.
func (c *Checker) LongRunning(n int, minLeft time.Duration) (jobs, machines []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, machinesOf := map[string]time.Duration{}, map[string][]string{}
	for t, zones := range c.placements {
		if len(zones) > 0 && !c.lastStage[t.Job].Final() && !c.cancelRequested[t.Job] {
			left[t.Job] = max(left[t.Job], c.taskRunTime(t)-time.Since(c.startedAt[t]))
			machinesOf[t.Job] = slices.AppendSeq(machinesOf[t.Job], maps.Keys(zones))
		}
	}
	jobs = slices.SortedFunc(maps.Keys(left), func(a, b string) int { return cmp.Or(cmp.Compare(left[b], left[a]), cmp.Compare(a, b)) })
	jobs = slices.DeleteFunc(jobs, func(id string) bool { return left[id] < minLeft })
	jobs = jobs[:min(n, len(jobs))]
	for _, id := range jobs {
		machines = append(machines, machinesOf[id]...)
	}
	slices.Sort(machines)
	return jobs, slices.Compact(machines)
}

// Finished reports whether all tasks of a job have completed.
func (c *Checker) Finished(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.submitted[job]
	for i := 0; j != nil && i < j.Tasks; i++ {
		if !c.finished[wire.TaskID{Job: job, Index: i}] {
			return false
		}
	}
	return j != nil
}

// checkZones verifies the zone constraints of a job's running tasks.
func (c *Checker) checkZones(j *wire.Job, t wire.TaskID) {
	byZone := map[string]int{}
	for i := range j.Tasks {
		for _, zone := range c.placements[wire.TaskID{Job: j.ID, Index: i}] {
			byZone[zone]++
		}
	}
	for _, n := range byZone {
		if j.OneZone && len(byZone) > 1 || j.Spread && n > (j.Tasks+1)/2 {
			c.recordViolation("wrong_place", "%v: the job's tasks are in %v", t, byZone)
			return
		}
	}
}

// TaskStopped implements Fixture. It records that a task no longer runs on a machine.
func (c *Checker) TaskStopped(t wire.TaskID, machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.placements[t][machine]; ok {
		c.checkCancelled(t, c.placements[t])
		if !c.finished[t] {
			c.Stopped++
		}
		delete(c.placements[t], machine)
		c.usedGPUs[c.submitted[t.Job].Team] -= c.submitted[t.Job].GPUs
	}
}

// TaskCompleted implements Fixture. It records that a task has completed.
func (c *Checker) TaskCompleted(t wire.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finished[t] = true
	if j := c.submitted[t.Job]; j.Shape == wire.Gang { // the tasks of a gang complete together
		for i := range j.Tasks {
			c.finished[wire.TaskID{Job: t.Job, Index: i}] = true
		}
	}
}
