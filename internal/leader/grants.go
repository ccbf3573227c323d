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
func (h *Leader) ProposeGrants() *quota.Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.rebuiltReachable || !h.quota.Idle() {
		return nil
	}
	fence := wire.Condition{Key: store.LeaderKey(h.lease.Shard), Version: h.lease.Version}
	return h.quota.Propose(fence, quota.Teams(h.cfg.Teams, h.liveJobs), h.teamUsage())
}

// GrantsSettled takes in that a change of grants is over, whether it was taken or not, and the record as it
// is since then.
func (h *Leader) GrantsSettled(rec store.Versioned[store.QuotaGrantRecord]) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quota.Settled(rec)
}

const (
	grantInterval      = 600 * time.Millisecond // between two changes of grants
	grantRetryInterval = 300 * time.Millisecond // before a change without an answer is written again
	grantReadInterval  = 200 * time.Millisecond // before the view is asked again how one has ended
)

// runGrants proposes changes of the shard's grants until the context ends.
func (h *Leader) runGrants(ctx context.Context, e Dependencies) error {
	ctx = store.WithPurpose(ctx, store.PurposeRounds)
	for ctx.Err() == nil {
		store.Backoff(ctx, grantInterval)
		if !e.LeaseValid() {
			continue
		}
		if change := h.ProposeGrants(); change != nil {
			h.commitGrant(ctx, e, change)
		}
	}
	return nil
}

// commitGrant writes a change of grants. Without an answer it is written again: its condition on the record
// lets one copy at most be taken. What it returns is not used until the view shows how it ended.
func (h *Leader) commitGrant(ctx context.Context, e Dependencies, change *quota.Change) {
	for ctx.Err() == nil {
		_, err := e.Store.Txn(ctx, change.Txn)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			h.awaitGrants(ctx, e)
			return
		}
		store.Backoff(ctx, grantRetryInterval)
	}
}

// awaitGrants waits until the view shows how a change of grants has ended.
func (h *Leader) awaitGrants(ctx context.Context, e Dependencies) {
	for ctx.Err() == nil {
		if e.Follower.Barrier(ctx) == nil {
			h.GrantsSettled(e.View.Snapshot().QuotaGrants)
			return
		}
		store.Backoff(ctx, grantReadInterval)
	}
}
