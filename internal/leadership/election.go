// Package leadership takes parts of the fleet through a lease on the state service.
// Each claim carries a fleet-wide term that only rises. The fence is the
// condition on the part's version in every write of the holder; the local
// check of the lease's time is a courtesy.
package leadership

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// maxClockDrift is by how much the steady clocks of two machines may differ.
const maxClockDrift = 0.0005

// Tenure is a part that this controller holds.
type Tenure struct {
	Shard        string
	FencingToken uint64
	Version      uint64 // of the part's record: the fence
	Revision     uint64 // of the claim: later jobs can't be anywhere yet
}

// Election is the state of one controller's lease and of the parts it covers. It
// is pure: times and answers come in.
type Election struct {
	Name       string
	TTL, Every time.Duration

	lease       uint64
	lastRenewal time.Time // when the last renewal that succeeded was sent
	tenures     map[string]Tenure
	resigned    map[string]Tenure // parts that were given back, until that shows
}

// New gives a claim without a lease.
func New(name string, ttl, every time.Duration) *Election {
	return &Election{Name: name, TTL: ttl, Every: every, tenures: make(map[string]Tenure), resigned: make(map[string]Tenure)}
}

// Lease is the current lease, 0 for none.
func (c *Election) Lease() uint64 { return c.lease }

// LeaseGranted takes in a new lease that was asked for at a time.
func (c *Election) LeaseGranted(lease uint64, sent time.Time) {
	c.lease, c.lastRenewal = lease, sent
	clear(c.tenures)
	clear(c.resigned)
}

// LeaseRenewed takes in a renewal that was sent at a time.
func (c *Election) LeaseRenewed(sent time.Time) {
	if sent.After(c.lastRenewal) {
		c.lastRenewal = sent
	}
}

// LeaseLost takes in that the lease has ended, and with it every claim.
func (c *Election) LeaseLost() {
	c.lease = 0
	clear(c.tenures)
}

// LeaseValid reports whether the lease can't have ended yet. It is counted from
// before the renewal was sent, less the drift of the clocks.
func (c *Election) LeaseValid(now time.Time) bool {
	safeFor := c.TTL - time.Duration(float64(c.TTL)*2*maxClockDrift) - 200*time.Millisecond
	return c.lease != 0 && now.Sub(c.lastRenewal) < safeFor
}

// LastRenewal is when the last renewal that succeeded was sent.
func (c *Election) LastRenewal() time.Time { return c.lastRenewal }

// NextRenewal tells when to renew next.
func (c *Election) NextRenewal() time.Time { return c.lastRenewal.Add(c.Every) }

// Tenure gives the claim on a part.
func (c *Election) Tenure(shard string) (Tenure, bool) {
	h, ok := c.tenures[shard]
	return h, ok
}

// StepDown gives a part back. From now on it is not held, whatever its record says: what is
// known of its machines ends with the duties, and a claim of its own must bring it anew.
func (c *Election) StepDown(shard string) {
	if h, ok := c.tenures[shard]; ok {
		c.resigned[shard] = h
		delete(c.tenures, shard)
	}
}

// PendingReleases gives the transactions that are still to be made for parts given back.
func (c *Election) PendingReleases() map[string]wire.Txn {
	txns := make(map[string]wire.Txn, len(c.resigned))
	for shard, h := range c.resigned {
		txns[shard] = wire.Txn{If: []wire.Condition{{Key: store.LeaderKey(shard), Version: h.Version}}, Then: []wire.Operation{{Delete: store.LeaderKey(shard)}}}
	}
	return txns
}

// Campaign gives the transaction that claims a part: it must be free, the counter of
// terms must be as it was read, and whatever else is demanded must be so.
func (c *Election) Campaign(shard string, counter store.Versioned[uint64], conditions ...wire.Condition) (wire.Txn, uint64) {
	token := counter.Record + 1
	return wire.Txn{
		If: append([]wire.Condition{{Key: store.LeaderKey(shard)}, {Key: store.FencingTokenKey, Version: counter.Version}}, conditions...),
		Then: []wire.Operation{
			{Put: store.FencingTokenKey, Value: token},
			{Put: store.LeaderKey(shard), Value: store.LeaderRecord{Leader: c.Name, FencingToken: token, Lease: c.lease, Format: store.Format}, Lease: c.lease},
		},
	}, token
}

// Won takes in that the claim of a part was committed at a revision.
func (c *Election) Won(shard string, token, revision uint64) {
	c.tenures[shard] = Tenure{shard, token, revision, revision}
}

// Observe takes in the part's record. A claim whose answer was lost, and that was
// applied late, is found here; so is one that is gone. It reports the lease of
// an earlier incarnation of this controller, which must be ended at once.
func (c *Election) Observe(shard string, rec store.Versioned[store.LeaderRecord], known bool, revision uint64) (staleLease uint64) {
	mine := known && rec.Record.Leader == c.Name
	h, held := c.tenures[shard]
	if resigned, ok := c.resigned[shard]; ok {
		if mine && rec.Version == resigned.Version {
			return 0
		}
		if revision > resigned.Revision {
			delete(c.resigned, shard)
		}
	}
	switch {
	case mine && rec.Record.Lease == c.lease && c.lease != 0:
		if !held || h.Version != rec.Version {
			c.tenures[shard] = Tenure{shard, rec.Record.FencingToken, rec.Version, rec.Version}
		}
	case held && revision > h.Revision:
		delete(c.tenures, shard)
	}
	if mine && rec.Record.Lease != c.lease {
		return rec.Record.Lease
	}
	return 0
}
