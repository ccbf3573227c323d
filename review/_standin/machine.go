package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// machine stands for a rented machine and its worker. It reports, executes commands and runs tasks as the protocol
// says, and ends its session when its lease has expired.
type machine struct {
	w                   *world
	id, addr, typ, zone string
	spot                bool
	listener            net.Listener
	caller              transport.Client
	kick                chan struct{} // something has changed, so that a report is due soon

	mu       sync.Mutex
	ctx      context.Context
	cancel   context.CancelFunc
	node     string // the controller that gets the next report
	flight   uint64
	tally    uint64
	crown    uint64
	answered time.Time // when the last answered report was sent, or the session began
	tasks    map[string]*task
	images   map[string]time.Time // when each image is, or will be, present
	failed   map[string]bool      // jobs of which a task has failed here
	// hold says for how long a direct call is held up on its way, 0 for none. What is held up is not answered, and
	// carried out late if its token and its session still match.
	hold func(wire.CommandRequest) time.Duration
}

// task is an attempt on a machine.
type task struct {
	wire.ReportedTask
	job   *job
	timer *time.Timer
}

// newMachine returns a machine that listens and does nothing yet.
func newMachine(w *world, id, typ, zone string, spot bool) (*machine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &machine{w: w, id: id, addr: l.Addr().String(), typ: typ, zone: zone, spot: spot, listener: l, kick: make(chan struct{}, 1), flight: 1,
		tasks: map[string]*task{}, images: map[string]time.Time{}, failed: map[string]bool{}}
	m.caller = transport.Client{MaxBody: wire.MaxBodyBytes, Dial: dial}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// dial opens a connection.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", addr)
}

// begin starts the worker.
func (m *machine) begin() {
	m.answered, m.node = time.Now(), m.w.controllers[0].name
	go func() { _ = http.Serve(m.listener, m) }()
	go m.reportLoop()
	go m.watchLease()
}

// end ends the machine with all that is on it.
func (m *machine) end() {
	m.cancel()
	_ = m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.killTasks("the machine is gone")
}

// killTasks ends and forgets all tasks. The caller holds the lock.
func (m *machine) killTasks(why string) {
	for _, t := range m.tasks {
		if t.State != wire.TaskEnded {
			t.timer.Stop()
			m.w.rec.printf("%s: %s#%d ends: %s", m.id, t.Task, t.Attempt, why)
		}
	}
	clear(m.tasks)
}

// watchLease ends the session when the lease has expired.
func (m *machine) watchLease() {
	for sleep(m.ctx, 50*time.Millisecond) {
		m.mu.Lock()
		m.checkLease()
		m.mu.Unlock()
	}
}

// checkLease begins the next session if the lease has expired. The caller holds the lock.
func (m *machine) checkLease() {
	if time.Since(m.answered) > m.w.lease {
		m.killTasks("the lease has expired")
		m.flight++
		m.answered = time.Now()
		m.w.rec.printf("%s: session %d begins", m.id, m.flight)
		m.change()
	}
}

// change makes a report due soon.
func (m *machine) change() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// report returns the next report. The caller holds the lock.
func (m *machine) report() wire.Heartbeat {
	m.tally++
	r := wire.Heartbeat{Machine: m.id, Addr: m.addr, Type: m.typ, Zone: m.zone, Spot: m.spot, Incarnation: m.flight, Seq: m.tally, FencingToken: m.crown,
		Tasks: []wire.ReportedTask{}}
	for _, key := range m.sortedTasks() {
		r.Tasks = append(r.Tasks, m.tasks[key].ReportedTask)
	}
	return r
}

func (m *machine) sortedTasks() []string {
	keys := make([]string, 0, len(m.tasks))
	for key := range m.tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// reportTimeout is how long a worker waits for the answer to a report.
const reportTimeout = 4 * time.Second

// reportLoop sends reports, one at a time, until the machine ends.
func (m *machine) reportLoop() {
	for m.ctx.Err() == nil {
		m.mu.Lock()
		m.checkLease()
		sent, flight, node := time.Now(), m.flight, m.node
		body := wire.Encode(m.report())
		m.mu.Unlock()
		ctx, cancel := context.WithTimeout(m.ctx, reportTimeout)
		resp, err := m.caller.Call(ctx, m.w.nodes()[node], "POST", wire.PathHeartbeat, body)
		cancel()
		wait := time.Duration(float64(m.w.report) * (0.75 + rand.Float64()/2))
		m.mu.Lock()
		var answer wire.HeartbeatResponse
		var redirect wire.Redirect
		switch {
		case err == nil && resp.Status == 200 && wire.Decode(resp.Body, &answer) == nil:
			if answer.FencingToken >= m.crown && flight == m.flight {
				m.answered = sent
				m.adopt(answer.FencingToken)
				m.execute(answer.Commands, "answer")
			}
		case err == nil && resp.Status == 421 && wire.Decode(resp.Body, &redirect) == nil && redirect.Leader != node && m.w.nodes()[redirect.Leader] != "":
			m.node, wait = redirect.Leader, 100*time.Millisecond
		default:
			m.node, wait = m.nextNode(node), time.Second
		}
		m.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-m.ctx.Done():
		case <-timer.C:
		case <-m.kick:
			sleep(m.ctx, max(0, 500*time.Millisecond-time.Since(sent)))
		}
		timer.Stop()
	}
}

// nextNode returns the controller after the given one.
func (m *machine) nextNode(node string) string {
	for i, c := range m.w.controllers {
		if c.name == node {
			return m.w.controllers[(i+1)%len(m.w.controllers)].name
		}
	}
	return m.w.controllers[0].name
}

// adopt stores a token if it is the highest. The caller holds the lock.
func (m *machine) adopt(token uint64) {
	if token > m.crown {
		m.crown = token
		m.change()
	}
}

// ServeHTTP answers direct calls.
func (m *machine) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes))
	if err != nil || m.ctx.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == wire.PathStatus {
		m.mu.Lock()
		report := m.report()
		m.mu.Unlock()
		reply(out, 200, report)
		return
	}
	var call wire.CommandRequest
	if wire.Decode(body, &call) != nil || call.Incarnation == 0 {
		reply(out, 400, wire.Failure{Error: "crown or flight is missing"})
		return
	}
	m.mu.Lock()
	hold := time.Duration(0)
	if m.hold != nil {
		hold = m.hold(call)
	}
	m.mu.Unlock()
	if hold > 0 {
		m.w.rec.printf("%s: a direct call with %d commands is held up for %v", m.id, len(call.Commands), hold)
		time.AfterFunc(hold, func() {
			status, _ := m.direct(call)
			m.w.rec.printf("%s: the call that was held up is carried out: %d", m.id, status)
		})
		<-r.Context().Done() // it is not answered
		panic(http.ErrAbortHandler)
	}
	status, report := m.direct(call)
	reply(out, status, report)
}

// direct carries out a direct call and returns the status and the report.
func (m *machine) direct(call wire.CommandRequest) (int, wire.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkLease()
	if call.FencingToken < m.crown || call.Incarnation != m.flight || m.ctx.Err() != nil {
		return 409, m.report()
	}
	m.adopt(call.FencingToken)
	m.execute(call.Commands, "call")
	return 200, m.report()
}

// execute carries out commands in order. The caller holds the lock.
func (m *machine) execute(commands []wire.Command, by string) {
	for _, c := range commands {
		key := fmt.Sprintf("%s#%d", c.Task, c.Attempt)
		t := m.tasks[key]
		switch {
		case c.Verb == wire.Launch && t == nil:
			m.launch(key, c, by)
		case c.Verb == wire.Stop && t != nil:
			m.stopTask(t, c)
		case c.Verb == wire.Clear && t != nil && t.State == wire.TaskEnded:
			delete(m.tasks, key)
			m.change()
		}
	}
}

// launch starts an attempt, or refuses it. The caller holds the lock.
func (m *machine) launch(key string, c wire.Command, by string) {
	t := &task{ReportedTask: wire.ReportedTask{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	t.timer = time.AfterFunc(time.Hour, func() {})
	t.timer.Stop()
	id, err := wire.ParseTaskID(c.Task)
	if err == nil {
		t.job = m.w.jobOf(id.Job)
	}
	m.w.rec.printf("%s: %s is launched by %s", m.id, key, by)
	refuse := m.refusal(t)
	m.tasks[key] = t
	m.change()
	if refuse != "" {
		m.finish(t, refuse, false)
		return
	}
	ready, known := m.images[t.job.Image]
	if !known {
		fetch := wire.Seconds(t.job.ImageGB / m.w.types[0].FetchGBps)
		ready = time.Now().Add(fetch)
		m.images[t.job.Image] = ready
	}
	t.timer = time.AfterFunc(max(0, time.Until(ready)), func() { m.imagePresent(key, t) })
}

// refusal returns why an attempt is refused, or "". The caller holds the lock.
func (m *machine) refusal(t *task) wire.Cause {
	if t.job == nil {
		return wire.CauseUnknown
	}
	cpus, gpus, memory := t.job.CPUs, t.job.GPUs, t.job.MemoryGB
	for _, other := range m.tasks {
		if other.State == wire.TaskEnded {
			continue
		}
		if other.Task == t.Task {
			return wire.CauseBusy
		}
		cpus, gpus, memory = cpus+other.job.CPUs, gpus+other.job.GPUs, memory+other.job.MemoryGB
	}
	spec := m.w.types[0]
	const rounding = 1e-6
	if cpus > spec.CPUs+rounding || gpus > spec.GPUs+rounding || memory > spec.MemoryGB+rounding {
		return wire.CauseNoCapacity
	}
	return ""
}

// imagePresent begins to run a task whose image is present.
func (m *machine) imagePresent(key string, t *task) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tasks[key] != t || t.State != wire.TaskFetching {
		return
	}
	t.State = wire.TaskRunning
	m.w.rec.printf("%s: %s runs", m.id, key)
	m.change()
	run, cause := t.job.run, wire.CauseDone
	if t.job.mistaken {
		run, cause = time.Second, wire.CauseError
	}
	if t.job.Shape == wire.Service && !t.job.mistaken {
		return
	}
	t.timer = time.AfterFunc(run, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.tasks[key] == t && t.State == wire.TaskRunning {
			m.finish(t, cause, false)
		}
	})
}

// stopTask stops a task; one that saves progress does so first if it has the time. The caller holds the lock.
func (m *machine) stopTask(t *task, c wire.Command) {
	grace := 0.0
	if c.GraceS != nil {
		grace = *c.GraceS
	}
	switch {
	case t.State == wire.TaskEnded || t.State == wire.TaskSaving && grace > 0:
	case t.State == wire.TaskRunning && t.job.CheckpointS > 0 && grace >= t.job.SaveS:
		t.timer.Stop()
		t.State = wire.TaskSaving
		m.change()
		t.timer = time.AfterFunc(wire.Seconds(t.job.SaveS), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if t.State == wire.TaskSaving {
				m.finish(t, wire.CauseStopped, true)
			}
		})
	default:
		m.finish(t, wire.CauseStopped, false)
	}
}

// finish ends a task. The caller holds the lock.
func (m *machine) finish(t *task, cause wire.Cause, saved bool) {
	t.timer.Stop()
	t.State, t.Cause, t.Saved = wire.TaskEnded, cause, saved
	if cause == wire.CauseError {
		m.failed[t.job.ID] = true
	}
	m.w.rec.printf("%s: %s#%d ends: %s", m.id, t.Task, t.Attempt, cause)
	m.change()
}

// count returns how many attempts of a job are on the machine in a state and, if it is not empty, with a cause.
func (m *machine) count(job string, state wire.TaskState, cause wire.Cause) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tasks {
		if t.job != nil && t.job.ID == job && t.State == state && (cause == "" || t.Cause == cause) {
			n++
		}
	}
	return n
}

// fail ends the running tasks of a job on the machine with an error.
func (m *machine) fail(job string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tasks {
		if t.job != nil && t.job.ID == job && t.State == wire.TaskRunning {
			m.finish(t, wire.CauseError, false)
		}
	}
}

// hasFailed reports whether a task of a job has failed on the machine.
func (m *machine) hasFailed(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failed[job]
}
