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

// Agent runs a Core: it sends its heartbeats, serves direct calls and runs its tasks.
type Agent struct {
	Core              *Core
	Net               transport.Network
	Listen            string            // the machine's address
	Controllers       map[string]string // names to public addresses
	HeartbeatInterval time.Duration
	Capacity          Resources // for all tasks together
	Actions           *action.Runner
	Log               *slog.Logger

	caller *transport.Caller
	wake   chan struct{} // has room for one request to send a heartbeat early
	// launch starts the goroutine of an attempt. The attempt outlives the call that asks for
	// it: it ends with the context of Run.
	launch func(Key, []chan struct{})
	group  sync.WaitGroup // of the attempts

	mu       sync.Mutex // also guards Core
	cancels  map[Key]context.CancelFunc
	exited   map[Key]chan struct{} // closed once the last process of an attempt has exited
	reserved map[Key]Resources
	dying    []chan struct{} // attempts of the previous incarnation, as in exited
}

// Bounds of what the agent accepts.
const (
	maxConns        = 256
	connIdleTimeout = 90 * time.Second
	maxAnswerBytes  = 1 << 20
)

// Run works until the context ends, kills every task then, and returns once all their
// processes have exited.
func (a *Agent) Run(ctx context.Context) error {
	a.cancels, a.exited, a.reserved = make(map[Key]context.CancelFunc), make(map[Key]chan struct{}), make(map[Key]Resources)
	a.wake = make(chan struct{}, 1)
	a.caller = &transport.Caller{MaxBody: maxAnswerBytes, Dial: a.Net.Dial}
	g, ctx := errgroup.WithContext(ctx)
	a.launch = func(k Key, after []chan struct{}) {
		taskCtx, cancel := context.WithCancel(ctx)
		a.cancels[k], a.exited[k] = cancel, make(chan struct{})
		a.group.Add(1)
		go a.run(taskCtx, k, after)
	}
	g.Go(func() error {
		return a.Net.Listen(ctx, a.Listen, maxConns, transport.HTTP(wire.MaxBody, connIdleTimeout, a.serve))
	})
	g.Go(func() error { return a.heartbeats(ctx) })
	err := g.Wait()
	a.group.Wait()
	return err
}

// serve answers direct calls: commands of the leader, and questions for the machine's state.
func (a *Agent) serve(_ context.Context, req *httpwire.Request) *httpwire.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.Core.Expire(time.Now()))
	for _, exited := range a.dying {
		select {
		case <-exited:
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

// apply carries out the effects of a step of the Core. The lock is held.
func (a *Agent) apply(e Effects) {
	if e.NewIncarnation {
		a.dying = slices.Collect(maps.Values(a.exited))
	}
	for _, k := range e.Kill {
		if cancel := a.cancels[k]; cancel != nil {
			a.Log.Info("killing", "task", k.Task, "attempt", k.Attempt)
			cancel()
		}
	}
	for _, k := range e.Start {
		a.launch(k, a.pendingExits(k))
	}
	if e.HeartbeatNow {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
}

// pendingExits lists what must have exited before an attempt may start: other attempts of
// the same task that were killed but whose processes have not been reaped yet.
func (a *Agent) pendingExits(k Key) (pending []chan struct{}) {
	for other, exited := range a.exited {
		if other.Task == k.Task && other != k {
			pending = append(pending, exited)
		}
	}
	return pending
}
