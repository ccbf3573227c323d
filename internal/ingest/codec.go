package ingest

import (
	"slices"
	"time"
)

// sameContent reports whether two heartbeats of a machine are equal but for their numbers.
func (it *item) sameContent(other *item) bool {
	return it.Session == other.Session && it.Addr == other.Addr && it.Type == other.Type && it.Zone == other.Zone && it.Spot == other.Spot &&
		!it.Noticed && !other.Noticed && slices.Equal(it.Tasks, other.Tasks)
}

// deltaBaseTTL is after how long without a heartbeat the sender forgets a machine.
const deltaBaseTTL = 2 * time.Minute

// deltaCodec leaves out of a stream what a machine's heartbeat repeats. Both ends keep the last
// whole heartbeat of each machine, by the same heartbeats in the same order.
type deltaCodec struct {
	bases     map[string]*deltaBase
	lastSweep time.Time
}

// deltaBase is the last whole heartbeat of a machine.
type deltaBase struct {
	item
	at time.Time
}

func newDeltaCodec() *deltaCodec { return &deltaCodec{bases: make(map[string]*deltaBase)} }

// compress leaves out of a heartbeat what the receiver knows. The receiver remembers for twice as
// long as the sender, so that it never lacks what the sender relies on.
func (d *deltaCodec) compress(now time.Time, it item) item {
	d.sweep(now, deltaBaseTTL)
	old := d.bases[it.Machine]
	if old != nil && now.Sub(old.at) < deltaBaseTTL && it.sameContent(&old.item) {
		old.at = now
		return item{Machine: it.Machine, Session: it.Session, Seq: it.Seq, Term: it.Term, Same: true}
	}
	d.bases[it.Machine] = &deltaBase{it, now}
	return it
}

// expand puts back what compress left out; it fails where the machine is not known.
func (d *deltaCodec) expand(now time.Time, it item) (item, bool) {
	d.sweep(now, 2*deltaBaseTTL)
	if !it.Same {
		d.bases[it.Machine] = &deltaBase{it, now}
		return it, true
	}
	old := d.bases[it.Machine]
	if old == nil || old.Session != it.Session {
		return it, false
	}
	old.at = now
	whole := old.item
	whole.Seq, whole.Term = it.Seq, it.Term
	return whole, true
}

// sweep forgets machines without a heartbeat for some time.
func (d *deltaCodec) sweep(now time.Time, age time.Duration) {
	if now.Sub(d.lastSweep) < age/4 {
		return
	}
	d.lastSweep = now
	for id, r := range d.bases {
		if now.Sub(r.at) > age {
			delete(d.bases, id)
		}
	}
}
