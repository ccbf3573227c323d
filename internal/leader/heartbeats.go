package leader

import (
	"fmt"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// MayAnswer reports whether heartbeats may be answered. The leader's lease must be valid, or last confirmed less than
// MaxCancelStaleness ago. In addition, the leader must have known of every cancellation at a time less than
// MaxCancelStaleness ago. A lease renewal does not show that: each answer extends the leases of a machine's tasks,
// including those of a job whose cancellation is unknown to a leader that the state service refuses, or whose view is
// out of date.
func (l *Leader) MayAnswer(now time.Time, valid bool, confirmed time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxStaleness := l.cfg.Workers.MaxCancelStaleness()
	return (valid || now.Sub(confirmed) < maxStaleness) && now.Sub(l.viewCurrentAt) < maxStaleness
}

// HandleHeartbeat applies a machine's heartbeat and returns the response to it. ok is false if the heartbeat must
// not be answered. launch says whether the leader's lease is valid, so that the response may carry launches.
func (l *Leader) HandleHeartbeat(now time.Time, hb *wire.Heartbeat, launch bool) (response wire.HeartbeatResponse, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.observe(now, hb, true) || l.fleet.MustLetLeaseExpire(now, hb.Machine) {
		return response, false
	}
	if m := l.fleet.Machine(hb.Machine); m != nil {
		l.withdrawEnded(now, m)
	}
	cmds := l.fleet.HeartbeatCommands(now, hb, launch)
	l.logCommands(hb.Machine, "heartbeat response", cmds)
	return wire.HeartbeatResponse{FencingToken: l.lease.FencingToken, Commands: cmds}, true
}

// logCommands logs the commands that are sent to a machine and how they are sent: those in a heartbeat response are
// executed in time or never, those in a direct call may be executed late.
func (l *Leader) logCommands(machine, by string, commands []wire.Command) {
	for _, c := range commands {
		l.log.Debug("command", "verb", c.Verb, "task", c.Task, "attempt", c.Attempt, "machine", machine, "by", by)
	}
}

// HandleInspection applies a heartbeat that was received in the answer to a direct call.
func (l *Leader) HandleInspection(now time.Time, hb *wire.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observe(now, hb, false)
}

// observe applies a heartbeat; own says whether the machine sent it on its own rather than in answer to a call. A
// stale heartbeat changes nothing but may be answered. An impossible one must not even be answered, because its sender
// can't be trusted, so observe returns false for it.
func (l *Leader) observe(now time.Time, hb *wire.Heartbeat, own bool) (ok bool) {
	if reason := l.impossibleReason(hb); reason != "" {
		l.display.rejected.Impossible++
		l.log.Warn("impossible heartbeat", "machine", hb.Machine, "incarnation", hb.Incarnation, "number", hb.Seq, "reason", reason)
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

// impossibleReason returns why a heartbeat can't be true, or "". The fencing token in an attempt is at most the
// leader's own. With several shards it may be newer, because the leader of another shard may have issued a gang's
// attempt.
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

// RejectedHeartbeats counts the heartbeats that were ignored because they were stale or impossible.
type RejectedHeartbeats struct{ Stale, Impossible uint64 }

// RejectedHeartbeats returns how many heartbeats were ignored.
func (l *Leader) RejectedHeartbeats() RejectedHeartbeats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.display.rejected
}
