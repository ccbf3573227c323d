package simulator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Worker simulates a machine and its agent. It sends heartbeats, runs tasks, and kills all of them when its
// lease expires.
type Worker struct {
	id, addr, typ, zone      string
	spot                     bool
	spec                     wire.MachineType
	net                      transport.Network
	takeDown                 func() // disconnects the machine from the network
	caller                   *transport.Client
	controllers              map[string]string // addresses by name
	runtime                  *TaskRuntime
	lease, heartbeatInterval time.Duration
	callDelay                func() time.Duration // delay of each direct call, 0 for none
	runFactor, fetchFactor   float64              // multiples of the nominal run and fetch times
	sharedFetchRate          bool                 // concurrent image fetches share the rate
	replayer                 *HeartbeatReplayer

	mu                  sync.Mutex
	ctx                 context.Context
	stop                context.CancelFunc
	controller          string // name of the controller that gets the next heartbeat
	incarnation         uint64
	seq                 uint64    // sequence number of the last heartbeat of the incarnation
	token               uint64    // highest fencing token seen
	lastAnswered        time.Time // when the last answered heartbeat was sent
	terminatesAt        time.Time // when the cloud will reclaim the machine; zero without a termination notice
	pausedUntil         time.Time // when the machine's pause ends
	deferredActions     []func()  // actions to run after the pause, in order
	inboundFaults       int       // number of active DropInbound faults
	outboundFaults      int       // number of active BlockOutbound faults
	dialed              map[*dialedLink]bool
	tasks               map[string]*runningTask // by task and attempt, as task#attempt
	images              map[string]*cachedImage // by name
	fetchAccountedUntil time.Time               // time up to which remainingGB of the images is accurate
	heartbeatRequested  chan struct{}           // triggers a heartbeat before the interval has passed
}

// WorkerConfig is the configuration of a Worker.
type WorkerConfig struct {
	ID, Addr, Type, Zone     string
	Spot                     bool
	Spec                     wire.MachineType // the machine's resources
	Net                      transport.Network
	TakeDown                 func()            // disconnects the machine from the network when it is killed
	Controllers              map[string]string // addresses by name
	Runtime                  *TaskRuntime
	Lease, HeartbeatInterval time.Duration
	CallDelay                func() time.Duration // delay of each direct call; nil for none
	RunFactor, FetchFactor   float64              // multiples of the nominal run and fetch times; 0 stands for 1
	SharedFetchRate          bool                 // concurrent image fetches share the rate
	Replayer                 *HeartbeatReplayer   // replays some heartbeats; nil for none
}

// answerTimeout is how long a worker waits for the answer to a heartbeat.
const answerTimeout = 4 * time.Second

// NewWorker returns a worker and starts it.
func NewWorker(c WorkerConfig) *Worker {
	w := &Worker{id: c.ID, addr: c.Addr, typ: c.Type, zone: c.Zone, spot: c.Spot, spec: c.Spec, net: c.Net, takeDown: c.TakeDown, controllers: c.Controllers, runtime: c.Runtime,
		lease: c.Lease, heartbeatInterval: c.HeartbeatInterval, callDelay: c.CallDelay, runFactor: cmp.Or(c.RunFactor, 1), fetchFactor: cmp.Or(c.FetchFactor, 1), sharedFetchRate: c.SharedFetchRate, replayer: c.Replayer, incarnation: 1, lastAnswered: time.Now(),
		tasks: map[string]*runningTask{}, dialed: map[*dialedLink]bool{}, images: map[string]*cachedImage{}, heartbeatRequested: make(chan struct{}, 1)}
	if w.callDelay == nil {
		w.callDelay = func() time.Duration { return 0 }
	}
	w.caller = &transport.Client{MaxBody: 8 << 20, Dial: w.dialLink}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.controller = slices.Sorted(maps.Keys(w.controllers))[0]
	go func() { _ = w.net.Listen(w.ctx, w.addr, 64, w.serve()) }()
	go w.runHeartbeats()
	go w.watchLease()
	return w
}

// Notice gives the machine notice that the cloud will reclaim it after a delay.
func (w *Worker) Notice(in time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.terminatesAt = time.Now().Add(in)
	w.requestHeartbeat()
}

// Pause pauses the machine for d: it sends and answers nothing, and its tasks make no progress. They
// continue afterwards unless the lease has expired. The other members of a running gang exit if the pause
// is not shorter than GangPeerTimeout.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	extension := now.Add(d).Sub(latest(now, w.pausedUntil))
	if extension <= 0 {
		return
	}
	w.accountFetched()
	w.pausedUntil = now.Add(d)
	w.fetchAccountedUntil = w.pausedUntil
	w.rescheduleFetches()
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[key]
		t.pause(extension)
		if t.started && t.State != wire.TaskEnded && t.job.Shape == wire.Gang && t.job.Tasks > 1 {
			w.runtime.pauseMember(gangKey{t.ID.Job, t.Attempt}, extension)
		}
	}
	time.AfterFunc(d, w.runDeferred)
}

// runDeferred runs the actions that a pause has deferred, until the machine is paused again.
func (w *Worker) runDeferred() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for time.Until(w.pausedUntil) <= 0 && len(w.deferredActions) > 0 {
		action := w.deferredActions[0]
		w.deferredActions = w.deferredActions[1:]
		action()
	}
}

// whenResumed calls a function with the lock held: at once, or after the current pause if there is one.
func (w *Worker) whenResumed(action func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Until(w.pausedUntil) > 0 {
		w.deferredActions = append(w.deferredActions, action)
		return
	}
	action()
}

// waitWhilePaused blocks while the machine is paused.
func (w *Worker) waitWhilePaused() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		left := time.Until(w.pausedUntil)
		w.mu.Unlock()
		if left <= 0 {
			return
		}
		select {
		case <-w.ctx.Done():
		case <-time.After(left):
		}
	}
}

// Reboot terminates the machine with all its tasks and restarts it after downtime under the same name and
// address, as a new incarnation with an empty image cache. With forgetToken it also loses its fencing
// token.
func (w *Worker) Reboot(downtime time.Duration, forgetToken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killTasks()
	clear(w.images)
	w.incarnation++
	w.seq, w.terminatesAt, w.pausedUntil, w.deferredActions = 0, time.Time{}, time.Now().Add(downtime), nil
	w.lastAnswered = w.pausedUntil
	if forgetToken {
		w.token = 0
	}
}

// ExpiredLeases returns how many incarnations of the worker have ended, because their lease expired or the
// machine was rebooted.
func (w *Worker) ExpiredLeases() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.incarnation) - 1
}

// Kill terminates the machine and everything that runs on it.
func (w *Worker) Kill() {
	w.stop()
	w.takeDown()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killTasks()
}

// killTasks stops and removes all tasks.
func (w *Worker) killTasks() {
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[key]; t.State != wire.TaskEnded {
			w.releaseTask(t)
		}
		delete(w.tasks, key)
	}
}

// heartbeat builds the next heartbeat. The caller holds the lock.
func (w *Worker) heartbeat() wire.Heartbeat {
	w.seq++
	r := wire.Heartbeat{Machine: w.id, Addr: w.addr, Type: w.typ, Zone: w.zone, Spot: w.spot, Incarnation: w.incarnation, Seq: w.seq, FencingToken: w.token,
		Tasks: []wire.ReportedTask{}}
	if !w.terminatesAt.IsZero() {
		left := time.Until(w.terminatesAt).Seconds()
		r.TerminationNoticeS = &left
	}
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		r.Tasks = append(r.Tasks, w.tasks[key].ReportedTask)
	}
	return r
}

// expireLease kills all tasks and starts a new incarnation if the lease has expired. The caller holds the
// lock.
func (w *Worker) expireLease() {
	if time.Since(w.lastAnswered) > w.lease {
		w.killTasks()
		w.incarnation++
		w.seq, w.lastAnswered = 0, time.Now()
	}
}

// watchLease ends the incarnation as soon as its lease expires, even while the machine is paused or waits
// for an answer: its tasks end at that time and not when the machine next becomes active.
func (w *Worker) watchLease() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		w.expireLease()
		left := w.lease - time.Since(w.lastAnswered)
		w.mu.Unlock()
		select {
		case <-w.ctx.Done():
		case <-time.After(left + time.Millisecond):
		}
	}
}

// runHeartbeats sends heartbeats and executes the commands in their answers.
func (w *Worker) runHeartbeats() {
	for w.ctx.Err() == nil {
		w.waitWhilePaused()
		w.mu.Lock()
		w.expireLease()
		sent, incarnation := time.Now(), w.incarnation
		body, controller := wire.Encode(w.heartbeat()), w.controller
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(w.ctx, answerTimeout)
		w.replayer.heartbeatSent(w.controllers[controller], body, w.currentToken())
		resp, err := w.caller.Call(ctx, w.controllers[controller], "POST", wire.PathHeartbeat, body)
		cancel()
		w.waitWhilePaused()
		if err == nil && time.Since(sent) > answerTimeout { // a pause has outlasted the timeout
			err = context.DeadlineExceeded
		}
		interval, minDelay := w.heartbeatInterval, 500*time.Millisecond
		w.mu.Lock()
		var answer wire.HeartbeatResponse
		switch {
		case err == nil && resp.Status == 200 && wire.Decode(resp.Body, &answer) == nil:
			if answer.FencingToken >= w.token && incarnation == w.incarnation && w.ctx.Err() == nil {
				w.adoptToken(answer.FencingToken)
				w.lastAnswered = sent
				w.replayer.leaderAnswered(w.controllers[controller], answer.FencingToken)
				w.execute(answer.Commands)
			}
		default:
			var redirect wire.Redirect
			if err == nil && resp.Status == 421 {
				_ = wire.Decode(resp.Body, &redirect)
			}
			interval, minDelay = w.nextController(redirect.Leader), 0
		}
		w.mu.Unlock()
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(interval):
		case <-w.heartbeatRequested:
			time.Sleep(minDelay)
		}
	}
}

// nextController selects the controller for the next heartbeat and returns the delay until then. It selects
// the given leader if that is another known controller, otherwise the next controller in the order of their
// names. The caller holds the lock.
func (w *Worker) nextController(leader string) time.Duration {
	if w.controllers[leader] != "" && leader != w.controller {
		w.controller = leader
		return 100 * time.Millisecond
	}
	names := slices.Sorted(maps.Keys(w.controllers))
	w.controller = names[(slices.Index(names, w.controller)+1)%len(names)]
	return time.Second
}

// currentToken returns the highest fencing token that the worker has seen.
func (w *Worker) currentToken() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

// adoptToken records a fencing token that is higher than those seen before and requests a heartbeat. The
// caller holds the lock.
func (w *Worker) adoptToken(token uint64) {
	if token > w.token {
		w.token = token
		w.requestHeartbeat()
	}
}

// requestHeartbeat triggers a heartbeat before the interval has passed. It does not block.
func (w *Worker) requestHeartbeat() {
	select {
	case w.heartbeatRequested <- struct{}{}:
	default:
	}
}

// serve returns a handler for direct calls to the machine that is subject to DropInbound.
func (w *Worker) serve() transport.ServeConn {
	serve := w.handleRequests()
	return func(ctx context.Context, s transport.Stream) { serve(ctx, &acceptedLink{s, link{worker: w}}) }
}

// handleRequests returns a handler for direct calls with commands and for status requests.
func (w *Worker) handleRequests() transport.ServeConn {
	return serveHTTP(func(method, path string, _ map[string]string, body []byte) (int, any) {
		w.waitWhilePaused()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expireLease()
		if path == wire.PathStatus {
			return 200, w.heartbeat()
		}
		var request wire.CommandRequest
		if err := wire.Decode(body, &request); err != nil || w.ctx.Err() != nil {
			return 400, nil
		}
		if delay := w.callDelay(); delay > 0 { // executed late, and not answered
			time.AfterFunc(delay, func() {
				w.whenResumed(func() {
					w.expireLease()
					w.handleDirect(request)
				})
			})
			return 0, nil
		}
		return w.handleDirect(request), w.heartbeat()
	})
}

// handleDirect executes the commands of a direct call and returns the HTTP status: 409 if the fencing token
// or the incarnation of the call is stale. The caller holds the lock.
func (w *Worker) handleDirect(request wire.CommandRequest) int {
	if request.FencingToken < w.token || request.Incarnation != w.incarnation || w.ctx.Err() != nil {
		return 409
	}
	w.adoptToken(request.FencingToken)
	w.execute(request.Commands)
	return 200
}

// State returns the machine's free capacity and tasks. ok is false while no task can be started there.
func (w *Worker) State() (state MachineState, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec := w.spec
	state = MachineState{Machine: w.id, Type: w.typ, Zone: w.zone, Spot: w.spot, FreeCPUs: spec.CPUs, FreeGPUs: spec.GPUs, FreeMemoryGB: spec.MemoryGB, CacheGB: spec.CacheGB}
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[key]; t.State != wire.TaskEnded {
			state.Tasks = append(state.Tasks, t.ID)
			if t.job != nil {
				state.FreeCPUs, state.FreeGPUs, state.FreeMemoryGB = state.FreeCPUs-t.job.CPUs, state.FreeGPUs-t.job.GPUs, state.FreeMemoryGB-t.job.MemoryGB
			}
		}
	}
	return state, w.ctx.Err() == nil && w.terminatesAt.IsZero() && w.inboundFaults == 0 && w.outboundFaults == 0 && time.Until(w.pausedUntil) <= 0 && time.Since(w.lastAnswered) < w.lease
}
