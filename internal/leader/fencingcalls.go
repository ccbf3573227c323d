package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/wire"
)

// FencingCalls returns at most limit fencing calls for a peer to make: to all machines that are due while the fleet
// is being rebuilt, and afterwards to a few machines in zones that are suspected to be unreachable.
func (l *Leader) FencingCalls(now time.Time, limit int) []reachability.FencingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit <= 0 {
		return nil
	}
	if !l.rebuilt {
		return l.fencing.RebuildCalls(now, limit, l.zones.Unreachable)
	}
	return l.fencing.SuspectedZoneCalls(now, limit, l.zones.SuspectedZones())
}

// FencingCallDone records the result of a call that a peer made: the machine's heartbeat, or nil for none.
func (l *Leader) FencingCallDone(now time.Time, machine string, hb *wire.Heartbeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fencing.PeerFinished(machine, hb != nil) {
		return
	}
	if hb != nil && hb.Machine == machine && hb.FencingToken <= l.lease.FencingToken {
		l.observe(now, hb, false)
	}
}

// CallsFailing reports whether almost all calls from this controller fail to reach machines whose heartbeats peers
// still forward, which means that the network between this controller and the machines is partitioned.
func (l *Leader) CallsFailing(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.Calls.Failing(now)
}
