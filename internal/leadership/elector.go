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

// Keeper runs a Claim: it renews the lease and claims every part that is free.
type Keeper struct {
	Claim  *Claim
	Group  *fleet.Grouping
	Tiers  string // how the tiers of work are set, in short
	Client *store.Client
	View   *store.View
	Follow *store.Follower
	Log    *slog.Logger
	// Ready says whether this controller is to claim a part that has been free for
	// so long.
	Ready func(part string, free time.Duration) bool
	// Changed is called when a claim may have been won or lost.
	Changed func()
	// Agreed names a controller that lives and is set to another grouping, or one that may
	// live and was not heard yet, if there is one.
	Agreed func() (other string, heard bool)

	kick    chan struct{}
	free    map[string]time.Time // parts that nobody holds, since when
	refused string               // why nothing is claimed, as it was last said
	untiers string               // and why for the tiers of work

	mu sync.Mutex
}

// Held tells the claim on a part, whether its lease surely lasts, and when the
// last renewal that succeeded was sent.
func (k *Keeper) Held(part string, now time.Time) (h Held, held, valid bool, confirmed time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, held = k.Claim.Held(part)
	return h, held, k.Claim.Valid(now), k.Claim.Confirmed()
}

// Run keeps the claim until the context ends; then it ends the lease, so that
// a sibling can take over at once.
func (k *Keeper) Run(ctx context.Context) error {
	ctx = store.For(ctx, store.Claims)
	kick := k.kicked()
	for ctx.Err() == nil {
		k.turn(ctx)
		k.mu.Lock()
		wait := time.Until(k.Claim.Due())
		k.mu.Unlock()
		if len(k.free) > 0 {
			wait = min(wait, 300*time.Millisecond)
		}
		t := time.NewTimer(max(wait, 100*time.Millisecond))
		select {
		case <-ctx.Done():
		case <-k.View.Changed():
		case <-kick:
		case <-t.C:
		}
		t.Stop()
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if lease := k.Claim.Lease(); lease != 0 {
		return k.Client.End(end, lease)
	}
	return nil
}

// Resign ends the lease, because another controller can serve better.
func (k *Keeper) Resign(ctx context.Context, why string) {
	k.mu.Lock()
	lease := k.Claim.Lease()
	k.Claim.Lost()
	k.mu.Unlock()
	k.Log.Warn("claim given up", "lease", lease, "why", why)
	k.Changed()
	if lease != 0 {
		_ = k.Client.End(ctx, lease)
	}
}

func (k *Keeper) turn(ctx context.Context) {
	now := time.Now()
	k.mu.Lock()
	lease := k.Claim.Lease()
	k.mu.Unlock()
	if lease == 0 {
		id, err := k.Client.Grant(ctx, k.Claim.TTL)
		if err != nil {
			store.Pause(ctx, 400*time.Millisecond)
			return
		}
		k.mu.Lock()
		k.Claim.Granted(id, now)
		k.mu.Unlock()
	}
	if !k.lasts(ctx) {
		return
	}
	k.release(ctx)
	group, ok := k.grouped(ctx)
	tiers, alike := k.tiered(ctx)
	// Claims that get no answer, one after the other, take longer than a lease: all that were taken
	// would go with it, and be made again, for ever.
	for parts := k.Group.Parts(); len(parts) > 0 && k.lasts(ctx); parts = parts[1:] {
		k.look(ctx, parts[0], ok && alike, group, tiers)
	}
}

// lasts renews the lease where that is due, and says whether it goes on.
func (k *Keeper) lasts(ctx context.Context) bool {
	now := time.Now()
	k.mu.Lock()
	lease, due, valid := k.Claim.Lease(), k.Claim.Due(), k.Claim.Valid(now)
	k.mu.Unlock()
	return lease != 0 && (now.Before(due) || k.renew(ctx, lease, now, valid))
}

// Leave gives a part back, once the duties for it have ended. The claim of it counts as
// lost from now on, and never comes back.
func (k *Keeper) Leave(part string) {
	kick := k.kicked()
	k.mu.Lock()
	k.Claim.Leave(part)
	k.mu.Unlock()
	select {
	case kick <- struct{}{}:
	default:
	}
}

func (k *Keeper) kicked() chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.kick == nil {
		k.kick = make(chan struct{}, 1)
	}
	return k.kick
}

// release makes the writes for parts that were given back, until each has an answer.
func (k *Keeper) release(ctx context.Context) {
	k.mu.Lock()
	releases := k.Claim.Releases()
	k.mu.Unlock()
	for part, txn := range releases {
		_, err := k.Client.Txn(ctx, txn)
		k.Log.Info("part given back", "part", part, "error", err)
		if berr := k.Follow.Barrier(ctx); berr != nil {
			return
		}
		rec, known := k.View.Part(part)
		k.mu.Lock()
		k.Claim.See(part, rec, known, k.View.Revision())
		k.mu.Unlock()
	}
}

// grouped gives the condition that the state is divided into parts as this controller is
// set to. Where it is divided otherwise nothing is claimed: two controllers would answer
// for one machine. Once nobody holds a part and all controllers that live are set alike, the
// state is divided anew.
func (k *Keeper) grouped(ctx context.Context) (wire.Condition, bool) {
	if !k.View.Loaded() {
		return wire.Condition{}, false
	}
	rec, want := k.View.Grouping(), k.Group.String()
	cond := wire.Condition{Key: store.GroupingKey, Version: rec.Version}
	if rec.Record.Text == want {
		k.refused = ""
		return cond, true
	}
	if form := k.View.Format(); form.Format < store.Format || form.Import != "" {
		return cond, false
	}
	if err := k.regroup(ctx); err != nil && err.Error() != k.refused {
		k.refused = err.Error()
		level := slog.LevelError
		if errors.Is(err, errUnheard) {
			level = slog.LevelInfo
		}
		k.Log.Log(ctx, level, "no part is claimed", "state", describe(rec.Record.Text), "settings", describe(want), "why", err, "do", "see docs/parts.md, To change the grouping")
	}
	return cond, false
}

// errUnheard means that it is not known yet how a sibling is set.
var errUnheard = errors.New("is yet to be heard")

// movable says why the state can't follow the settings yet: a part is held, or a controller that
// lives is set otherwise. Before anything was launched nobody need be asked.
func (k *Keeper) movable() error {
	held, used := k.View.Held()
	switch other, heard := k.Agreed(); {
	case !used && len(held) == 0: // nothing was ever launched
	case other != "" && heard:
		return fmt.Errorf("%s is set otherwise", other)
	case other != "":
		return fmt.Errorf("%s %w", other, errUnheard)
	}
	if len(held) > 0 {
		return fmt.Errorf("%w: %s", reshard.ErrHeld, strings.Join(held, ", "))
	}
	return nil
}

// regroup divides the state as this controller is set to, or says why not.
func (k *Keeper) regroup(ctx context.Context) error {
	if err := k.movable(); err != nil {
		return err
	}
	if err := k.Follow.Barrier(ctx); err != nil {
		return err
	}
	state := k.View.State()
	if state.Grouping.Record.Text == k.Group.String() {
		return nil // another was first
	}
	txn, err := reshard.Next(&state, k.Group, func(job string) (store.Takes, bool) {
		rec, _ := k.View.Job(job)
		return rec.TaskTakes()
	})
	if err != nil {
		return err
	}
	_, err = k.Client.Txn(ctx, txn)
	k.Log.Info("state divided anew", "before", describe(state.Grouping.Record.Text), "now", describe(k.Group.String()),
		"grouping", state.Grouping.Record.Number+1, "ledgers", state.Ledgers, "error", err)
	_ = k.Follow.Barrier(ctx)
	return nil
}

// tiered gives the condition that the tiers of work are set in the state as they are here.
// Where they are set otherwise nothing is claimed: one holder would take what the next
// guarantees. Once nobody holds a part and all that live are set alike, the state follows.
func (k *Keeper) tiered(ctx context.Context) (wire.Condition, bool) {
	rec, counter := k.View.Tiers(), k.View.Term()
	cond := wire.Condition{Key: store.TiersKey, Version: rec.Version}
	if !k.View.Loaded() || rec.Record.Digest == k.Tiers {
		k.untiers = ""
		return cond, k.View.Loaded()
	}
	if err := k.retier(ctx, cond, counter); err != nil && err.Error() != k.untiers {
		k.untiers = err.Error()
		level := slog.LevelError
		if errors.Is(err, errUnheard) {
			level = slog.LevelInfo
		}
		k.Log.Log(ctx, level, "no part is claimed", "tiers in the state", cmp.Or(rec.Record.Digest, "default"), "in the settings", cmp.Or(k.Tiers, "default"),
			"why", err, "do", "see docs/tiers.md, To change the tiers")
	}
	return cond, false
}

// retier writes how the tiers are set here, or says why not. That no part is held is a condition
// that comes true again and again, and holds for the parts of this grouping alone: the counter
// of terms, read before anyone was asked, refuses a copy that comes after another claim.
func (k *Keeper) retier(ctx context.Context, cond wire.Condition, counter store.Versioned[uint64]) error {
	if err := k.movable(); err != nil {
		return err
	}
	txn := wire.Txn{If: []wire.Condition{cond, {Key: store.TermKey, Version: counter.Version}}, Then: []wire.Change{{Put: store.TiersKey, Value: store.TiersRecord{Digest: k.Tiers}}}}
	for _, part := range k.Group.Parts() {
		txn.If = append(txn.If, wire.Condition{Key: store.PartKey(part)})
	}
	_, err := k.Client.Txn(ctx, txn)
	k.Log.Info("tiers set anew", "before", cmp.Or(k.View.Tiers().Record.Digest, "default"), "now", cmp.Or(k.Tiers, "default"), "error", err)
	_ = k.Follow.Barrier(ctx)
	return nil
}

func describe(grouping string) string {
	if grouping == "" {
		return "one part"
	}
	return "parts by " + grouping
}

func (k *Keeper) renew(ctx context.Context, lease uint64, now time.Time, valid bool) bool {
	err := k.Client.Renew(ctx, lease)
	switch {
	case err == nil:
		k.mu.Lock()
		k.Claim.Renewed(now)
		k.mu.Unlock()
		if !valid {
			k.Changed()
		}
		return true
	case errors.Is(err, store.ErrNoLease):
		k.Log.Warn("lease has ended", "lease", lease)
		k.mu.Lock()
		k.Claim.Lost()
		k.mu.Unlock()
		k.Changed()
	default:
		k.Log.Info("renewal failed", "lease", lease, "error", err)
		store.Pause(ctx, 300*time.Millisecond)
	}
	return false
}

// look compares a part's record with what is held, and claims a free part.
func (k *Keeper) look(ctx context.Context, part string, alike bool, more ...wire.Condition) {
	if !k.View.Loaded() {
		return
	}
	revision := k.View.Revision()
	rec, known := k.View.Part(part)
	k.mu.Lock()
	before, _ := k.Claim.Held(part)
	old := k.Claim.See(part, rec, known, revision)
	after, held := k.Claim.Held(part)
	valid := k.Claim.Valid(time.Now())
	txn, term := k.Claim.Attempt(part, k.View.Term(), more...)
	k.mu.Unlock()
	if before != after {
		k.Changed()
	}
	if old != 0 {
		k.Log.Info("ending the lease of an earlier run of this controller", "lease", old, "part", part)
		_ = k.Client.End(ctx, old)
		_ = k.Follow.Barrier(ctx)
		return
	}
	if known || held {
		delete(k.free, part)
		return
	}
	if k.free == nil {
		k.free = make(map[string]time.Time)
	}
	if k.free[part].IsZero() {
		k.free[part] = time.Now()
	}
	if !valid || !alike || !k.Ready(part, time.Since(k.free[part])) {
		return
	}
	rev, err := k.Client.Txn(ctx, txn)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		k.mu.Lock()
		k.Claim.Won(part, term, rev)
		k.mu.Unlock()
		k.Log.Info("claim won", "part", part, "term", term, "revision", rev)
		k.Changed()
	case errors.As(err, &conflict):
		k.Log.Debug("claim lost to another", "part", part, "term", term)
	default:
		k.Log.Info("claim without an answer", "part", part, "term", term, "error", err)
		store.Pause(ctx, 200*time.Millisecond)
	}
	_ = k.Follow.Barrier(ctx) // win or not, the view must know before the next look
}
