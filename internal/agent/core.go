// Package agent is the worker on a machine: it reports to the controllers, takes
// their commands and carries tasks out as real processes.
//
// Core is the protocol as a pure state machine: times and messages come in, what
// is to be started and killed comes out. Agent has the goroutines at the edges.
package agent

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Identity is what a machine says of itself.
type Identity struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
}

// Key names an attempt of a task.
type Key struct {
	Task    wire.TaskID
	Attempt uint64
}

// attempt is an attempt that the machine knows.
type attempt struct {
	Key
	state    wire.TaskState
	cause    wire.Cause
	ended    bool
	stopping bool // its processes are being killed
}

// Effects is what is to be done after a step of the Core.
type Effects struct {
	Start        []Key
	Kill         []Key
	HeartbeatNow bool // report as soon as may be
	// NewIncarnation says that a new session has begun. Nothing may be said of it before
	// every process of the one before is gone: it is the proof that they are.
	NewIncarnation bool
}

// Core is the state of a worker. It is pure.
type Core struct {
	identity    Identity
	lease       time.Duration
	incarnation uint64
	seq         uint64
	token       uint64
	leaseStart  time.Time // when the last answered report was sent, or the session began
	tokenRaised time.Time // when a higher term last counted as a change
	tasks       map[Key]*attempt
}

// NewCore gives a worker in its first session. Sessions go on from the one before,
// if the machine remembers it.
func NewCore(self Identity, lease time.Duration, incarnation uint64, now time.Time) *Core {
	return &Core{identity: self, lease: lease, incarnation: max(1, incarnation), leaseStart: now, tasks: make(map[Key]*attempt)}
}

// NextHeartbeat gives the next report.
func (c *Core) NextHeartbeat() wire.Heartbeat {
	c.seq++
	return c.Heartbeat()
}

// Heartbeat gives the report as of now, for those who ask.
func (c *Core) Heartbeat() wire.Heartbeat {
	r := wire.Heartbeat{Machine: c.identity.Machine, Addr: c.identity.Addr, Type: c.identity.Type, Zone: c.identity.Zone, Spot: c.identity.Spot,
		Incarnation: c.incarnation, Seq: c.seq, FencingToken: c.token, Tasks: []wire.ReportedTask{}}
	for _, t := range c.sorted() {
		r.Tasks = append(r.Tasks, wire.ReportedTask{Task: t.Task.String(), Attempt: t.Attempt, State: t.state, Cause: t.cause, ID: t.Task})
	}
	return r
}

func (c *Core) sorted() []*attempt {
	var out []*attempt
	for _, t := range c.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
	})
	return out
}

// Incarnation is the number of the current session.
func (c *Core) Incarnation() uint64 { return c.incarnation }

// Expire ends the session if the lease has run out: all tasks are killed and
// forgotten.
func (c *Core) Expire(now time.Time) (e Effects) {
	if now.Sub(c.leaseStart) <= c.lease {
		return e
	}
	for _, t := range c.sorted() {
		if !t.ended {
			e.Kill = append(e.Kill, t.Key)
		}
	}
	clear(c.tasks)
	c.incarnation++
	c.seq, c.leaseStart = 0, now
	e.HeartbeatNow, e.NewIncarnation = true, true
	return e
}

// HandleAnswer takes in the answer to a report that was sent at a time in a session.
// One with a lower term, or to a report of an earlier session, is dropped.
func (c *Core) HandleAnswer(now, sent time.Time, incarnation uint64, a wire.HeartbeatResponse) (e Effects) {
	if a.FencingToken < c.token || a.FencingToken == 0 || incarnation != c.incarnation {
		return e
	}
	e.HeartbeatNow = c.adoptToken(now, a.FencingToken)
	if sent.After(c.leaseStart) {
		c.leaseStart = sent
	}
	c.execute(a.Commands, &e)
	return e
}

// HandleDirect takes in commands that came straight to the machine. They are refused
// under a lower term or for another session.
func (c *Core) HandleDirect(now time.Time, d wire.CommandRequest) (e Effects, ok bool) {
	if d.FencingToken < c.token || d.Incarnation != c.incarnation {
		return e, false
	}
	e.HeartbeatNow = c.adoptToken(now, d.FencingToken)
	c.execute(d.Commands, &e)
	return e, true
}

// adoptToken takes in a term; a higher one counts as a change once in half a lease.
func (c *Core) adoptToken(now time.Time, term uint64) (soon bool) {
	if term <= c.token {
		return false
	}
	c.token = term
	if soon = now.Sub(c.tokenRaised) >= c.lease/2; soon {
		c.tokenRaised = now
	}
	return soon
}

func (c *Core) execute(cmds []wire.Command, e *Effects) {
	for _, cmd := range cmds {
		id, err := wire.ParseTaskID(cmd.Task)
		if err != nil {
			continue
		}
		k := Key{id, cmd.Attempt}
		t := c.tasks[k]
		switch {
		case cmd.Verb == wire.Launch && t == nil:
			c.launch(k, e)
			e.HeartbeatNow = true
		case cmd.Verb == wire.Stop && t != nil && !t.ended && !t.stopping:
			t.stopping = true // it has ended when its processes are gone
			e.Kill = append(e.Kill, k)
		case cmd.Verb == wire.Clear && t != nil && t.ended:
			delete(c.tasks, k)
			e.HeartbeatNow = true
		}
	}
}

func (c *Core) launch(k Key, e *Effects) {
	t := &attempt{Key: k, state: wire.TaskFetching}
	for _, other := range c.tasks {
		if other.Task == k.Task && !other.ended {
			t.end(wire.CauseBusy)
		}
	}
	c.tasks[k] = t
	if !t.ended {
		e.Start = append(e.Start, k)
	}
}

func (t *attempt) end(why wire.Cause) { t.state, t.cause, t.ended = wire.TaskEnded, why, true }

// MarkRunning takes in that a task has its inputs and runs.
func (c *Core) MarkRunning(k Key) (e Effects) {
	if t := c.tasks[k]; t != nil && t.state == wire.TaskFetching {
		t.state = wire.TaskRunning
		e.HeartbeatNow = true
	}
	return e
}

// MarkEnded takes in that the last process of a task is gone, and why. One that belongs
// to an earlier session is forgotten already.
func (c *Core) MarkEnded(k Key, why wire.Cause) (e Effects) {
	if t := c.tasks[k]; t != nil && !t.ended {
		if t.stopping && why != wire.CauseDone {
			why = wire.CauseStopped
		}
		t.end(why)
		e.HeartbeatNow = true
	}
	return e
}
