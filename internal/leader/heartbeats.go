package leader

import (
	"fmt"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// MayAnswer reports whether reports may be answered: while the claim surely lasts or for
// a while after its last renewal, and for a while after the last time that this holder
// surely knew of every cancellation. A renewal says nothing of what is known: each answer
// lets a worker's tasks live for another lease, also those of a job of which a holder that
// is refused by the store, or whose view stands still, does not know that it was cancelled.
func (h *Leader) MayAnswer(now time.Time, valid bool, confirmed time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	linger := h.cfg.Workers.MaxCancelStaleness()
	return (valid || now.Sub(confirmed) < linger) && now.Sub(h.viewCurrentAt) < linger
}

// HandleHeartbeat takes in a worker's report and gives the answer to it; ok is false where there
// must be none. launch says whether the claim surely lasts.
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

// HandleInspection takes in a report that came as the body of a direct call.
func (h *Leader) HandleInspection(now time.Time, r *wire.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(now, r, false)
}

// observe takes in a report, whichever way it came. One that is older than what is known
// shows nothing, and one that can't be is not even answered: what made it up may make up more.
func (h *Leader) observe(now time.Time, r *wire.Heartbeat, own bool) (ok bool) {
	if why := h.impossibleReason(r); why != "" {
		h.rejectedHeartbeats.Impossible++
		h.log.Warn("impossible report", "machine", r.Machine, "session", r.Incarnation, "number", r.Seq, "why", why)
		return false
	}
	if !h.fleet.IsNewer(r) {
		h.rejectedHeartbeats.Stale++
		return true
	}
	h.noteHeartbeat(now, r.Machine)
	h.noteZoneHeartbeat(now, r)
	h.applyEvents(now, h.fleet.ApplyHeartbeat(now, r, own))
	return true
}

// impossibleReason says what a report can't say, or nothing. Attempts are of terms up to this one;
// where the fleet is in parts, the holder of another may have given a gang's.
func (h *Leader) impossibleReason(r *wire.Heartbeat) string {
	if r.FencingToken > h.lease.FencingToken {
		return fmt.Sprintf("term %d, which nobody has claimed below this one", r.FencingToken)
	}
	for _, t := range r.Tasks {
		token, n := t.Attempt>>24, t.Attempt&(1<<24-1)
		if h.sharding.IsSingle() && token > h.lease.FencingToken || token == h.lease.FencingToken && n > h.attemptSequence {
			return fmt.Sprintf("task %s of attempt %d, which was never given", t.ID, t.Attempt)
		}
	}
	return ""
}

// RejectedHeartbeats counts reports that changed nothing.
type RejectedHeartbeats struct{ Stale, Impossible uint64 }

// RejectedHeartbeats tells how many reports changed nothing.
func (h *Leader) RejectedHeartbeats() RejectedHeartbeats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejectedHeartbeats
}
