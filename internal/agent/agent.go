package agent

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

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
