// Package agent implements the worker on a machine. It sends heartbeats to the controllers, executes their
// commands and runs tasks as processes.
//
// Core implements the worker's protocol as a state machine without I/O. Its methods take times and messages, and
// return which attempts must be started and killed. Agent adds the goroutines, sockets and processes.
package agent

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Identity holds the attributes of a machine that its heartbeats report.
type Identity struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
}

// AttemptKey identifies an attempt of a task.
type AttemptKey struct {
	Task    wire.TaskID
	Attempt uint64
}

// attempt is the state of an attempt on this machine.
type attempt struct {
	AttemptKey
	state    wire.TaskState
	cause    wire.Cause
	ended    bool
	stopping bool // a command has stopped it, but its processes have not exited yet
}

// Effects lists the actions that the caller must take after a step of the Core.
type Effects struct {
	Start        []AttemptKey
	Kill         []AttemptKey
	HeartbeatNow bool // send a heartbeat as soon as the protocol allows
	// NewIncarnation means that the lease has expired and a new incarnation has started. Its first heartbeat must
	// not be sent before every process of the previous incarnation has exited, because controllers take the
	// heartbeat as proof that they have.
	NewIncarnation bool
}

// Core is the state machine of a worker. It has no goroutines, clocks or locks, so calls must be serialized.
type Core struct {
	identity           Identity
	lease              time.Duration
	incarnation        uint64
	seq                uint64
	token              uint64
	leaseStart         time.Time // send time of the last heartbeat that was answered, or start of the incarnation
	lastTokenHeartbeat time.Time // when a higher fencing token last triggered an early heartbeat
	tasks              map[AttemptKey]*attempt
}

// NewCore returns a Core without tasks. The incarnation must be higher than that of any earlier process on the
// machine.
func NewCore(self Identity, lease time.Duration, incarnation uint64, now time.Time) *Core {
	return &Core{identity: self, lease: lease, incarnation: max(1, incarnation), leaseStart: now, tasks: make(map[AttemptKey]*attempt)}
}

// NextHeartbeat returns the next heartbeat to send.
func (c *Core) NextHeartbeat() wire.Heartbeat {
	c.seq++
	return c.Heartbeat()
}

// Heartbeat returns the machine's state as a heartbeat, without incrementing the sequence number.
func (c *Core) Heartbeat() wire.Heartbeat {
	heartbeat := wire.Heartbeat{Machine: c.identity.Machine, Addr: c.identity.Addr, Type: c.identity.Type, Zone: c.identity.Zone, Spot: c.identity.Spot,
		Incarnation: c.incarnation, Seq: c.seq, FencingToken: c.token, Tasks: []wire.ReportedTask{}}
	for _, t := range c.sortedAttempts() {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.ReportedTask{Task: t.Task.String(), Attempt: t.Attempt, State: t.state, Cause: t.cause, ID: t.Task})
	}
	return heartbeat
}

// sortedAttempts returns the attempts in the order of job, index and attempt number.
func (c *Core) sortedAttempts() []*attempt {
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

// Expire starts a new incarnation if the lease has expired. All tasks are killed and removed from the state.
func (c *Core) Expire(now time.Time) (effects Effects) {
	if now.Sub(c.leaseStart) <= c.lease {
		return effects
	}
	for _, t := range c.sortedAttempts() {
		if !t.ended {
			effects.Kill = append(effects.Kill, t.AttemptKey)
		}
	}
	clear(c.tasks)
	c.incarnation++
	c.seq, c.leaseStart = 0, now
	effects.HeartbeatNow, effects.NewIncarnation = true, true
	return effects
}

// HandleHeartbeatResponse handles the response to a heartbeat that was sent at the given time in the given incarnation. It
// renews the lease from the time at which the heartbeat was sent. A response with a lower fencing token, or to a
// heartbeat of an earlier incarnation, is dropped.
func (c *Core) HandleHeartbeatResponse(now, sent time.Time, incarnation uint64, response wire.HeartbeatResponse) (effects Effects) {
	if response.FencingToken < c.token || response.FencingToken == 0 || incarnation != c.incarnation {
		return effects
	}
	effects.HeartbeatNow = c.adoptToken(now, response.FencingToken)
	if sent.After(c.leaseStart) {
		c.leaseStart = sent
	}
	c.execute(response.Commands, &effects)
	return effects
}

// HandleDirectCommands handles commands that a leader sent to the machine directly. It rejects a request with a lower fencing
// token or for another incarnation. Direct commands don't renew the lease.
func (c *Core) HandleDirectCommands(now time.Time, request wire.CommandRequest) (effects Effects, accepted bool) {
	if request.FencingToken < c.token || request.Incarnation != c.incarnation {
		return effects, false
	}
	effects.HeartbeatNow = c.adoptToken(now, request.FencingToken)
	c.execute(request.Commands, &effects)
	return effects, true
}

// adoptToken adopts a higher fencing token. It reports whether an early heartbeat should report the new token,
// which is requested at most once in half a lease.
func (c *Core) adoptToken(now time.Time, token uint64) (heartbeatNow bool) {
	if token <= c.token {
		return false
	}
	c.token = token
	if now.Sub(c.lastTokenHeartbeat) < c.lease/2 {
		return false
	}
	c.lastTokenHeartbeat = now
	return true
}

// execute executes commands. A command that was executed before has no effect.
func (c *Core) execute(cmds []wire.Command, effects *Effects) {
	for _, cmd := range cmds {
		id, err := wire.ParseTaskID(cmd.Task)
		if err != nil {
			continue
		}
		key := AttemptKey{id, cmd.Attempt}
		existing := c.tasks[key]
		switch {
		case cmd.Verb == wire.Launch && existing == nil:
			c.launch(key, effects)
			effects.HeartbeatNow = true
		case cmd.Verb == wire.Stop && existing != nil && !existing.ended && !existing.stopping:
			existing.stopping = true // the attempt has ended only once its processes have exited
			effects.Kill = append(effects.Kill, key)
		case cmd.Verb == wire.Clear && existing != nil && existing.ended:
			delete(c.tasks, key)
			effects.HeartbeatNow = true
		}
	}
}

// launch starts an attempt. It ends the attempt with CauseBusy if another attempt of the same task has not ended
// on this machine.
func (c *Core) launch(key AttemptKey, effects *Effects) {
	t := &attempt{AttemptKey: key, state: wire.TaskFetching}
	for _, other := range c.tasks {
		if other.Task == key.Task && !other.ended {
			t.markEnded(wire.CauseBusy)
		}
	}
	c.tasks[key] = t
	if !t.ended {
		effects.Start = append(effects.Start, key)
	}
}

func (t *attempt) markEnded(cause wire.Cause) {
	t.state, t.cause, t.ended = wire.TaskEnded, cause, true
}

// MarkRunning records that an attempt has fetched its job and is running.
func (c *Core) MarkRunning(key AttemptKey) (effects Effects) {
	if t := c.tasks[key]; t != nil && t.state == wire.TaskFetching {
		t.state = wire.TaskRunning
		effects.HeartbeatNow = true
	}
	return effects
}

// MarkEnded records that the last process of an attempt has exited, and the cause. It has no effect for an attempt
// of an earlier incarnation, because Expire has removed it.
func (c *Core) MarkEnded(key AttemptKey, cause wire.Cause) (effects Effects) {
	if t := c.tasks[key]; t != nil && !t.ended {
		if t.stopping && cause != wire.CauseDone {
			cause = wire.CauseStopped
		}
		t.markEnded(cause)
		effects.HeartbeatNow = true
	}
	return effects
}
