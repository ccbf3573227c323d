package membership

import (
	"time"
)

// Incarnations distinguishes the heartbeats of each peer's current process from those of an earlier
// one. These may arrive late, and what they report is obsolete. It is not safe for concurrent use.
type Incarnations struct{ latest map[string]incarnation }

// incarnation is the most recent process of a peer, and its last heartbeat.
type incarnation struct {
	startedAt     int64  // in nanoseconds, by the peer's clock
	sequence      uint64 // of its last heartbeat
	lastHeartbeat time.Time
}

// Superseded reports whether a later incarnation has replaced the one that started at startedAt. The
// peer's clock may have been set back between the two, so a later start time counts only while
// heartbeats of that incarnation keep arriving. startedAt is zero for a version that does not send
// its start time; such an incarnation is never superseded.
func (i *Incarnations) Superseded(now time.Time, name string, startedAt int64) bool {
	last := i.latest[name]
	return startedAt != 0 && startedAt < last.startedAt && now.Sub(last.lastHeartbeat) < SuspectAfter
}

// Accept reports whether a heartbeat is new, and records it if so. It rejects heartbeats of an earlier
// incarnation, duplicates, and heartbeats that arrive after a later one.
func (i *Incarnations) Accept(now time.Time, name string, startedAt int64, sequence uint64) bool {
	last, known := i.latest[name]
	switch {
	case startedAt == 0:
		return true
	case known && startedAt == last.startedAt && sequence <= last.sequence:
		return false
	case i.Superseded(now, name, startedAt):
		return false
	}
	if i.latest == nil {
		i.latest = make(map[string]incarnation)
	}
	i.latest[name] = incarnation{startedAt, sequence, now}
	return true
}
