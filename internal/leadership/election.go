// Package claim takes parts of the fleet through a lease on the state service.
// Each claim carries a fleet-wide term that only rises. The fence is the
// condition on the part's version in every write of the holder; the local
// check of the lease's time is a courtesy.
package leadership

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// drift is by how much the steady clocks of two machines may differ.
const drift = 0.0005

// Held is a part that this controller holds.
type Held struct {
	Part     string
	Term     uint64
	Version  uint64 // of the part's record: the fence
	Revision uint64 // of the claim: later jobs can't be anywhere yet
}

// Claim is the state of one controller's lease and of the parts it covers. It
// is pure: times and answers come in.
type Claim struct {
	Name       string
	TTL, Every time.Duration

	lease     uint64
	confirmed time.Time // when the last renewal that succeeded was sent
	held      map[string]Held
	left      map[string]Held // parts that were given back, until that shows
}

// New gives a claim without a lease.
func New(name string, ttl, every time.Duration) *Claim {
	return &Claim{Name: name, TTL: ttl, Every: every, held: make(map[string]Held), left: make(map[string]Held)}
}

// Lease is the current lease, 0 for none.
func (c *Claim) Lease() uint64 { return c.lease }

// Granted takes in a new lease that was asked for at a time.
func (c *Claim) Granted(lease uint64, sent time.Time) {
	c.lease, c.confirmed = lease, sent
	clear(c.held)
	clear(c.left)
}

// Renewed takes in a renewal that was sent at a time.
func (c *Claim) Renewed(sent time.Time) {
	if sent.After(c.confirmed) {
		c.confirmed = sent
	}
}

// Lost takes in that the lease has ended, and with it every claim.
func (c *Claim) Lost() {
	c.lease = 0
	clear(c.held)
}

// Valid reports whether the lease can't have ended yet. It is counted from
// before the renewal was sent, less the drift of the clocks.
func (c *Claim) Valid(now time.Time) bool {
	life := c.TTL - time.Duration(float64(c.TTL)*2*drift) - 200*time.Millisecond
	return c.lease != 0 && now.Sub(c.confirmed) < life
}

// Confirmed is when the last renewal that succeeded was sent.
func (c *Claim) Confirmed() time.Time { return c.confirmed }

// Due tells when to renew next.
func (c *Claim) Due() time.Time { return c.confirmed.Add(c.Every) }

// Held gives the claim on a part.
func (c *Claim) Held(part string) (Held, bool) {
	h, ok := c.held[part]
	return h, ok
}

// Leave gives a part back. From now on it is not held, whatever its record says: what is
// known of its machines ends with the duties, and a claim of its own must bring it anew.
func (c *Claim) Leave(part string) {
	if h, ok := c.held[part]; ok {
		c.left[part] = h
		delete(c.held, part)
	}
}

// Releases gives the transactions that are still to be made for parts given back.
func (c *Claim) Releases() map[string]wire.Txn {
	out := make(map[string]wire.Txn, len(c.left))
	for part, h := range c.left {
		out[part] = wire.Txn{If: []wire.Condition{{Key: store.PartKey(part), Version: h.Version}}, Then: []wire.Change{{Delete: store.PartKey(part)}}}
	}
	return out
}

// Attempt gives the transaction that claims a part: it must be free, the counter of
// terms must be as it was read, and whatever else is demanded must be so.
func (c *Claim) Attempt(part string, counter store.Versioned[uint64], more ...wire.Condition) (wire.Txn, uint64) {
	term := counter.Record + 1
	return wire.Txn{
		If: append([]wire.Condition{{Key: store.PartKey(part)}, {Key: store.TermKey, Version: counter.Version}}, more...),
		Then: []wire.Change{
			{Put: store.TermKey, Value: term},
			{Put: store.PartKey(part), Value: store.PartRecord{Holder: c.Name, Term: term, Lease: c.lease, Format: store.Format}, Lease: c.lease},
		},
	}, term
}

// Won takes in that the claim of a part was committed at a revision.
func (c *Claim) Won(part string, term, revision uint64) {
	c.held[part] = Held{part, term, revision, revision}
}

// See takes in the part's record. A claim whose answer was lost, and that was
// applied late, is found here; so is one that is gone. It reports the lease of
// an earlier incarnation of this controller, which must be ended at once.
func (c *Claim) See(part string, rec store.Versioned[store.PartRecord], known bool, revision uint64) (ended uint64) {
	mine := known && rec.Record.Holder == c.Name
	h, held := c.held[part]
	if left, ok := c.left[part]; ok {
		if mine && rec.Version == left.Version {
			return 0
		}
		if revision > left.Revision {
			delete(c.left, part)
		}
	}
	switch {
	case mine && rec.Record.Lease == c.lease && c.lease != 0:
		if !held || h.Version != rec.Version {
			c.held[part] = Held{part, rec.Record.Term, rec.Version, rec.Version}
		}
	case held && revision > h.Revision:
		delete(c.held, part)
	}
	if mine && rec.Record.Lease != c.lease {
		return rec.Record.Lease
	}
	return 0
}
