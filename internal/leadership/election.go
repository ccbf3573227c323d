package leadership

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// maxClockDrift is the fraction by which the monotonic clocks of two machines may run apart.
	maxClockDrift = 0.0005
	// leaseMargin is how long before its computed expiry a lease stops counting as valid.
	leaseMargin = 200 * time.Millisecond
)

// Tenure is one period of leadership of a shard. It starts with the transaction that won the shard.
type Tenure struct {
	Shard        string
	FencingToken uint64
	Version      uint64 // version of the shard's leader record; every write of the leader is conditional on it
	Revision     uint64 // revision of the state at which the shard was won; newer jobs cannot be running yet
}

// Election is the state of one controller's lease and of the shards that the controller leads under
// it. It does no I/O: times and responses are passed in.
type Election struct {
	Name string        // name of this controller
	TTL  time.Duration // time to live of its lease
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration

	lease       uint64
	lastRenewal time.Time // when the last successful renewal was sent
	tenures     map[string]Tenure
	resigned    map[string]Tenure // shards that were given up, until the state reflects it
}

// New returns an election without a lease.
func New(name string, ttl, every time.Duration) *Election {
	return &Election{Name: name, TTL: ttl, RenewInterval: every, tenures: make(map[string]Tenure), resigned: make(map[string]Tenure)}
}

// Lease returns the current lease, 0 for none.
func (e *Election) Lease() uint64 { return e.lease }

// LeaseGranted records a new lease that was requested at the time sent.
func (e *Election) LeaseGranted(lease uint64, sent time.Time) {
	e.lease, e.lastRenewal = lease, sent
	clear(e.tenures)
	clear(e.resigned)
}

// LeaseRenewed records a renewal that was requested at the time sent.
func (e *Election) LeaseRenewed(sent time.Time) {
	if sent.After(e.lastRenewal) {
		e.lastRenewal = sent
	}
}

// LeaseLost records that the lease has ended, which ends every tenure.
func (e *Election) LeaseLost() {
	e.lease = 0
	clear(e.tenures)
}

// LeaseValid reports whether the lease cannot have expired yet. It counts from before the last renewal
// was sent, and allows for the drift of this machine's clock and of the state service's.
func (e *Election) LeaseValid(now time.Time) bool {
	safeFor := e.TTL - time.Duration(float64(e.TTL)*2*maxClockDrift) - leaseMargin
	return e.lease != 0 && now.Sub(e.lastRenewal) < safeFor
}

// LastRenewal returns when the last successful renewal was sent.
func (e *Election) LastRenewal() time.Time { return e.lastRenewal }

// NextRenewal returns when the next renewal is due.
func (e *Election) NextRenewal() time.Time { return e.lastRenewal.Add(e.RenewInterval) }

// Tenure returns this controller's tenure of a shard, and whether it leads the shard.
func (e *Election) Tenure(shard string) (Tenure, bool) {
	tenure, leading := e.tenures[shard]
	return tenure, leading
}

// StepDown gives up a shard. From now on this controller does not lead it, even if the shard's record
// still says so: its knowledge of the machines is dropped with the shard's leader, so that only a
// newly won tenure may act on them.
func (e *Election) StepDown(shard string) {
	if tenure, leading := e.tenures[shard]; leading {
		e.resigned[shard] = tenure
		delete(e.tenures, shard)
	}
}

// PendingReleases returns, by shard, the transactions that delete the leader records of shards that
// were given up, as long as the state does not reflect that.
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

// Campaign returns the transaction that wins a shard, and the fencing token that it takes. The
// transaction requires that the shard is vacant, that the token counter has not changed since it was
// read, and that the given conditions hold.
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

// Won records that a campaign's transaction was committed at a revision.
func (e *Election) Won(shard string, token, revision uint64) {
	e.tenures[shard] = Tenure{Shard: shard, FencingToken: token, Version: revision, Revision: revision}
}

// Observe updates the election from a shard's record as of a revision. It detects a campaign that was
// committed although its response was lost, and a tenure that has ended. It returns the lease of an
// earlier incarnation of this controller that still leads the shard and must be revoked at once, or 0.
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
