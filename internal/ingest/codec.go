package ingest

import (
	"slices"
	"time"
)

// sameContent reports whether two reports of a machine say the same but for their numbers.
func (it *item) sameContent(other *item) bool {
	return it.Session == other.Session && it.Addr == other.Addr && it.Type == other.Type && it.Zone == other.Zone && it.Spot == other.Spot &&
		!it.Noticed && !other.Noticed && slices.Equal(it.Tasks, other.Tasks)
}

// deltaCodec holds the last whole report of each machine on a stream. Both ends keep one,
// by the same reports in the same order.
type deltaCodec struct {
	last      map[string]*lastHeartbeatItem
	lastSweep time.Time
}

type lastHeartbeatItem struct {
	item
	at time.Time
}

func newDeltaCodec() *deltaCodec { return &deltaCodec{last: make(map[string]*lastHeartbeatItem)} }

// compress leaves out of a report what the other end knows. The other end remembers for
// twice as long, so that it never lacks what is counted on.
func (m *deltaCodec) compress(now time.Time, it item) item {
	m.sweep(now, memoryAge)
	old := m.last[it.Machine]
	if old != nil && now.Sub(old.at) < memoryAge && it.sameContent(&old.item) {
		old.at = now
		return item{Machine: it.Machine, Session: it.Session, Seq: it.Seq, Term: it.Term, Same: true}
	}
	m.last[it.Machine] = &lastHeartbeatItem{it, now}
	return it
}

// expand puts back what shrink left out; it fails where nothing is remembered.
func (m *deltaCodec) expand(now time.Time, it item) (item, bool) {
	m.sweep(now, 2*memoryAge)
	if !it.Same {
		m.last[it.Machine] = &lastHeartbeatItem{it, now}
		return it, true
	}
	old := m.last[it.Machine]
	if old == nil || old.Session != it.Session {
		return it, false
	}
	old.at = now
	whole := old.item
	whole.Seq, whole.Term = it.Seq, it.Term
	return whole, true
}

func (m *deltaCodec) sweep(now time.Time, age time.Duration) {
	if now.Sub(m.lastSweep) < age/4 {
		return
	}
	m.lastSweep = now
	for id, r := range m.last {
		if now.Sub(r.at) > age {
			delete(m.last, id)
		}
	}
}
