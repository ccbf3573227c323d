package ingest

import (
	"slices"
	"time"
)

// sameContent reports whether two heartbeats of a machine are equal except for sequence number and
// fencing token, and neither carries a termination notice.
func (it *item) sameContent(other *item) bool {
	return it.Session == other.Session && it.Addr == other.Addr && it.Type == other.Type && it.Zone == other.Zone && it.Spot == other.Spot &&
		!it.Noticed && !other.Noticed && slices.Equal(it.Tasks, other.Tasks)
}

// deltaBaseTTL is the time without a heartbeat after which the sender drops a machine's base.
const deltaBaseTTL = 2 * time.Minute

// deltaCodec omits from the heartbeats on a stream the content that each machine's previous heartbeat
// already had. Both ends keep the last full heartbeat of each machine, and agree on it because they
// process the same heartbeats in the same order.
type deltaCodec struct {
	bases     map[string]*deltaBase
	lastSweep time.Time
}

// deltaBase is the last full heartbeat of a machine, and the time of its last heartbeat of any kind.
type deltaBase struct {
	item
	at time.Time
}

func newDeltaCodec() *deltaCodec { return &deltaCodec{bases: make(map[string]*deltaBase)} }

// compress omits from a heartbeat the content that the receiver already has. The receiver keeps bases
// twice as long as the sender, so that it always has the base that the sender relies on.
func (d *deltaCodec) compress(now time.Time, it item) item {
	d.sweep(now, deltaBaseTTL)
	base := d.bases[it.Machine]
	if base != nil && now.Sub(base.at) < deltaBaseTTL && it.sameContent(&base.item) {
		base.at = now
		return item{Machine: it.Machine, Session: it.Session, Seq: it.Seq, Term: it.Term, Same: true}
	}
	d.bases[it.Machine] = &deltaBase{it, now}
	return it
}

// expand restores what compress omitted. It reports false if the heartbeat's base is not known.
func (d *deltaCodec) expand(now time.Time, it item) (item, bool) {
	d.sweep(now, 2*deltaBaseTTL)
	if !it.Same {
		d.bases[it.Machine] = &deltaBase{it, now}
		return it, true
	}
	base := d.bases[it.Machine]
	if base == nil || base.Session != it.Session {
		return it, false
	}
	base.at = now
	full := base.item
	full.Seq, full.Term = it.Seq, it.Term
	return full, true
}

// sweep drops the bases of machines that have sent no heartbeat for longer than age.
func (d *deltaCodec) sweep(now time.Time, age time.Duration) {
	if now.Sub(d.lastSweep) < age/4 {
		return
	}
	d.lastSweep = now
	for id, base := range d.bases {
		if now.Sub(base.at) > age {
			delete(d.bases, id)
		}
	}
}
