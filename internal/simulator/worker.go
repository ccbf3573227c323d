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

// Worker is a stand-in of a worker: it reports, runs tasks, and kills them all
// when its lease runs out.
type Worker struct {
	id, addr, typ, zone string
	spot                bool
	spec                wire.MachineType
	net                 transport.Network
	down                func() // takes the machine off the network
	caller              *transport.Caller
	nodes               map[string]string // controllers, by name
	yard                *Yard
	lease, every        time.Duration
	late                func() time.Duration // by how much a direct call is held up, mostly 0
	slow, pull          float64              // times the nominal run and fetch times
	shared              bool                 // images that are fetched at once share the rate
	echo                *Echo

	mu       sync.Mutex
	ctx      context.Context
	stop     context.CancelFunc
	node     string
	session  uint64
	seq      uint64
	term     uint64
	answered time.Time // when the last answered report was sent
	notice   time.Time // when the machine is taken; zero: no notice
	hangs    time.Time // until when it does nothing
	waiting  []func()  // what it does then, in order
	deaf     int       // faults by which it hears nothing
	mute     int       // faults by which it reaches no controller
	out      map[*earOut]bool
	tasks    map[string]*running
	images   map[string]*image
	paced    time.Time // up to when what was fetched is counted
	soon     chan struct{}
}

// WorkerConfig is what a worker is and what it is told.
type WorkerConfig struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	Spec                 wire.MachineType // what the machine has
	Net                  transport.Network
	Down                 func()            // takes the machine off the network when it ends
	Controllers          map[string]string // by name
	Yard                 *Yard
	Lease, Report        time.Duration
	Late                 func() time.Duration // by how much a direct call is held up; nil: none is
	Slow, Pull           float64              // times the nominal run and fetch times; 0 stands for 1
	Shared               bool                 // images that are fetched at once share the rate
	Echo                 *Echo                // by which some reports arrive again; nil: none does
}

// answerWait is how long a worker waits for the answer to a report.
const answerWait = 4 * time.Second

// NewWorker starts a worker.
func NewWorker(c WorkerConfig) *Worker {
	w := &Worker{id: c.ID, addr: c.Addr, typ: c.Type, zone: c.Zone, spot: c.Spot, spec: c.Spec, net: c.Net, down: c.Down, nodes: c.Controllers, yard: c.Yard,
		lease: c.Lease, every: c.Report, late: c.Late, slow: cmp.Or(c.Slow, 1), pull: cmp.Or(c.Pull, 1), shared: c.Shared, echo: c.Echo, session: 1, answered: time.Now(),
		tasks: map[string]*running{}, out: map[*earOut]bool{}, images: map[string]*image{}, soon: make(chan struct{}, 1)}
	if w.late == nil {
		w.late = func() time.Duration { return 0 }
	}
	w.caller = &transport.Caller{Limit: 8 << 20, Dial: w.dial}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.node = slices.Sorted(maps.Keys(w.nodes))[0]
	go func() { _ = w.net.Listen(w.ctx, w.addr, 64, w.serve()) }()
	go w.run()
	go w.watch()
	return w
}

// Notice tells that the cloud takes the machine in a while.
func (w *Worker) Notice(in time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice = time.Now().Add(in)
	w.hurry()
}

// Hang has the machine do nothing for a while: it reports nothing, answers nothing and executes
// none of its tasks, which go on afterwards as they stood, if its lease has not run out. The
// others of a gang that runs notice, unless it is soon over.
func (w *Worker) Hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	longer := now.Add(d).Sub(latest(now, w.hangs))
	if longer <= 0 {
		return
	}
	w.fetched()
	w.hangs = now.Add(d)
	w.paced = w.hangs
	w.retime()
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[key]
		t.pause(longer)
		if t.on && t.State != wire.TaskEnded && t.job.Shape == wire.Gang && t.job.Tasks > 1 {
			w.yard.stall(gangKey{t.ID.Job, t.Attempt}, longer)
		}
	}
	time.AfterFunc(d, w.wake)
}

// wake does what has waited for the end of a hang.
func (w *Worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for time.Until(w.hangs) <= 0 && len(w.waiting) > 0 {
		do := w.waiting[0]
		w.waiting = w.waiting[1:]
		do()
	}
}

// awake does something with the lock held, after a hang if there is one.
func (w *Worker) awake(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Until(w.hangs) > 0 {
		w.waiting = append(w.waiting, do)
		return
	}
	do()
}

// resume waits while the machine hangs.
func (w *Worker) resume() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		left := time.Until(w.hangs)
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

// Reboot ends the machine with all that is on it, and has it back after a while with the same
// name and address, in a new session, with an empty cache. It may have forgotten the term.
func (w *Worker) Reboot(back time.Duration, forgetful bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget()
	clear(w.images)
	w.session++
	w.seq, w.notice, w.hangs, w.waiting = 0, time.Time{}, time.Now().Add(back), nil
	w.answered = w.hangs
	if forgetful {
		w.term = 0
	}
}

// Lost tells how many times the worker's lease has run out.
func (w *Worker) Lost() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.session) - 1
}

// Kill ends the machine with all that is on it.
func (w *Worker) Kill() {
	w.stop()
	w.down()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forget()
}

func (w *Worker) forget() {
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		if t := w.tasks[key]; t.State != wire.TaskEnded {
			w.gone(t)
		}
		delete(w.tasks, key)
	}
}

func (w *Worker) report() wire.Report {
	w.seq++
	r := wire.Report{Machine: w.id, Addr: w.addr, Type: w.typ, Zone: w.zone, Spot: w.spot, Session: w.session, Seq: w.seq, Term: w.term,
		Tasks: []wire.ReportedTask{}}
	if !w.notice.IsZero() {
		left := time.Until(w.notice).Seconds()
		r.NoticeS = &left
	}
	for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
		r.Tasks = append(r.Tasks, w.tasks[key].ReportedTask)
	}
	return r
}

// expire moves on to the next session when the lease has run out.
func (w *Worker) expire() {
	if time.Since(w.answered) > w.lease {
		w.forget()
		w.session++
		w.seq, w.answered = 0, time.Now()
	}
}

// watch ends the session when the lease runs out, also while the machine hangs or waits for an
// answer: what is on it is gone then, not when it next has something to do.
func (w *Worker) watch() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		w.expire()
		left := w.lease - time.Since(w.answered)
		w.mu.Unlock()
		select {
		case <-w.ctx.Done():
		case <-time.After(left + time.Millisecond):
		}
	}
}

func (w *Worker) run() {
	for w.ctx.Err() == nil {
		w.resume()
		w.mu.Lock()
		w.expire()
		sent, session := time.Now(), w.session
		body, node := wire.Encode(w.report()), w.node
		w.mu.Unlock()
		ctx, cancel := context.WithTimeout(w.ctx, answerWait)
		w.echo.sent(w.nodes[node], body, w.seen())
		resp, err := w.caller.Call(ctx, w.nodes[node], "POST", wire.PathReport, body)
		cancel()
		w.resume()
		if err == nil && time.Since(sent) > answerWait { // it came while the machine hung
			err = context.DeadlineExceeded
		}
		wait, gap := w.every, 500*time.Millisecond
		w.mu.Lock()
		var a wire.Answer
		switch {
		case err == nil && resp.Status == 200 && wire.Decode(resp.Body, &a) == nil:
			if a.Term >= w.term && session == w.session && w.ctx.Err() == nil {
				w.raise(a.Term)
				w.answered = sent
				w.echo.acts(w.nodes[node], a.Term)
				w.execute(a.Commands)
			}
		default:
			var r wire.Redirect
			if err == nil && resp.Status == 421 {
				_ = wire.Decode(resp.Body, &r)
			}
			wait, gap = w.move(r.Holder), 0
		}
		w.mu.Unlock()
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(wait):
		case <-w.soon:
			time.Sleep(gap)
		}
	}
}

// move picks the controller to report to next, and says when.
func (w *Worker) move(holder string) time.Duration {
	if w.nodes[holder] != "" && holder != w.node {
		w.node = holder
		return 100 * time.Millisecond
	}
	names := slices.Sorted(maps.Keys(w.nodes))
	w.node = names[(slices.Index(names, w.node)+1)%len(names)]
	return time.Second
}

// seen is the highest term that the worker has seen.
func (w *Worker) seen() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.term
}

func (w *Worker) raise(term uint64) {
	if term > w.term {
		w.term = term
		w.hurry()
	}
}

func (w *Worker) hurry() {
	select {
	case w.soon <- struct{}{}:
	default:
	}
}

func (w *Worker) serve() transport.ServeConn {
	serve := w.answers()
	return func(ctx context.Context, s transport.Stream) { serve(ctx, &earIn{s, ear{w: w}}) }
}

func (w *Worker) answers() transport.ServeConn {
	return handler(func(method, path string, _ map[string]string, body []byte) (int, any) {
		w.resume()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
		if path == wire.PathInspect {
			return 200, w.report()
		}
		var d wire.Direct
		if err := wire.Decode(body, &d); err != nil || w.ctx.Err() != nil {
			return 400, nil
		}
		if held := w.late(); held > 0 { // delivered late, when nobody waits for the answer
			time.AfterFunc(held, func() {
				w.awake(func() {
					w.expire()
					w.do(d)
				})
			})
			return 0, nil
		}
		return w.do(d), w.report()
	})
}

func (w *Worker) do(d wire.Direct) int {
	if d.Term < w.term || d.Session != w.session || w.ctx.Err() != nil {
		return 409
	}
	w.raise(d.Term)
	w.execute(d.Commands)
	return 200
}
