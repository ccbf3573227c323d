package leader

import (
	"fmt"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// MayAnswer reports whether heartbeats may be answered: while the leader's lease is valid or for
// a while after its last confirmed renewal, and for a while after the last time at which this
// leader knew of every cancellation. A renewal says nothing of what is known: each answer extends
// the leases of a machine's tasks, also those of a job that was cancelled without the knowledge of
// a leader that is refused by the state service, or whose view is out of date.
func (l *Leader) MayAnswer(now time.Time, valid bool, confirmed time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	linger := l.cfg.Workers.MaxCancelStaleness()
	return (valid || now.Sub(confirmed) < linger) && now.Sub(l.viewCurrentAt) < linger
}

// HandleHeartbeat applies a machine's heartbeat and returns the answer to it; ok is false where
// there must be none. launch says whether the leader's lease is valid, so that the answer may carry
// launches.
func (l *Leader) HandleHeartbeat(now time.Time, hb *wire.Heartbeat, launch bool) (response wire.HeartbeatResponse, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.observe(now, hb, true) || l.fleet.MustLapse(now, hb.Machine) {
		return response, false
	}
	if m := l.fleet.Machine(hb.Machine); m != nil {
		l.withdrawEnded(now, m)
	}
	cmds := l.fleet.HeartbeatCommands(now, hb, launch)
	l.logCommands(hb.Machine, "heartbeat response", cmds)
	return wire.HeartbeatResponse{FencingToken: l.lease.FencingToken, Commands: cmds}, true
}

// logCommands logs the commands that a machine is sent, and the way they take: a heartbeat response is
// executed in time or never, a direct call may be executed late.
func (l *Leader) logCommands(machine, by string, commands []wire.Command) {
	for _, c := range commands {
		l.log.Debug("command", "verb", c.Verb, "task", c.Task, "attempt", c.Attempt, "machine", machine, "by", by)
	}
}

// HandleInspection applies a heartbeat that came in the answer to a direct call.
func (l *Leader) HandleInspection(now time.Time, hb *wire.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(now, hb, false)
}

// observe applies a heartbeat, whichever way it came; own says whether the machine sent it by itself.
// One that is older than what is known shows nothing. One that can't be true is not even answered:
// whatever made it up may make up more.
func (l *Leader) observe(now time.Time, hb *wire.Heartbeat, own bool) (ok bool) {
	if why := l.impossibleReason(hb); why != "" {
		l.display.rejected.Impossible++
		l.log.Warn("impossible heartbeat", "machine", hb.Machine, "incarnation", hb.Incarnation, "number", hb.Seq, "reason", why)
		return false
	}
	if !l.fleet.IsNewer(hb) {
		l.display.rejected.Stale++
		return true
	}
	l.noteReconnected(now, hb.Machine)
	l.noteZoneHeartbeat(now, hb)
	l.applyEvents(now, l.fleet.ApplyHeartbeat(now, hb, own))
	return true
}

// impossibleReason says why a heartbeat can't be true, or returns "". Attempts are of fencing tokens up
// to this one; with several shards, the leader of another one may have given a gang's attempt.
func (l *Leader) impossibleReason(hb *wire.Heartbeat) string {
	if hb.FencingToken > l.lease.FencingToken {
		return fmt.Sprintf("fencing token %d, which is newer than the leader's own", hb.FencingToken)
	}
	for _, t := range hb.Tasks {
		token, n := splitAttempt(t.Attempt)
		if l.sharding.IsSingle() && token > l.lease.FencingToken || token == l.lease.FencingToken && n > l.attemptSequence {
			return fmt.Sprintf("task %s of attempt %d, which was never given", t.ID, t.Attempt)
		}
	}
	return ""
}

// RejectedHeartbeats counts heartbeats that changed nothing.
type RejectedHeartbeats struct{ Stale, Impossible uint64 }

// RejectedHeartbeats returns how many heartbeats changed nothing.
func (l *Leader) RejectedHeartbeats() RejectedHeartbeats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.display.rejected
}
