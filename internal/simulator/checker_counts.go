package simulator

import (
	"context"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Counts returns how many tasks run and have started.
func (c *Checker) Counts() (running, started int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, where := range c.placements {
		running += len(where)
	}
	return running, c.Started
}

// Running returns the running tasks of a job.
func (c *Checker) Running(job string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, where := range c.placements {
		if t.Job == job && len(where) > 0 {
			n++
		}
	}
	return n
}

// Replicas counts the running tasks of services of a class.
func (c *Checker) Replicas(class string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := map[string]int{}
	for t, where := range c.placements {
		for _, zone := range where {
			if c.submitted[t.Job].Class == class {
				in[zone]++
			}
		}
	}
	return in
}

// OpenJobs lists the jobs without a final answer.
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

// Stage returns the last stage that was answered for a job.
func (c *Checker) Stage(id string) wire.Stage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastStage[id]
}

// sampleInterval is how often the machines are sampled.
const sampleInterval = 3 * time.Second

// WatchMachines samples the cloud's machines until the context ends.
func (c *Checker) WatchMachines(ctx context.Context, cloud *Cloud) {
	for ctx.Err() == nil {
		sleepContext(ctx, sampleInterval)
		if now := time.Now(); ctx.Err() == nil && c.Starvation.IsQuiet(now) {
			c.sampleMachines(now, cloud)
		}
	}
}

// sampleMachines passes one sample of machines, jobs and quota use to the starvation checker.
func (c *Checker) sampleMachines(now time.Time, cloud *Cloud) {
	var places []MachineState
	on := map[string]map[int]string{}
	put := func(t wire.TaskID, zone string) {
		if on[t.Job] == nil {
			on[t.Job] = map[int]string{}
		}
		on[t.Job][t.Index] = zone
	}
	cloud.EachRunning(func(_ wire.ListedMachine, m Machine) {
		if w, is := m.(StateReporter); is {
			p, ok := w.State()
			for _, t := range p.Tasks {
				put(t, p.Zone)
			}
			if ok {
				places = append(places, p)
			}
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for t, where := range c.placements {
		for _, zone := range where {
			put(t, zone)
		}
	}
	used := map[string]TeamLimit{}
	for id, tasks := range on {
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
		jobs = append(jobs, PendingJob{Job: c.submitted[id], Placed: on[id], Finished: func(i int) bool { return c.finished[wire.TaskID{Job: id, Index: i}] }})
	}
	c.Starvation.Sample(now, places, jobs, used)
}
