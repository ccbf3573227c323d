package leadership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"

	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

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
