package leader

import (
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// ProposeGrants returns a change of this shard's share of the teams' limits, or nil if there is none to propose.
func (l *Leader) ProposeGrants() *quota.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.rebuiltReachable || !l.quota.Idle() {
		return nil
	}
	fence := wire.Condition{Key: store.LeaderKey(l.lease.Shard), Version: l.lease.Version}
	return l.quota.Propose(fence, quota.Teams(l.cfg.Teams, l.liveJobs), l.teamUsage())
}

// GrantsSettled records that a change of grants has completed, whether it was committed or refused, and applies the
// grant record as it is now.
func (l *Leader) GrantsSettled(rec store.Versioned[store.QuotaGrantRecord]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quota.EndChange(rec)
}

const (
	grantInterval      = 600 * time.Millisecond // between two proposals
	grantRetryInterval = 300 * time.Millisecond // before a change without an answer is resent
	grantReadInterval  = 200 * time.Millisecond // before the outcome is read again
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

// commitGrant writes a change of grants, and resends it while there is no answer: its condition on the grant record
// lets at most one copy succeed. Until the view shows the outcome, this shard does not use the quota that the change
// returns.
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

// awaitGrants waits until the view shows the outcome of a change of grants, and applies it.
func (l *Leader) awaitGrants(ctx context.Context, deps Dependencies) {
	for ctx.Err() == nil {
		if deps.Follower.Barrier(ctx) == nil {
			l.GrantsSettled(deps.View.Snapshot().QuotaGrants)
			return
		}
		store.Backoff(ctx, grantReadInterval)
	}
}
