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

// Worker imitates a machine with its agent: it sends heartbeats, runs tasks, and kills all of them
// when its lease expires.
type Worker struct {
	id, addr, typ, zone      string
	spot                     bool
	spec                     wire.MachineType
	net                      transport.Network
	takeDown                 func() // takes the machine off the network
	caller                   *transport.Caller
	controllers              map[string]string // addresses by name
	runtime                  *TaskRuntime
	lease, heartbeatInterval time.Duration
	callDelay                func() time.Duration // delay of each direct call, mostly 0
	runFactor, fetchFactor   float64              // multiples of the nominal run and fetch times
	sharedFetchRate          bool                 // concurrent image fetches share the rate
	replayer                 *HeartbeatReplayer

	mu                  sync.Mutex
	ctx                 context.Context
	stop                context.CancelFunc
	controller          string
	incarnation         uint64
	seq                 uint64
	token               uint64
	lastAnswered        time.Time // when the last heartbeat that was answered had been sent
	terminatesAt        time.Time // when the cloud takes the machine back; zero without a notice
	pausedUntil         time.Time // the machine makes no progress until then
	deferredActions     []func()  // what it does after the pause, in order
	inboundFaults       int       // number of faults that lose everything sent to it
	outboundFaults      int       // number of faults that keep it from reaching controllers
	dialed              map[*dialedLink]bool
	tasks               map[string]*runningTask
	images              map[string]*cachedImage
	fetchAccountedUntil time.Time // up to when fetched image data is accounted for
	heartbeatRequested  chan struct{}
}

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID, Addr, Type, Zone     string
	Spot                     bool
	Spec                     wire.MachineType // the machine's resources
	Net                      transport.Network
	TakeDown                 func()            // takes the machine off the network when it ends
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

// NewWorker starts a worker.
func NewWorker(c WorkerConfig) *Worker {
	w := &Worker{id: c.ID, addr: c.Addr, typ: c.Type, zone: c.Zone, spot: c.Spot, spec: c.Spec, net: c.Net, takeDown: c.TakeDown, controllers: c.Controllers, runtime: c.Runtime,
		lease: c.Lease, heartbeatInterval: c.HeartbeatInterval, callDelay: c.CallDelay, runFactor: cmp.Or(c.RunFactor, 1), fetchFactor: cmp.Or(c.FetchFactor, 1), sharedFetchRate: c.SharedFetchRate, replayer: c.Replayer, incarnation: 1, lastAnswered: time.Now(),
		tasks: map[string]*runningTask{}, dialed: map[*dialedLink]bool{}, images: map[string]*cachedImage{}, heartbeatRequested: make(chan struct{}, 1)}
	if w.callDelay == nil {
		w.callDelay = func() time.Duration { return 0 }
	}
	w.caller = &transport.Caller{MaxBody: 8 << 20, Dial: w.dialLink}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.controller = slices.Sorted(maps.Keys(w.controllers))[0]
	go func() { _ = w.net.Listen(w.ctx, w.addr, 64, w.serve()) }()
	go w.runHeartbeats()
	go w.watchLease()
	return w
}

// Notice announces that the cloud takes the machine back after a while.
func (w *Worker) Notice(in time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.terminatesAt = time.Now().Add(in)
	w.requestHeartbeat()
}

// Pause pauses the machine for d: it sends and answers nothing, and its tasks make no progress.
// They continue afterwards unless the lease has expired. The other members of a running gang
// notice the pause unless it is short.
func (w *Worker) Pause(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	longer := now.Add(d).Sub(latest(now, w.pausedUntil))
	if longer <= 0 {
		return
	}
	w.accountFetched()
	w.pausedUntil = now.Add(d)
	w.fetchAccountedUntil = w.pausedUntil
	w.rescheduleFetches()
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[key]
		t.pause(longer)
		if t.started && t.State != wire.TaskEnded && t.job.Shape == wire.Gang && t.job.Tasks > 1 {
			w.runtime.pauseMember(gangKey{t.ID.Job, t.Attempt}, longer)
		}
	}
	time.AfterFunc(d, w.runDeferred)
}

// runDeferred executes what was deferred by a pause.
func (w *Worker) runDeferred() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for time.Until(w.pausedUntil) <= 0 && len(w.deferredActions) > 0 {
		do := w.deferredActions[0]
		w.deferredActions = w.deferredActions[1:]
		do()
	}
}

// whenResumed calls a function with the lock held, after the current pause if there is one.
func (w *Worker) whenResumed(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Until(w.pausedUntil) > 0 {
		w.deferredActions = append(w.deferredActions, do)
		return
	}
	do()
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

// Reboot ends the machine with all its tasks and restarts it after a while under the same name and
// address, as a new incarnation with an empty image cache. A forgetful machine has also lost its
// fencing token.
func (w *Worker) Reboot(back time.Duration, forgetful bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killTasks()
	clear(w.images)
	w.incarnation++
	w.seq, w.terminatesAt, w.pausedUntil, w.deferredActions = 0, time.Time{}, time.Now().Add(back), nil
	w.lastAnswered = w.pausedUntil
	if forgetful {
		w.token = 0
	}
}

// ExpiredLeases returns how many leases of the worker have expired.
func (w *Worker) ExpiredLeases() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.incarnation) - 1
}

// Kill ends the machine with everything on it.
func (w *Worker) Kill() {
	w.stop()
	w.takeDown()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killTasks()
}

// killTasks ends and forgets all tasks.
func (w *Worker) killTasks() {
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[key]; t.State != wire.TaskEnded {
			w.releaseTask(t)
		}
		delete(w.tasks, key)
	}
}

// heartbeat builds the next heartbeat.
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

// expireLease starts a new incarnation if the lease has expired.
func (w *Worker) expireLease() {
	if time.Since(w.lastAnswered) > w.lease {
		w.killTasks()
		w.incarnation++
		w.seq, w.lastAnswered = 0, time.Now()
	}
}

// watchLease ends the incarnation as soon as its lease expires, also while the machine is paused
// or waits for an answer: tasks are gone at that time and not when the machine next becomes
// active.
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
		body, node := wire.Encode(w.heartbeat()), w.controller
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(w.ctx, answerTimeout)
		w.replayer.heartbeatSent(w.controllers[node], body, w.currentToken())
		resp, err := w.caller.Call(ctx, w.controllers[node], "POST", wire.PathHeartbeat, body)
		cancel()
		w.waitWhilePaused()
		if err == nil && time.Since(sent) > answerTimeout { // it came while the machine hung
			err = context.DeadlineExceeded
		}
		wait, gap := w.heartbeatInterval, 500*time.Millisecond
		w.mu.Lock()
		var a wire.HeartbeatResponse
		switch {
		case err == nil && resp.Status == 200 && wire.Decode(resp.Body, &a) == nil:
			if a.FencingToken >= w.token && incarnation == w.incarnation && w.ctx.Err() == nil {
				w.adoptToken(a.FencingToken)
				w.lastAnswered = sent
				w.replayer.leaderAnswered(w.controllers[node], a.FencingToken)
				w.execute(a.Commands)
			}
		default:
			var r wire.Redirect
			if err == nil && resp.Status == 421 {
				_ = wire.Decode(resp.Body, &r)
			}
			wait, gap = w.nextController(r.Leader), 0
		}
		w.mu.Unlock()
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(wait):
		case <-w.heartbeatRequested:
			time.Sleep(gap)
		}
	}
}

// nextController selects the controller for the next heartbeat and returns the delay before it.
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

// adoptToken records a higher fencing token and reports soon.
func (w *Worker) adoptToken(token uint64) {
	if token > w.token {
		w.token = token
		w.requestHeartbeat()
	}
}

// requestHeartbeat triggers a heartbeat before the interval has passed.
func (w *Worker) requestHeartbeat() {
	select {
	case w.heartbeatRequested <- struct{}{}:
	default:
	}
}

// serve answers direct calls, through the machine's possibly faulty link.
func (w *Worker) serve() transport.ServeConn {
	serve := w.handleRequests()
	return func(ctx context.Context, s transport.Stream) { serve(ctx, &acceptedLink{s, link{worker: w}}) }
}

// handleRequests handles direct calls and inspections.
func (w *Worker) handleRequests() transport.ServeConn {
	return serveHTTP(func(method, path string, _ map[string]string, body []byte) (int, any) {
		w.waitWhilePaused()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expireLease()
		if path == wire.PathStatus {
			return 200, w.heartbeat()
		}
		var d wire.CommandRequest
		if err := wire.Decode(body, &d); err != nil || w.ctx.Err() != nil {
			return 400, nil
		}
		if held := w.callDelay(); held > 0 { // delivered late, when nobody waits for the answer
			time.AfterFunc(held, func() {
				w.whenResumed(func() {
					w.expireLease()
					w.handleDirect(d)
				})
			})
			return 0, nil
		}
		return w.handleDirect(d), w.heartbeat()
	})
}

// handleDirect executes a direct call unless its fencing token or incarnation is stale, and
// returns the HTTP status.
func (w *Worker) handleDirect(d wire.CommandRequest) int {
	if d.FencingToken < w.token || d.Incarnation != w.incarnation || w.ctx.Err() != nil {
		return 409
	}
	w.adoptToken(d.FencingToken)
	w.execute(d.Commands)
	return 200
}

// State returns the machine's state; ok is false while nothing can be started there.
func (w *Worker) State() (p MachineState, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.spec
	p = MachineState{Machine: w.id, Type: w.typ, Zone: w.zone, Spot: w.spot, FreeCPUs: s.CPUs, FreeGPUs: s.GPUs, FreeMemoryGB: s.MemoryGB, CacheGB: s.CacheGB}
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[key]; t.State != wire.TaskEnded {
			p.Tasks = append(p.Tasks, t.ID)
			if t.job != nil {
				p.FreeCPUs, p.FreeGPUs, p.FreeMemoryGB = p.FreeCPUs-t.job.CPUs, p.FreeGPUs-t.job.GPUs, p.FreeMemoryGB-t.job.MemoryGB
			}
		}
	}
	return p, w.ctx.Err() == nil && w.terminatesAt.IsZero() && w.inboundFaults == 0 && w.outboundFaults == 0 && time.Until(w.pausedUntil) <= 0 && time.Since(w.lastAnswered) < w.lease
}
