package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/wire"
)

// Resources is what a machine has for tasks.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// run carries out an attempt.
func (a *Agent) run(ctx context.Context, k Key, before []chan struct{}) {
	defer a.group.Done()
	for _, gone := range before {
		<-gone
	}
	why := a.work(ctx, k)
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.exited[k])
	a.cancels[k]()
	delete(a.exited, k)
	delete(a.cancels, k)
	delete(a.reserved, k)
	if ctx.Err() == nil || why == wire.CauseDone {
		a.Log.Info("task ended", "task", k.Task, "attempt", k.Attempt, "cause", why)
	}
	a.apply(a.Core.MarkEnded(k, why))
}

// work finds out what an attempt is to do, and does it.
func (a *Agent) work(ctx context.Context, k Key) wire.Cause {
	job, err := a.fetchJob(ctx, k.Task.Job)
	switch {
	case errors.Is(err, errUnknownJob):
		return wire.CauseUnknown
	case err != nil:
		return wire.CauseError
	case !a.reserve(k, job):
		return wire.CauseNoRoom
	}
	w, g, err := action.ParseWork(job.Work)
	if err != nil {
		a.Log.Warn("job not understood", "job", job.ID, "error", err)
		return wire.CauseError
	}
	a.mu.Lock()
	a.apply(a.Core.MarkRunning(k))
	a.mu.Unlock()
	a.Log.Info("task runs", "task", k.Task, "attempt", k.Attempt, "action", g)
	if err := a.Actions.Run(ctx, job.ID, w, g); err != nil {
		if ctx.Err() == nil {
			a.Log.Warn("task failed", "task", k.Task, "attempt", k.Attempt, "error", err)
		}
		return wire.CauseError
	}
	return wire.CauseDone
}

// reserve sets room aside for an attempt.
func (a *Agent) reserve(k Key, j *wire.Job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	free := a.Capacity
	for _, t := range a.reserved {
		free.CPUs, free.GPUs, free.MemoryGB = free.CPUs-t.CPUs, free.GPUs-t.GPUs, free.MemoryGB-t.MemoryGB
	}
	const dust = 1e-9
	if j.CPUs > free.CPUs+dust || j.GPUs > free.GPUs+dust || j.MemoryGB > free.MemoryGB+dust {
		return false
	}
	a.reserved[k] = Resources{j.CPUs, j.GPUs, j.MemoryGB}
	return true
}

var errUnknownJob = errors.New("no such job")

// fetchJob asks the controllers in turn for the description of a job, until one
// knows.
func (a *Agent) fetchJob(ctx context.Context, id string) (*wire.Job, error) {
	names := slices.Sorted(maps.Keys(a.Controllers))
	for try := rand.IntN(len(names)); ctx.Err() == nil; try++ {
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		resp, err := a.caller.Call(call, a.Controllers[names[try%len(names)]], "GET", wire.PathJobs+"/"+id+"/"+wire.WorkWord, nil)
		cancel()
		switch {
		case err == nil && resp.Status == 200:
			var j wire.Job
			if err := wire.Decode(resp.Body, &j); err != nil || j.ID != id {
				return nil, fmt.Errorf("the description of %s is not understood: %w", id, err)
			}
			return &j, nil
		case err == nil && (resp.Status == 404 || resp.Status == 410):
			return nil, errUnknownJob
		}
		pause(ctx, 200*time.Millisecond)
	}
	return nil, ctx.Err()
}
