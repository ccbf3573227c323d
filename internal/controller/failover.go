package controller

import (
	"context"
	"log/slog"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

const (
	// failoverCheckInterval is the time between two checks of all leaders.
	failoverCheckInterval = 500 * time.Millisecond
	// ledgerIdleTime is how long a dead leader must not have written the ledgers of its shards.
	ledgerIdleTime = 4 * time.Second
	// maxViewAge is how old the view that shows these ledgers may be.
	maxViewAge = 1500 * time.Millisecond
	// firstControllerHeadStart is how long only the first live controller revokes a lease, before the others do so too.
	firstControllerHeadStart = 2 * time.Second
)

// failover revokes the leases of dead leaders before they expire, so that their shards can be won
// sooner. Safety does not depend on it: if such a leader is alive after all, its next renewal or round
// is rejected as if its lease had expired. Only the goroutine of run uses its mutable state.
type failover struct {
	self   string // this controller's name
	shards []string
	client *store.Client
	view   *store.View
	follow *store.Follower
	peers  *peerTracker
	log    *slog.Logger

	ledgerWrites map[string]ledgerWrite // by shard
	deadSince    map[uint64]time.Time   // by lease: when its leader was first found dead
}

// ledgerWrite is the last observed change of a shard's ledger.
type ledgerWrite struct {
	revision uint64
	at       time.Time
}

// run revokes the leases of dead leaders until the context ends.
func (f *failover) run(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeLeadership)
	for ctx.Err() == nil {
		store.Backoff(ctx, failoverCheckInterval)
		f.step(ctx, time.Now())
	}
	return nil
}

// step checks all leaders once.
func (f *failover) step(ctx context.Context, now time.Time) {
	for _, shard := range f.shards {
		f.ledgerIdle(now, shard) // records ledger writes even while no leader is suspected
	}
	if f.anyLeaderDead(now) && now.Sub(f.view.CurrentAt()) > maxViewAge && f.follow.Barrier(ctx) != nil {
		return // the leader's latest writes are unknown
	}
	leases := f.deadLeases(now)
	for lease := range f.deadSince {
		if leases[lease] == "" {
			delete(f.deadSince, lease)
		}
	}
	for lease, leader := range leases {
		if f.deadSince[lease].IsZero() {
			f.deadSince[lease] = now
		}
		if f.peers.firstAlive(now, f.self) || now.Sub(f.deadSince[lease]) > firstControllerHeadStart {
			err := f.client.RevokeLease(ctx, lease)
			f.log.Warn("revoked the lease of a dead leader", "leader", leader, "lease", lease, "err", err)
		}
	}
}

// leaderDead reports whether the leader in a shard's record is a peer that the controllers agree is dead.
func (f *failover) leaderDead(now time.Time, rec store.LeaderRecord) bool {
	return rec.Leader != f.self && f.peers.dead(now, rec.Leader)
}

func (f *failover) anyLeaderDead(now time.Time) bool {
	for _, shard := range f.shards {
		if rec, led := f.view.Leader(shard); led && f.leaderDead(now, rec.Record) {
			return true
		}
	}
	return false
}

// deadLeases returns, by lease, the leaders that are dead and have written no ledger for ledgerIdleTime.
func (f *failover) deadLeases(now time.Time) map[uint64]string {
	out := make(map[uint64]string)
	if !f.view.Loaded() || now.Sub(f.view.CurrentAt()) > maxViewAge {
		return out
	}
	idle := make(map[string]bool) // whether none of a leader's ledgers was written
	for _, shard := range f.shards {
		if rec, led := f.view.Leader(shard); led {
			othersIdle, known := idle[rec.Record.Leader]
			idle[rec.Record.Leader] = f.ledgerIdle(now, shard) && (othersIdle || !known)
		}
	}
	for _, shard := range f.shards {
		rec, led := f.view.Leader(shard)
		if led && idle[rec.Record.Leader] && f.leaderDead(now, rec.Record) {
			out[rec.Record.Lease] = rec.Record.Leader
		}
	}
	return out
}

// ledgerIdle reports whether, according to the view, a shard was neither won nor its ledger written for
// ledgerIdleTime.
func (f *failover) ledgerIdle(now time.Time, shard string) bool {
	rec, _ := f.view.Leader(shard)
	revision := max(rec.Version, f.view.LedgerRevision(shard))
	if f.ledgerWrites[shard].revision != revision {
		f.ledgerWrites[shard] = ledgerWrite{revision, now}
	}
	return now.Sub(f.ledgerWrites[shard].at) >= ledgerIdleTime
}
