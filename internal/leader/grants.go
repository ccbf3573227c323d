package leader

import (
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// ProposeGrants proposes a change of what this shard may use of the teams' limits, or gives nil.
func (l *Leader) ProposeGrants() *quota.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.rebuiltReachable || !l.quota.Idle() {
		return nil
	}
	fence := wire.Condition{Key: store.LeaderKey(l.lease.Shard), Version: l.lease.Version}
	return l.quota.Propose(fence, quota.Teams(l.cfg.Teams, l.liveJobs), l.teamUsage())
}

// GrantsSettled takes in that a change of grants is over, whether it was taken or not, and the record as it
// is since then.
func (l *Leader) GrantsSettled(rec store.Versioned[store.QuotaGrantRecord]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.Settled(rec)
}

const (
	grantInterval      = 600 * time.Millisecond // between two changes of grants
	grantRetryInterval = 300 * time.Millisecond // before a change without an answer is written again
	grantReadInterval  = 200 * time.Millisecond // before the view is asked again how one has ended
)

// runGrants proposes changes of the shard's grants until the context ends.
func (l *Leader) runGrants(ctx context.Context, deps Dependencies) error {
	ctx = store.WithPurpose(ctx, store.PurposeRounds)
	for ctx.Err() == nil {
		store.Backoff(ctx, grantInterval)
		if !deps.LeaseValid() {
			continue
		}
		if change := l.ProposeGrants(); change != nil {
			l.commitGrant(ctx, deps, change)
		}
	}
	return nil
}

// commitGrant writes a change of grants. Without an answer it is written again: its condition on the record
// lets one copy at most be taken. What it returns is not used until the view shows how it ended.
func (l *Leader) commitGrant(ctx context.Context, deps Dependencies, change *quota.Change) {
	for ctx.Err() == nil {
		_, err := deps.Store.Txn(ctx, change.Txn)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			l.awaitGrants(ctx, deps)
			return
		}
		store.Backoff(ctx, grantRetryInterval)
	}
}

// awaitGrants waits until the view shows how a change of grants has ended.
func (l *Leader) awaitGrants(ctx context.Context, deps Dependencies) {
	for ctx.Err() == nil {
		if deps.Follower.Barrier(ctx) == nil {
			l.GrantsSettled(deps.View.Snapshot().QuotaGrants)
			return
		}
		store.Backoff(ctx, grantReadInterval)
	}
}
