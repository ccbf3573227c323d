package membership

import (
	"time"
)

// Incarnations distinguishes the heartbeats of a peer's present process from those of an earlier one, which
// may arrive late: what an earlier incarnation reported about itself and others is obsolete. It is
// not safe for concurrent use.
type Incarnations struct{ latest map[string]incarnation }

// incarnation is the present process of a peer.
type incarnation struct {
	startedAt     int64  // in nanoseconds, by its own clock
	sequence      uint64 // of its last heartbeat
	lastHeartbeat time.Time
}

// Superseded reports whether another incarnation has followed the one that started at startedAt. A
// clock may have been set back between the two, so this holds only while heartbeats of the other
// one come. An incarnation of a version that doesn't send its start time is never superseded.
func (n *Incarnations) Superseded(now time.Time, name string, startedAt int64) bool {
	last := n.latest[name]
	return startedAt != 0 && startedAt < last.startedAt && now.Sub(last.lastHeartbeat) < SuspectAfter
}

// Accept records a heartbeat, and reports whether it is news: not of an earlier incarnation, not a
// copy, and not overtaken by a later one.
func (n *Incarnations) Accept(now time.Time, name string, startedAt int64, sequence uint64) bool {
	last, known := n.latest[name]
	switch {
	case startedAt == 0:
		return true
	case known && startedAt == last.startedAt && sequence <= last.sequence:
		return false
	case n.Superseded(now, name, startedAt):
		return false
	}
	if n.latest == nil {
		n.latest = make(map[string]incarnation)
	}
	n.latest[name] = incarnation{startedAt, sequence, now}
	return true
}
