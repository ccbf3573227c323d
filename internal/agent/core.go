// Package agent is the worker on a machine: it sends heartbeats to the controllers, executes
// their commands and runs tasks as processes.
//
// Core is the worker's protocol as a pure state machine: times and messages go in, what must
// be started and killed comes out. Agent adds the goroutines, sockets and processes.
package agent

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Identity is how a machine describes itself in its heartbeats.
type Identity struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
}

// Key identifies an attempt of a task.
type Key struct {
	Task    wire.TaskID
	Attempt uint64
}

// attempt is the state of an attempt on this machine.
type attempt struct {
	Key
	state    wire.TaskState
	cause    wire.Cause
	ended    bool
	stopping bool // its processes are being killed on command
}

// Effects is what must be done after a step of the Core.
type Effects struct {
	Start        []Key
	Kill         []Key
	HeartbeatNow bool // send a heartbeat as soon as the protocol allows
	// NewIncarnation says that the lease has expired and a new incarnation has begun. No
	// heartbeat of it may be sent before every process of the previous one has exited: the
	// controllers take it as the proof that they have.
	NewIncarnation bool
}

// Core is the state of a worker. It has no goroutines, clocks or locks of its own.
type Core struct {
	identity    Identity
	lease       time.Duration
	incarnation uint64
	seq         uint64
	token       uint64
	leaseStart  time.Time // when the last answered heartbeat was sent, or the incarnation began
	tokenRaised time.Time // when a higher fencing token last triggered an early heartbeat
	tasks       map[Key]*attempt
}

// NewCore returns a worker without tasks. Its incarnation must be higher than that of any
// earlier process on the machine.
func NewCore(self Identity, lease time.Duration, incarnation uint64, now time.Time) *Core {
	return &Core{identity: self, lease: lease, incarnation: max(1, incarnation), leaseStart: now, tasks: make(map[Key]*attempt)}
}

// NextHeartbeat returns the next heartbeat to send.
func (c *Core) NextHeartbeat() wire.Heartbeat {
	c.seq++
	return c.Heartbeat()
}

// Heartbeat returns the machine's state as a heartbeat, without counting it as one that is
// sent.
func (c *Core) Heartbeat() wire.Heartbeat {
	r := wire.Heartbeat{Machine: c.identity.Machine, Addr: c.identity.Addr, Type: c.identity.Type, Zone: c.identity.Zone, Spot: c.identity.Spot,
		Incarnation: c.incarnation, Seq: c.seq, FencingToken: c.token, Tasks: []wire.ReportedTask{}}
	for _, t := range c.sorted() {
		r.Tasks = append(r.Tasks, wire.ReportedTask{Task: t.Task.String(), Attempt: t.Attempt, State: t.state, Cause: t.cause, ID: t.Task})
	}
	return r
}

// sorted lists the attempts by job, index and attempt number.
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

// Incarnation returns the number of the current incarnation.
func (c *Core) Incarnation() uint64 { return c.incarnation }

// Expire ends the incarnation if the lease has expired: all tasks are killed and forgotten.
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

// HandleAnswer handles the answer to a heartbeat that was sent at a given time in a given
// incarnation. It extends the lease from the time at which the heartbeat was sent. An answer
// with a lower fencing token, or to a heartbeat of an earlier incarnation, is dropped.
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

// HandleDirect handles commands that a leader sent to the machine directly. They are refused
// with a lower fencing token or for another incarnation. They don't extend the lease.
func (c *Core) HandleDirect(now time.Time, d wire.CommandRequest) (e Effects, ok bool) {
	if d.FencingToken < c.token || d.Incarnation != c.incarnation {
		return e, false
	}
	e.HeartbeatNow = c.adoptToken(now, d.FencingToken)
	c.execute(d.Commands, &e)
	return e, true
}

// adoptToken adopts a higher fencing token. It reports whether a heartbeat should show that
// early, which is at most once in half a lease.
func (c *Core) adoptToken(now time.Time, token uint64) (heartbeatNow bool) {
	if token <= c.token {
		return false
	}
	c.token = token
	if now.Sub(c.tokenRaised) < c.lease/2 {
		return false
	}
	c.tokenRaised = now
	return true
}

// execute applies commands. Those that repeat what was done before have no effect.
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
			t.stopping = true // it has ended once its processes have exited
			e.Kill = append(e.Kill, k)
		case cmd.Verb == wire.Clear && t != nil && t.ended:
			delete(c.tasks, k)
			e.HeartbeatNow = true
		}
	}
}

// launch starts an attempt, or ends it as busy while another attempt of the task runs here.
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

// MarkRunning records that an attempt has its inputs and runs.
func (c *Core) MarkRunning(k Key) (e Effects) {
	if t := c.tasks[k]; t != nil && t.state == wire.TaskFetching {
		t.state = wire.TaskRunning
		e.HeartbeatNow = true
	}
	return e
}

// MarkEnded records that the last process of an attempt has exited, and why. Attempts of an
// earlier incarnation are forgotten already and have no effect.
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
