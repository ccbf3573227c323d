package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/wire"
)

// FencingCalls returns at most limit calls for a peer to make: to all machines that are due while the fleet is
// being rebuilt, and later to a few machines of suspected zones.
func (h *Leader) FencingCalls(now time.Time, limit int) []reachability.FencingCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	if limit <= 0 {
		return nil
	}
	if !h.rebuilt {
		return h.fencing.Rebuild(now, limit, h.zones.Unreachable)
	}
	return h.fencing.Suspected(now, limit, h.zones.SuspectedZones())
}

// FencingCallDone records the result of a call that a peer made: the machine's heartbeat, or nil for none.
func (h *Leader) FencingCallDone(now time.Time, machine string, r *wire.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.fencing.PeerFinished(machine, r != nil) {
		return
	}
	if r != nil && r.Machine == machine && r.FencingToken <= h.lease.FencingToken {
		h.observe(now, r, false)
	}
}

// CallsFailing reports whether hardly any call from here reaches machines whose heartbeats peers forward: the
// network between this controller and the machines is cut.
func (h *Leader) CallsFailing(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.monitor.Calls.Failing(now)
}
