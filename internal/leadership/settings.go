package leadership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// SettingsGate lets a controller campaign only while the sharding and the tiers in the state are those
// of the controller's settings. Two controllers with different sharding would both answer for the same
// machine; with different tiers, one leader would take capacity that another guarantees. Once no
// shard is led and all live controllers have the same settings, the gate applies these to the state.
type SettingsGate struct {
	Sharding    *fleet.Sharding
	TiersDigest string // identifies the tier settings
	// Mismatch returns the name of a live peer whose settings differ (known is true), or of one that
	// may be alive but has not sent a heartbeat yet (known is false). The name is empty if there is
	// no such peer.
	Mismatch func() (peer string, known bool)
	State    State
	Log      *slog.Logger

	sharding, tiers mismatchLog
}

// errSettingsUnknown means that a peer has not reported its settings yet.
var errSettingsUnknown = errors.New("has not sent a heartbeat yet")

// Conditions returns the conditions that the sharding and tier records are unchanged, and whether both
// match this controller's settings.
func (g *SettingsGate) Conditions(ctx context.Context) (unchanged []wire.Condition, match bool) {
	sharding, shardingMatches := g.shardingCondition(ctx)
	tiers, tiersMatch := g.tiersCondition(ctx)
	return []wire.Condition{sharding, tiers}, shardingMatches && tiersMatch
}

// shardingCondition returns the condition that the sharding is unchanged, and whether it matches the
// settings. If it does not, it reshards the state if that is possible.
func (g *SettingsGate) shardingCondition(ctx context.Context) (wire.Condition, bool) {
	view := g.State.View
	if !view.Loaded() {
		return wire.Condition{}, false
	}
	rec, want := view.Sharding(), g.Sharding.String()
	cond := wire.Condition{Key: store.ShardingKey, Version: rec.Version}
	if rec.Record.Text == want {
		g.sharding.clear()
		return cond, true
	}
	if format := view.Format(); format.Format < store.Format || format.Import != "" {
		return cond, false
	}
	if err := g.reshard(ctx); err != nil {
		g.sharding.report(ctx, g.Log, err, "setting", "sharding", "state", describeSharding(rec.Record.Text), "settings", describeSharding(want),
			"see", "docs/sharding.md, To change the sharding")
	}
	return cond, false
}

// tiersCondition returns the condition that the tiers are unchanged, and whether they match the
// settings. If they do not, it writes those of the settings if that is possible.
func (g *SettingsGate) tiersCondition(ctx context.Context) (wire.Condition, bool) {
	view := g.State.View
	rec, counter := view.Tiers(), view.FencingToken()
	cond := wire.Condition{Key: store.TiersKey, Version: rec.Version}
	if !view.Loaded() || rec.Record.Digest == g.TiersDigest {
		g.tiers.clear()
		return cond, view.Loaded()
	}
	if err := g.writeTiers(ctx, cond, counter); err != nil {
		g.tiers.report(ctx, g.Log, err, "setting", "tiers", "state", describeTiers(rec.Record.Digest), "settings", describeTiers(g.TiersDigest),
			"see", "docs/tiers.md, To change the tiers")
	}
	return cond, false
}

// checkChangeable returns an error if the settings cannot be applied to the state yet, because a shard
// is led or because the settings of a live peer differ or are unknown. Peers do not matter as long as
// nothing was ever launched.
func (g *SettingsGate) checkChangeable() error {
	led, used := g.State.View.ShardsWithLeader()
	switch peer, known := g.Mismatch(); {
	case !used && len(led) == 0: // nothing was ever launched
	case peer != "" && known:
		return fmt.Errorf("controller %s has other settings", peer)
	case peer != "":
		return fmt.Errorf("controller %s %w", peer, errSettingsUnknown)
	}
	if len(led) > 0 {
		return fmt.Errorf("%w: %s", reshard.ErrShardHasLeader, strings.Join(led, ", "))
	}
	return nil
}

// reshard applies the sharding of the settings to the state, or returns why that is not possible.
func (g *SettingsGate) reshard(ctx context.Context) error {
	if err := g.checkChangeable(); err != nil {
		return err
	}
	if err := g.State.Follow.Barrier(ctx); err != nil {
		return fmt.Errorf("read the state before resharding: %w", err)
	}
	state := g.State.View.ShardingState()
	if state.Sharding.Record.Text == g.Sharding.String() {
		return nil // another controller did it
	}
	txn, err := reshard.Transaction(&state, g.Sharding, func(job string) (store.TaskDemand, bool) {
		rec, _ := g.State.View.Job(job)
		return rec.TaskDemand()
	})
	if err != nil {
		return fmt.Errorf("reshard the state: %w", err)
	}
	_, err = g.State.Client.Txn(ctx, txn)
	g.Log.Info("state resharded", "before", describeSharding(state.Sharding.Record.Text), "after", describeSharding(g.Sharding.String()),
		"generation", state.Sharding.Record.Generation+1, "ledgers", state.LedgerNames, "err", err)
	_ = g.State.Follow.Barrier(ctx) // the next step must see it
	return nil
}

// writeTiers writes the tiers of the settings, or returns why that is not possible. The condition that
// no shard is led can become true again later, and covers only the shards of this sharding. The
// transaction is therefore also conditional on the fencing token counter, read before the peers'
// settings were checked, so that a delayed copy is rejected once any shard has been won.
func (g *SettingsGate) writeTiers(ctx context.Context, cond wire.Condition, counter store.Versioned[uint64]) error {
	if err := g.checkChangeable(); err != nil {
		return err
	}
	txn := wire.Txn{
		If:   []wire.Condition{cond, {Key: store.FencingTokenKey, Version: counter.Version}},
		Then: []wire.Operation{{Put: store.TiersKey, Value: store.TiersRecord{Digest: g.TiersDigest}}},
	}
	for _, shard := range g.Sharding.Shards() {
		txn.If = append(txn.If, wire.Condition{Key: store.LeaderKey(shard)})
	}
	_, err := g.State.Client.Txn(ctx, txn)
	g.Log.Info("tiers changed", "before", describeTiers(g.State.View.Tiers().Record.Digest), "after", describeTiers(g.TiersDigest), "err", err)
	_ = g.State.Follow.Barrier(ctx) // the next step must see it
	return nil
}

// mismatchLog logs why this controller does not campaign. It does not repeat a reason until the reason changes.
type mismatchLog struct{ last string }

func (r *mismatchLog) clear() { r.last = "" }

func (r *mismatchLog) report(ctx context.Context, log *slog.Logger, err error, attrs ...any) {
	if err.Error() == r.last {
		return
	}
	r.last = err.Error()
	level := slog.LevelError
	if errors.Is(err, errSettingsUnknown) {
		level = slog.LevelInfo // expected for a few seconds after a start
	}
	log.Log(ctx, level, "not campaigning: the state has other settings", append(attrs, "err", err)...)
}

func describeSharding(sharding string) string {
	if sharding == "" {
		return "one shard"
	}
	return "shards by " + sharding
}

func describeTiers(digest string) string { return cmp.Or(digest, "default") }
