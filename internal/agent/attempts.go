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

// Resources is an amount of a machine's resources, such as the capacity of a machine or the request of a task.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// exceeds reports whether r is more than free in any resource. It tolerates rounding errors.
func (r Resources) exceeds(free Resources) bool {
	const epsilon = 1e-9
	return r.CPUs > free.CPUs+epsilon || r.GPUs > free.GPUs+epsilon || r.MemoryGB > free.MemoryGB+epsilon
}

// run waits until all channels in waitFor are closed and then runs an attempt to its end.
func (a *Agent) run(ctx context.Context, key AttemptKey, waitFor []chan struct{}) {
	defer a.attemptGroup.Done()
	for _, exited := range waitFor {
		<-exited
	}
	cause := a.execute(ctx, key)
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.exited[key])
	a.cancels[key]()
	delete(a.exited, key)
	delete(a.cancels, key)
	delete(a.reserved, key)
	if ctx.Err() == nil || cause == wire.CauseDone {
		a.Log.Info("task ended", "task", key.Task, "attempt", key.Attempt, "cause", cause)
	}
	a.apply(a.Core.MarkEnded(key, cause))
}

// execute fetches the job of an attempt and runs its action. It returns the cause with which the attempt ended.
func (a *Agent) execute(ctx context.Context, key AttemptKey) wire.Cause {
	job, err := a.fetchJob(ctx, key.Task.Job)
	switch {
	case errors.Is(err, errUnknownJob):
		return wire.CauseUnknown
	case err != nil:
		return wire.CauseError
	case !a.reserve(key, job):
		return wire.CauseNoCapacity
	}
	w, digest, err := action.ParseWork(job.Work)
	if err != nil {
		a.Log.Warn("job not understood", "job", job.ID, "err", err)
		return wire.CauseError
	}
	a.mu.Lock()
	a.apply(a.Core.MarkRunning(key))
	a.mu.Unlock()
	a.Log.Info("task runs", "task", key.Task, "attempt", key.Attempt, "action", digest)
	if err := a.Actions.Run(ctx, job.ID, w, digest); err != nil {
		if ctx.Err() == nil {
			a.Log.Warn("task failed", "task", key.Task, "attempt", key.Attempt, "err", err)
		}
		return wire.CauseError
	}
	return wire.CauseDone
}

// reserve reserves the resources of a job for an attempt. It reports false if they are not free.
func (a *Agent) reserve(key AttemptKey, j *wire.Job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	free := a.Capacity
	for _, t := range a.reserved {
		free.CPUs, free.GPUs, free.MemoryGB = free.CPUs-t.CPUs, free.GPUs-t.GPUs, free.MemoryGB-t.MemoryGB
	}
	needed := Resources{j.CPUs, j.GPUs, j.MemoryGB}
	if needed.exceeds(free) {
		return false
	}
	a.reserved[key] = needed
	return true
}

// errUnknownJob means that the job does not exist or has ended.
var errUnknownJob = errors.New("no such job")

// fetchRetryDelay is the time before a job is requested from the next controller.
const fetchRetryDelay = 200 * time.Millisecond

// fetchJob requests the description of a job from the controllers in turn, until one of them returns it or reports
// that the job is unknown. It starts at a random controller.
func (a *Agent) fetchJob(ctx context.Context, id string) (*wire.Job, error) {
	names := slices.Sorted(maps.Keys(a.Controllers))
	path := wire.PathJobs + "/" + id + "/" + wire.WorkPathSuffix
	for attempt := rand.IntN(len(names)); ctx.Err() == nil; attempt++ {
		resp, err := a.call(ctx, names[attempt%len(names)], "GET", path, nil)
		switch {
		case err == nil && resp.Status == 200:
			var j wire.Job
			if err := wire.Decode(resp.Body, &j); err != nil {
				return nil, fmt.Errorf("decode the description of job %s: %w", id, err)
			}
			if j.ID != id {
				return nil, fmt.Errorf("asked for job %s, got the description of %q", id, j.ID)
			}
			return &j, nil
		case err == nil && (resp.Status == 404 || resp.Status == 410):
			return nil, errUnknownJob
		}
		sleep(ctx, fetchRetryDelay)
	}
	return nil, ctx.Err()
}
