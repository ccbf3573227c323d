package leadership

import (
	"context"
	"errors"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// campaign compares a part's record with what is held, and claims a free part.
func (k *Elector) campaign(ctx context.Context, shard string, configMatches bool, conditions ...wire.Condition) {
	if !k.View.Loaded() {
		return
	}
	revision := k.View.Revision()
	rec, known := k.View.Leader(shard)
	k.mu.Lock()
	before, _ := k.Election.Tenure(shard)
	staleLease := k.Election.Observe(shard, rec, known, revision)
	after, held := k.Election.Tenure(shard)
	valid := k.Election.LeaseValid(time.Now())
	txn, token := k.Election.Campaign(shard, k.View.FencingToken(), conditions...)
	k.mu.Unlock()
	if before != after {
		k.OnChange()
	}
	if staleLease != 0 {
		k.Log.Info("ending the lease of an earlier run of this controller", "lease", staleLease, "part", shard)
		_ = k.Client.RevokeLease(ctx, staleLease)
		_ = k.Follow.Barrier(ctx)
		return
	}
	if known || held {
		delete(k.vacantSince, shard)
		return
	}
	if k.vacantSince == nil {
		k.vacantSince = make(map[string]time.Time)
	}
	if k.vacantSince[shard].IsZero() {
		k.vacantSince[shard] = time.Now()
	}
	if !valid || !configMatches || !k.ShouldCampaign(shard, time.Since(k.vacantSince[shard])) {
		return
	}
	rev, err := k.Client.Txn(ctx, txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		k.mu.Lock()
		k.Election.Won(shard, token, rev)
		k.mu.Unlock()
		k.Log.Info("claim won", "part", shard, "term", token, "revision", rev)
		k.OnChange()
	case errors.As(err, &conflict):
		k.Log.Debug("claim lost to another", "part", shard, "term", token)
	default:
		k.Log.Info("claim without an answer", "part", shard, "term", token, "error", err)
		store.Backoff(ctx, 200*time.Millisecond)
	}
	_ = k.Follow.Barrier(ctx) // win or not, the view must know before the next look
}

// releaseShards makes the writes for parts that were given back, until each has an answer.
func (k *Elector) releaseShards(ctx context.Context) {
	k.mu.Lock()
	releases := k.Election.PendingReleases()
	k.mu.Unlock()
	for shard, txn := range releases {
		_, err := k.Client.Txn(ctx, txn)
		k.Log.Info("part given back", "part", shard, "error", err)
		if berr := k.Follow.Barrier(ctx); berr != nil {
			return
		}
		rec, known := k.View.Leader(shard)
		k.mu.Lock()
		k.Election.Observe(shard, rec, known, k.View.Revision())
		k.mu.Unlock()
	}
}
