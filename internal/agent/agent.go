package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Resources is what a machine has for tasks.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
}

// Agent is a worker with its edges.
type Agent struct {
	Core              *Core
	Net               transport.Network
	Listen            string            // its address
	Controllers       map[string]string // names to public addresses
	HeartbeatInterval time.Duration     // time between two reports
	Capacity          Resources
	Actions           *action.Runner
	Log               *slog.Logger

	mu       sync.Mutex
	cancels  map[Key]context.CancelFunc
	exited   map[Key]chan struct{} // closed when the last process of an attempt is gone
	reserved map[Key]Resources
	dying    []chan struct{} // of the session before, closed when their processes are gone
	wake     chan struct{}
	caller   *transport.Caller
	ctx      context.Context
	group    sync.WaitGroup
}

// Times of the worker's protocol.
const (
	answerTimeout   = 4 * time.Second
	minHeartbeatGap = 500 * time.Millisecond
)

// Run works until the context ends; then every task is killed.
func (a *Agent) Run(ctx context.Context) error {
	a.cancels, a.exited, a.reserved = make(map[Key]context.CancelFunc), make(map[Key]chan struct{}), make(map[Key]Resources)
	a.wake = make(chan struct{}, 1)
	a.caller = &transport.Caller{MaxBody: 1 << 20, Dial: a.Net.Dial}
	g, ctx := errgroup.WithContext(ctx)
	a.ctx = ctx
	g.Go(func() error {
		return a.Net.Listen(ctx, a.Listen, 256, transport.HTTP(wire.MaxBody, 90*time.Second, a.serve))
	})
	g.Go(func() error { return a.heartbeats(ctx) })
	err := g.Wait()
	a.group.Wait()
	return err
}

// serve answers direct calls.
func (a *Agent) serve(_ context.Context, req *httpwire.Request) *httpwire.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.Core.Expire(time.Now()))
	for _, gone := range a.dying {
		select {
		case <-gone:
		default:
			return &httpwire.Response{Status: 503, RetryAfter: time.Second}
		}
	}
	switch {
	case req.Path == wire.PathStatus && req.Method == "GET":
		return &httpwire.Response{Status: 200, Body: wire.Encode(a.Core.Heartbeat())}
	case req.Path != wire.PathCommands || req.Method != "POST":
		return &httpwire.Response{Status: 404}
	}
	var d wire.CommandRequest
	if err := wire.Decode(req.Body, &d); err != nil || d.FencingToken == 0 || d.Incarnation == 0 {
		return &httpwire.Response{Status: 400}
	}
	e, ok := a.Core.HandleDirect(time.Now(), d)
	a.apply(e)
	status := 200
	if !ok {
		status = 409
	}
	return &httpwire.Response{Status: status, Body: wire.Encode(a.Core.Heartbeat())}
}

// apply carries out effects; the lock is held.
func (a *Agent) apply(e Effects) {
	if e.NewIncarnation {
		a.dying = slices.Collect(maps.Values(a.exited))
	}
	for _, k := range e.Kill {
		if kill := a.cancels[k]; kill != nil {
			a.Log.Info("killing", "task", k.Task, "attempt", k.Attempt)
			kill()
		}
	}
	for _, k := range e.Start {
		ctx, kill := context.WithCancel(a.ctx)
		a.cancels[k], a.exited[k] = kill, make(chan struct{})
		a.group.Add(1)
		go a.run(ctx, k, a.pendingExits(k))
	}
	if e.HeartbeatNow {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// pendingExits lists what must be gone before an attempt may start: earlier attempts of
// the same task that were killed and are not reaped yet.
func (a *Agent) pendingExits(k Key) (wait []chan struct{}) {
	for other, gone := range a.exited {
		if other.Task == k.Task && other != k {
			wait = append(wait, gone)
		}
	}
	return wait
}

// heartbeats keeps one report in flight, to one controller at a time.
func (a *Agent) heartbeats(ctx context.Context) error {
	names := slices.Sorted(maps.Keys(a.Controllers))
	node := names[rand.IntN(len(names))]
	for ctx.Err() == nil {
		a.mu.Lock()
		a.apply(a.Core.Expire(time.Now()))
		dying := a.dying
		a.mu.Unlock()
		for _, gone := range dying {
			<-gone
		}
		a.mu.Lock()
		session := a.Core.Incarnation()
		body := wire.Encode(a.Core.NextHeartbeat())
		a.mu.Unlock()
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		resp, err := a.caller.Call(call, a.Controllers[node], "POST", wire.PathHeartbeat, body)
		cancel()
		wait := a.HeartbeatInterval*3/4 + time.Duration(rand.Int64N(int64(a.HeartbeatInterval/2)+1))
		var answer wire.HeartbeatResponse
		if err == nil && resp.Status == 200 && wire.Decode(resp.Body, &answer) == nil {
			a.mu.Lock()
			a.apply(a.Core.Expire(time.Now()))
			a.apply(a.Core.HandleAnswer(time.Now(), sent, session, answer))
			a.mu.Unlock()
			a.waitForNext(ctx, wait)
			continue
		}
		var r wire.Redirect
		if err == nil && resp.Status == 421 {
			_ = wire.Decode(resp.Body, &r)
		}
		if a.Controllers[r.Leader] != "" && r.Leader != node {
			node = r.Leader
			continue
		}
		node = names[(slices.Index(names, node)+1)%len(names)]
		pause(ctx, time.Second)
	}
	return nil
}

// waitForNext waits for the next report: as long as said, or, after a change, no shorter
// than the protocol allows.
func (a *Agent) waitForNext(ctx context.Context, wait time.Duration) {
	begun := time.Now()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-a.wake:
		pause(ctx, minHeartbeatGap-time.Since(begun))
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
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
