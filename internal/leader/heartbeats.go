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
func (h *Leader) MayAnswer(now time.Time, valid bool, confirmed time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	linger := h.cfg.Workers.MaxCancelStaleness()
	return (valid || now.Sub(confirmed) < linger) && now.Sub(h.viewCurrentAt) < linger
}

// HandleHeartbeat applies a machine's heartbeat and returns the answer to it; ok is false where
// there must be none. launch says whether the leader's lease is valid, so that the answer may carry
// launches.
func (h *Leader) HandleHeartbeat(now time.Time, r *wire.Heartbeat, launch bool) (a wire.HeartbeatResponse, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.observe(now, r, true) || h.fleet.MustLapse(now, r.Machine) {
		return a, false
	}
	cmds := h.fleet.HeartbeatCommands(now, r, launch)
	for _, c := range cmds {
		h.log.Debug("command", "verb", c.Verb, "task", c.Task, "attempt", c.Attempt, "machine", r.Machine)
	}
	return wire.HeartbeatResponse{FencingToken: h.lease.FencingToken, Commands: cmds}, true
}

// HandleInspection applies a heartbeat that came in the answer to a direct call.
func (h *Leader) HandleInspection(now time.Time, r *wire.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(now, r, false)
}

// observe applies a heartbeat, whichever way it came; own says whether the machine sent it by itself.
// One that is older than what is known shows nothing. One that can't be true is not even answered:
// whatever made it up may make up more.
func (h *Leader) observe(now time.Time, r *wire.Heartbeat, own bool) (ok bool) {
	if why := h.impossibleReason(r); why != "" {
		h.display.rejected.Impossible++
		h.log.Warn("impossible heartbeat", "machine", r.Machine, "incarnation", r.Incarnation, "number", r.Seq, "reason", why)
		return false
	}
	if !h.fleet.IsNewer(r) {
		h.display.rejected.Stale++
		return true
	}
	h.noteReconnected(now, r.Machine)
	h.noteZoneHeartbeat(now, r)
	h.applyEvents(now, h.fleet.ApplyHeartbeat(now, r, own))
	return true
}

// impossibleReason says why a heartbeat can't be true, or returns "". Attempts are of fencing tokens up
// to this one; with several shards, the leader of another one may have given a gang's attempt.
func (h *Leader) impossibleReason(r *wire.Heartbeat) string {
	if r.FencingToken > h.lease.FencingToken {
		return fmt.Sprintf("fencing token %d, which is newer than the leader's own", r.FencingToken)
	}
	for _, t := range r.Tasks {
		token, n := splitAttempt(t.Attempt)
		if h.sharding.IsSingle() && token > h.lease.FencingToken || token == h.lease.FencingToken && n > h.attemptSequence {
			return fmt.Sprintf("task %s of attempt %d, which was never given", t.ID, t.Attempt)
		}
	}
	return ""
}

// RejectedHeartbeats counts heartbeats that changed nothing.
type RejectedHeartbeats struct{ Stale, Impossible uint64 }

// RejectedHeartbeats returns how many heartbeats changed nothing.
func (h *Leader) RejectedHeartbeats() RejectedHeartbeats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.display.rejected
}
