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

// Agent drives a Core. It sends heartbeats, serves direct calls and runs tasks.
type Agent struct {
	Core              *Core
	Net               transport.Network
	Listen            string            // address on which direct calls are served
	Controllers       map[string]string // public addresses by name
	HeartbeatInterval time.Duration
	Capacity          Resources // available to all tasks together
	Actions           *action.Runner
	Log               *slog.Logger

	caller         *transport.Client
	earlyHeartbeat chan struct{} // requests an early heartbeat; has a buffer of one
	// startAttempt starts the goroutine of an attempt. The attempt is bound to the context of Run, because it outlives
	// the call that requests it.
	startAttempt func(AttemptKey, []chan struct{})
	attemptGroup sync.WaitGroup // goroutines of the attempts

	mu            sync.Mutex // also guards Core
	cancels       map[AttemptKey]context.CancelFunc
	exited        map[AttemptKey]chan struct{} // closed when the last process of an attempt has exited
	reserved      map[AttemptKey]Resources
	previousExits []chan struct{} // values of exited for the attempts of the previous incarnation
}

// Limits of the agent's connections and calls.
const (
	maxConns         = 256
	connIdleTimeout  = 90 * time.Second
	maxResponseBytes = 1 << 20
)

// Run runs the agent until the context ends. It then kills all tasks and returns once their processes have exited.
func (a *Agent) Run(ctx context.Context) error {
	a.cancels, a.exited, a.reserved = make(map[AttemptKey]context.CancelFunc), make(map[AttemptKey]chan struct{}), make(map[AttemptKey]Resources)
	a.earlyHeartbeat = make(chan struct{}, 1)
	a.caller = &transport.Client{MaxBody: maxResponseBytes, Dial: a.Net.Dial}
	g, ctx := errgroup.WithContext(ctx)
	a.startAttempt = func(key AttemptKey, waitFor []chan struct{}) {
		taskCtx, cancel := context.WithCancel(ctx)
		a.cancels[key], a.exited[key] = cancel, make(chan struct{})
		a.attemptGroup.Add(1)
		go a.run(taskCtx, key, waitFor)
	}
	g.Go(func() error {
		return a.Net.Listen(ctx, a.Listen, maxConns, transport.HTTP(wire.MaxBodyBytes, connIdleTimeout, a.serve))
	})
	g.Go(func() error { return a.heartbeats(ctx) })
	err := g.Wait()
	a.attemptGroup.Wait()
	return err
}

// serve handles direct calls, which are commands of the leader and requests for the machine's state.
func (a *Agent) serve(_ context.Context, req *httpwire.Request) *httpwire.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.Core.Expire(time.Now()))
	for _, exited := range a.previousExits {
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
	var command wire.CommandRequest
	if err := wire.Decode(req.Body, &command); err != nil || command.FencingToken == 0 || command.Incarnation == 0 {
		return &httpwire.Response{Status: 400}
	}
	effects, accepted := a.Core.HandleDirectCommands(time.Now(), command)
	a.apply(effects)
	status := 200
	if !accepted {
		status = 409
	}
	return &httpwire.Response{Status: status, Body: wire.Encode(a.Core.Heartbeat())}
}

// apply carries out the effects of a step of the Core. The caller holds the lock.
func (a *Agent) apply(effects Effects) {
	if effects.NewIncarnation {
		a.previousExits = slices.Collect(maps.Values(a.exited))
	}
	for _, key := range effects.Kill {
		if cancel := a.cancels[key]; cancel != nil {
			a.Log.Info("killing", "task", key.Task, "attempt", key.Attempt)
			cancel()
		}
	}
	for _, key := range effects.Start {
		a.startAttempt(key, a.pendingExits(key))
	}
	if effects.HeartbeatNow {
		select {
		case a.earlyHeartbeat <- struct{}{}:
		default:
		}
	}
}

// pendingExits returns the channels of the attempts that must have exited before a new attempt of the same task may
// start. These attempts were killed, but their processes have not been reaped yet.
func (a *Agent) pendingExits(key AttemptKey) (pending []chan struct{}) {
	for other, exited := range a.exited {
		if other.Task == key.Task && other != key {
			pending = append(pending, exited)
		}
	}
	return pending
}
