package simulator

import (
	"context"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Counts returns how many tasks are running and how many have been started in total.
func (c *Checker) Counts() (running, started int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, zones := range c.placements {
		running += len(zones)
	}
	return running, c.Started
}

// RunningTasks returns the number of running tasks of a job.
func (c *Checker) RunningTasks(job string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, zones := range c.placements {
		if t.Job == job && len(zones) > 0 {
			n++
		}
	}
	return n
}

// Replicas returns the number of running tasks of a job class in each zone.
func (c *Checker) Replicas(class string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	byZone := map[string]int{}
	for t, zones := range c.placements {
		for _, zone := range zones {
			if c.submitted[t.Job].Class == class {
				byZone[zone]++
			}
		}
	}
	return byZone
}

// OpenJobs lists the jobs for which no final stage was answered, each with its last stage.
func (c *Checker) OpenJobs() (jobs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.submitted {
		if !c.lastStage[id].Final() {
			jobs = append(jobs, id+" "+string(c.lastStage[id]))
		}
	}
	slices.Sort(jobs)
	return jobs
}

// Stage returns the last stage that was answered for a job, or "" if there is none.
func (c *Checker) Stage(id string) wire.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastStage[id]
}

// sampleInterval is the time between two samples of the machines.
const sampleInterval = 3 * time.Second

// WatchMachines samples the cloud's machines for the starvation checker until the context ends. It
// takes no samples while a fault is active.
func (c *Checker) WatchMachines(ctx context.Context, cloud *Cloud) {
	for ctx.Err() == nil {
		sleepContext(ctx, sampleInterval)
		if now := time.Now(); ctx.Err() == nil && c.Starvation.IsFaultFree(now) {
			c.sampleMachines(now, cloud)
		}
	}
}

// sampleMachines passes one sample of machines, pending jobs and the resources used by each team to
// the starvation checker.
func (c *Checker) sampleMachines(now time.Time, cloud *Cloud) {
	var machines []MachineState
	placed := map[string]map[int]string{} // zone by task index, by job
	addTask := func(t wire.TaskID, zone string) {
		if placed[t.Job] == nil {
			placed[t.Job] = map[int]string{}
		}
		placed[t.Job][t.Index] = zone
	}
	cloud.EachRunning(func(_ wire.ListedMachine, m Machine) {
		if reporter, reports := m.(StateReporter); reports {
			state, ok := reporter.State()
			for _, t := range state.Tasks {
				addTask(t, state.Zone)
			}
			if ok {
				machines = append(machines, state)
			}
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, zones := range c.placements {
		for _, zone := range zones {
			addTask(t, zone)
		}
	}
	used := map[string]TeamLimit{}
	for id, tasks := range placed {
		if j := c.submitted[id]; j != nil {
			u, n := used[j.Team], float64(len(tasks))
			used[j.Team] = TeamLimit{u.CPUs + n*j.CPUs, u.GPUs + n*j.GPUs}
		}
	}
	var jobs []PendingJob
	for _, id := range slices.Sorted(maps.Keys(c.submitted)) {
		if c.lastStage[id] == "" || c.lastStage[id].Final() || c.cancelRequested[id] {
			continue
		}
		jobs = append(jobs, PendingJob{Job: c.submitted[id], Placed: placed[id], Finished: func(i int) bool { return c.finished[wire.TaskID{Job: id, Index: i}] }})
	}
	c.Starvation.Sample(now, machines, jobs, used)
}
