package leadership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
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

// ensureLease renews the lease where that is due, and says whether it goes on.
func (k *Elector) ensureLease(ctx context.Context) bool {
	now := time.Now()
	k.mu.Lock()
	lease, due, valid := k.Election.Lease(), k.Election.NextRenewal(), k.Election.LeaseValid(now)
	k.mu.Unlock()
	return lease != 0 && (now.Before(due) || k.renew(ctx, lease, now, valid))
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

// shardingCondition gives the condition that the state is divided into parts as this controller is
// set to. Where it is divided otherwise nothing is claimed: two controllers would answer
// for one machine. Once nobody holds a part and all controllers that live are set alike, the
// state is divided anew.
func (k *Elector) shardingCondition(ctx context.Context) (wire.Condition, bool) {
	if !k.View.Loaded() {
		return wire.Condition{}, false
	}
	rec, want := k.View.Sharding(), k.Sharding.String()
	cond := wire.Condition{Key: store.ShardingKey, Version: rec.Version}
	if rec.Record.Text == want {
		k.lastShardingRefusal = ""
		return cond, true
	}
	if form := k.View.Format(); form.Format < store.Format || form.Import != "" {
		return cond, false
	}
	if err := k.reshard(ctx); err != nil && err.Error() != k.lastShardingRefusal {
		k.lastShardingRefusal = err.Error()
		level := slog.LevelError
		if errors.Is(err, errPeerUnknown) {
			level = slog.LevelInfo
		}
		k.Log.Log(ctx, level, "no part is claimed", "state", describeSharding(rec.Record.Text), "settings", describeSharding(want), "why", err, "do", "see docs/sharding.md, To change the grouping")
	}
	return cond, false
}

// errPeerUnknown means that it is not known yet how a sibling is set.
var errPeerUnknown = errors.New("is yet to be heard")

// checkReconfigurable says why the state can't follow the settings yet: a part is held, or a controller that
// lives is set otherwise. Before anything was launched nobody need be asked.
func (k *Elector) checkReconfigurable() error {
	held, used := k.View.LedShards()
	switch other, heard := k.ConfigMismatch(); {
	case !used && len(held) == 0: // nothing was ever launched
	case other != "" && heard:
		return fmt.Errorf("%s is set otherwise", other)
	case other != "":
		return fmt.Errorf("%s %w", other, errPeerUnknown)
	}
	if len(held) > 0 {
		return fmt.Errorf("%w: %s", reshard.ErrLed, strings.Join(held, ", "))
	}
	return nil
}

// reshard divides the state as this controller is set to, or says why not.
func (k *Elector) reshard(ctx context.Context) error {
	if err := k.checkReconfigurable(); err != nil {
		return err
	}
	if err := k.Follow.Barrier(ctx); err != nil {
		return err
	}
	state := k.View.ShardingState()
	if state.Sharding.Record.Text == k.Sharding.String() {
		return nil // another was first
	}
	txn, err := reshard.Transaction(&state, k.Sharding, func(job string) (store.TaskDemand, bool) {
		rec, _ := k.View.Job(job)
		return rec.TaskDemand()
	})
	if err != nil {
		return err
	}
	_, err = k.Client.Txn(ctx, txn)
	k.Log.Info("state divided anew", "before", describeSharding(state.Sharding.Record.Text), "now", describeSharding(k.Sharding.String()),
		"grouping", state.Sharding.Record.Generation+1, "ledgers", state.LedgerNames, "error", err)
	_ = k.Follow.Barrier(ctx)
	return nil
}

// tiersCondition gives the condition that the tiers of work are set in the state as they are here.
// Where they are set otherwise nothing is claimed: one holder would take what the next
// guarantees. Once nobody holds a part and all that live are set alike, the state follows.
func (k *Elector) tiersCondition(ctx context.Context) (wire.Condition, bool) {
	rec, counter := k.View.Tiers(), k.View.FencingToken()
	cond := wire.Condition{Key: store.TiersKey, Version: rec.Version}
	if !k.View.Loaded() || rec.Record.Digest == k.TiersDigest {
		k.lastTiersRefusal = ""
		return cond, k.View.Loaded()
	}
	if err := k.writeTiers(ctx, cond, counter); err != nil && err.Error() != k.lastTiersRefusal {
		k.lastTiersRefusal = err.Error()
		level := slog.LevelError
		if errors.Is(err, errPeerUnknown) {
			level = slog.LevelInfo
		}
		k.Log.Log(ctx, level, "no part is claimed", "tiers in the state", cmp.Or(rec.Record.Digest, "default"), "in the settings", cmp.Or(k.TiersDigest, "default"),
			"why", err, "do", "see docs/tiers.md, To change the tiers")
	}
	return cond, false
}

// writeTiers writes how the tiers are set here, or says why not. That no part is held is a condition
// that comes true again and again, and holds for the parts of this grouping alone: the counter
// of terms, read before anyone was asked, refuses a copy that comes after another claim.
func (k *Elector) writeTiers(ctx context.Context, cond wire.Condition, counter store.Versioned[uint64]) error {
	if err := k.checkReconfigurable(); err != nil {
		return err
	}
	txn := wire.Txn{If: []wire.Condition{cond, {Key: store.FencingTokenKey, Version: counter.Version}}, Then: []wire.Operation{{Put: store.TiersKey, Value: store.TiersRecord{Digest: k.TiersDigest}}}}
	for _, shard := range k.Sharding.Shards() {
		txn.If = append(txn.If, wire.Condition{Key: store.LeaderKey(shard)})
	}
	_, err := k.Client.Txn(ctx, txn)
	k.Log.Info("tiers set anew", "before", cmp.Or(k.View.Tiers().Record.Digest, "default"), "now", cmp.Or(k.TiersDigest, "default"), "error", err)
	_ = k.Follow.Barrier(ctx)
	return nil
}

func describeSharding(sharding string) string {
	if sharding == "" {
		return "one part"
	}
	return "parts by " + sharding
}

func (k *Elector) renew(ctx context.Context, lease uint64, now time.Time, valid bool) bool {
	err := k.Client.RenewLease(ctx, lease)
	switch {
	case err == nil:
		k.mu.Lock()
		k.Election.LeaseRenewed(now)
		k.mu.Unlock()
		if !valid {
			k.OnChange()
		}
		return true
	case errors.Is(err, store.ErrLeaseNotFound):
		k.Log.Warn("lease has ended", "lease", lease)
		k.mu.Lock()
		k.Election.LeaseLost()
		k.mu.Unlock()
		k.OnChange()
	default:
		k.Log.Info("renewal failed", "lease", lease, "error", err)
		store.Backoff(ctx, 300*time.Millisecond)
	}
	return false
}

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
