package leadership

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// maxClockDrift is by how much the monotonic clocks of two machines may differ, as a fraction.
	maxClockDrift = 0.0005
	// leaseMargin is how long before its computed end a lease no longer counts as valid.
	leaseMargin = 200 * time.Millisecond
)

// Tenure is the leadership of one shard, from the transaction that won it.
type Tenure struct {
	Shard        string
	FencingToken uint64
	Version      uint64 // of the shard's leader record: every write of the leader is conditional on it
	Revision     uint64 // of the state in which it was won: no job that is newer can be running yet
}

// Election is the state of one controller's lease and of the shards that it leads under it. It
// does no I/O: times and answers are passed in.
type Election struct {
	Name string        // of this controller
	TTL  time.Duration // of its lease
	// Every is the time between two renewals.
	RenewInterval time.Duration

	lease       uint64
	lastRenewal time.Time // when the last renewal that succeeded was sent
	tenures     map[string]Tenure
	resigned    map[string]Tenure // shards that were given up, until the state shows it
}

// New returns an election without a lease.
func New(name string, ttl, every time.Duration) *Election {
	return &Election{Name: name, TTL: ttl, RenewInterval: every, tenures: make(map[string]Tenure), resigned: make(map[string]Tenure)}
}

// Lease returns the current lease, 0 for none.
func (e *Election) Lease() uint64 { return e.lease }

// LeaseGranted records a new lease, which was requested at sent.
func (e *Election) LeaseGranted(lease uint64, sent time.Time) {
	e.lease, e.lastRenewal = lease, sent
	clear(e.tenures)
	clear(e.resigned)
}

// LeaseRenewed records a renewal, which was requested at sent.
func (e *Election) LeaseRenewed(sent time.Time) {
	if sent.After(e.lastRenewal) {
		e.lastRenewal = sent
	}
}

// LeaseLost records that the lease has ended, and every tenure with it.
func (e *Election) LeaseLost() {
	e.lease = 0
	clear(e.tenures)
}

// LeaseValid reports whether the lease cannot have expired yet. It counts from before the
// renewal was sent, and allows for the drift of both clocks.
func (e *Election) LeaseValid(now time.Time) bool {
	safeFor := e.TTL - time.Duration(float64(e.TTL)*2*maxClockDrift) - leaseMargin
	return e.lease != 0 && now.Sub(e.lastRenewal) < safeFor
}

// LastRenewal returns when the last renewal that succeeded was sent.
func (e *Election) LastRenewal() time.Time { return e.lastRenewal }

// NextRenewal returns when the next renewal is due.
func (e *Election) NextRenewal() time.Time { return e.lastRenewal.Add(e.RenewInterval) }

// Tenure returns this controller's tenure of a shard, if it leads it.
func (e *Election) Tenure(shard string) (Tenure, bool) {
	tenure, leading := e.tenures[shard]
	return tenure, leading
}

// StepDown gives up a shard. From now on this controller does not lead it, whatever the shard's
// record says: what it knew of the machines is dropped with its duties, so that only a tenure
// that was won anew may act on them.
func (e *Election) StepDown(shard string) {
	if tenure, leading := e.tenures[shard]; leading {
		e.resigned[shard] = tenure
		delete(e.tenures, shard)
	}
}

// PendingReleases returns, by shard, the transactions that still have to free shards which were
// given up.
func (e *Election) PendingReleases() map[string]wire.Txn {
	txns := make(map[string]wire.Txn, len(e.resigned))
	for shard, tenure := range e.resigned {
		key := store.LeaderKey(shard)
		txns[shard] = wire.Txn{
			If:   []wire.Condition{{Key: key, Version: tenure.Version}},
			Then: []wire.Operation{{Delete: key}},
		}
	}
	return txns
}

// Campaign returns the transaction that wins a shard, and the fencing token that it takes. It is
// conditional on the shard being free, on the counter of tokens being as it was read, and on
// conditions.
func (e *Election) Campaign(shard string, counter store.Versioned[uint64], conditions ...wire.Condition) (wire.Txn, uint64) {
	token := counter.Record + 1
	leader := store.LeaderRecord{Leader: e.Name, FencingToken: token, Lease: e.lease, Format: store.Format}
	return wire.Txn{
		If: append([]wire.Condition{{Key: store.LeaderKey(shard)}, {Key: store.FencingTokenKey, Version: counter.Version}}, conditions...),
		Then: []wire.Operation{
			{Put: store.FencingTokenKey, Value: token},
			{Put: store.LeaderKey(shard), Value: leader, Lease: e.lease},
		},
	}, token
}

// Won records that a campaign was committed at a revision.
func (e *Election) Won(shard string, token, revision uint64) {
	e.tenures[shard] = Tenure{Shard: shard, FencingToken: token, Version: revision, Revision: revision}
}

// Observe compares a shard's record, as of a revision, with what this controller believes. A
// campaign that was applied although its answer was lost is found here, and so is a tenure that
// has ended. It returns the lease of an earlier incarnation of this controller that still leads
// the shard, which must be revoked at once, or 0.
func (e *Election) Observe(shard string, rec store.Versioned[store.LeaderRecord], known bool, revision uint64) (staleLease uint64) {
	mine := known && rec.Record.Leader == e.Name
	tenure, leading := e.tenures[shard]
	if resigned, ok := e.resigned[shard]; ok {
		if mine && rec.Version == resigned.Version {
			return 0
		}
		if revision > resigned.Revision {
			delete(e.resigned, shard)
		}
	}
	switch {
	case mine && rec.Record.Lease == e.lease && e.lease != 0:
		if !leading || tenure.Version != rec.Version {
			e.tenures[shard] = Tenure{Shard: shard, FencingToken: rec.Record.FencingToken, Version: rec.Version, Revision: rec.Version}
		}
	case leading && revision > tenure.Revision:
		delete(e.tenures, shard)
	}
	if mine && rec.Record.Lease != e.lease {
		return rec.Record.Lease
	}
	return 0
}
