package leadership

import (
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// campaign compares a shard's record with the local election state, and tries to win the shard if it
// is vacant and the settings match the state.
func (e *Elector) campaign(ctx context.Context, shard string, settingsMatch bool, conditions []wire.Condition) {
	if !e.state.View.Loaded() {
		return
	}
	seen := e.observe(shard, conditions)
	switch {
	case seen.staleLease != 0:
		e.revokeStaleLease(ctx, shard, seen.staleLease)
		return
	case !seen.vacant:
		delete(e.vacantSince, shard)
		return
	}
	if e.vacantSince[shard].IsZero() {
		e.vacantSince[shard] = time.Now()
	}
	if seen.leaseValid && settingsMatch && e.ShouldCampaign(shard, time.Since(e.vacantSince[shard])) {
		e.claim(ctx, shard, seen)
	}
}

// observation is the outcome of comparing a shard's record with the local election state.
type observation struct {
	staleLease uint64 // lease of an earlier incarnation of this controller that still leads the shard, 0 for none
	vacant     bool
	leaseValid bool

	txn   wire.Txn // wins the shard unless something has changed since
	token uint64   // the fencing token that the transaction takes
}

// observe compares a shard's record with the local election state. It reads the revision before the
// record, so that the record is at least as new.
func (e *Elector) observe(shard string, conditions []wire.Condition) (seen observation) {
	view := e.state.View
	revision := view.Revision()
	rec, known := view.Leader(shard)
	e.mu.Lock()
	before, _ := e.election.Tenure(shard)
	seen.staleLease = e.election.Observe(shard, rec, known, revision)
	after, leading := e.election.Tenure(shard)
	seen.leaseValid = e.election.LeaseValid(time.Now())
	seen.txn, seen.token = e.election.Campaign(shard, view.FencingToken(), conditions...)
	e.mu.Unlock()
	if before != after {
		e.OnChange()
	}
	seen.vacant = !known && !leading
	return seen
}

// revokeStaleLease revokes the lease of an earlier incarnation of this controller, whose shards would
// otherwise have no working leader until it expires.
func (e *Elector) revokeStaleLease(ctx context.Context, shard string, lease uint64) {
	e.log.Info("revoking the lease of an earlier incarnation", "lease", lease, "shard", shard)
	_ = e.state.Client.RevokeLease(ctx, lease) // the next step retries it
	_ = e.state.Follow.Barrier(ctx)
}

// claim tries to win a vacant shard.
func (e *Elector) claim(ctx context.Context, shard string, seen observation) {
	rev, err := e.state.Client.Txn(ctx, seen.txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		e.mu.Lock()
		e.election.Won(shard, seen.token, rev)
		e.mu.Unlock()
		e.log.Info("leadership won", "shard", shard, "token", seen.token, "revision", rev)
		e.OnChange()
	case errors.As(err, &conflict):
		e.log.Debug("leadership lost to another controller", "shard", shard, "token", seen.token)
	default:
		e.log.Info("no answer to a leadership claim", "shard", shard, "token", seen.token, "err", err)
		store.Backoff(ctx, campaignRetryDelay)
	}
	_ = e.state.Follow.Barrier(ctx) // the view must include the outcome before the next step
}
