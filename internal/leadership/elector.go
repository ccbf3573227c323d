package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
)

// Elector runs a Claim: it renews the lease and claims every part that is free.
type Elector struct {
	Election    *Election
	Sharding    *fleet.Sharding
	TiersDigest string // how the tiers of work are set, in short
	Client      *store.Client
	View        *store.View
	Follow      *store.Follower
	Log         *slog.Logger
	// ShouldCampaign says whether this controller is to claim a part that has been free for
	// so long.
	ShouldCampaign func(part string, free time.Duration) bool
	// OnChange is called when a claim may have been won or lost.
	OnChange func()
	// ConfigMismatch names a controller that lives and is set to another grouping, or one that may
	// live and was not heard yet, if there is one.
	ConfigMismatch func() (other string, heard bool)

	wake                chan struct{}
	vacantSince         map[string]time.Time // parts that nobody holds, since when
	lastShardingRefusal string               // why nothing is claimed, as it was last said
	lastTiersRefusal    string               // and why for the tiers of work

	mu sync.Mutex
}

// Tenure tells the claim on a part, whether its lease surely lasts, and when the
// last renewal that succeeded was sent.
func (k *Elector) Tenure(shard string, now time.Time) (h Tenure, held, valid bool, lastRenewal time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, held = k.Election.Tenure(shard)
	return h, held, k.Election.LeaseValid(now), k.Election.LastRenewal()
}

// Run keeps the claim until the context ends; then it ends the lease, so that
// a sibling can take over at once.
func (k *Elector) Run(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeLeadership)
	wake := k.wakeChannel()
	for ctx.Err() == nil {
		k.step(ctx)
		k.mu.Lock()
		wait := time.Until(k.Election.NextRenewal())
		k.mu.Unlock()
		if len(k.vacantSince) > 0 {
			wait = min(wait, 300*time.Millisecond)
		}
		t := time.NewTimer(max(wait, 100*time.Millisecond))
		select {
		case <-ctx.Done():
		case <-k.View.Changed():
		case <-wake:
		case <-t.C:
		}
		t.Stop()
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if lease := k.Election.Lease(); lease != 0 {
		return k.Client.RevokeLease(end, lease)
	}
	return nil
}

// Resign ends the lease, because another controller can serve better.
func (k *Elector) Resign(ctx context.Context, why string) {
	k.mu.Lock()
	lease := k.Election.Lease()
	k.Election.LeaseLost()
	k.mu.Unlock()
	k.Log.Warn("claim given up", "lease", lease, "why", why)
	k.OnChange()
	if lease != 0 {
		_ = k.Client.RevokeLease(ctx, lease)
	}
}

func (k *Elector) step(ctx context.Context) {
	now := time.Now()
	k.mu.Lock()
	lease := k.Election.Lease()
	k.mu.Unlock()
	if lease == 0 {
		id, err := k.Client.GrantLease(ctx, k.Election.TTL)
		if err != nil {
			store.Backoff(ctx, 400*time.Millisecond)
			return
		}
		k.mu.Lock()
		k.Election.LeaseGranted(id, now)
		k.mu.Unlock()
	}
	if !k.ensureLease(ctx) {
		return
	}
	k.releaseShards(ctx)
	shardingUnchanged, shardingMatches := k.shardingCondition(ctx)
	tiersUnchanged, tiersMatch := k.tiersCondition(ctx)
	// Claims that get no answer, one after the other, take longer than a lease: all that were taken
	// would go with it, and be made again, for ever.
	for shards := k.Sharding.Shards(); len(shards) > 0 && k.ensureLease(ctx); shards = shards[1:] {
		k.campaign(ctx, shards[0], shardingMatches && tiersMatch, shardingUnchanged, tiersUnchanged)
	}
}

// StepDown gives a part back, once the duties for it have ended. The claim of it counts as
// lost from now on, and never comes back.
func (k *Elector) StepDown(shard string) {
	wake := k.wakeChannel()
	k.mu.Lock()
	k.Election.StepDown(shard)
	k.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (k *Elector) wakeChannel() chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wake == nil {
		k.wake = make(chan struct{}, 1)
	}
	return k.wake
}
