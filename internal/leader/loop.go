package leader

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/cloud"
	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/worker"
)

// Dependencies is what a holder's duties reach the world by.
type Dependencies struct {
	Store    *store.Client
	View     *store.View
	Follower *store.Follower
	Cloud    *cloud.Client
	Workers  *worker.Client
	// LeaseValid says whether the claim surely lasts.
	LeaseValid func() bool
	// OnFenced is called when the store has refused a round because the claim
	// is gone.
	OnFenced func()
}

// The time between two rounds: reports that come together share one write, and
// deciding takes no more than a fraction of the processor however long it takes.
const (
	minRoundInterval   = 120 * time.Millisecond
	restFactor         = 3                      // times what the decision took
	maxShardedInterval = 400 * time.Millisecond // of several parts, that share the changes a second
	maxRoundInterval   = time.Second
	overloadedInterval = 3 * time.Second // where this process is late with all that it does
)

// Run does the holder's duties until the context ends.
func (h *Leader) Run(ctx context.Context, e Dependencies) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.roundLoop(ctx, e) })
	g.Go(func() error { return h.loop.throttle.Run(ctx) })
	g.Go(func() error { return h.callLoop(ctx, e) })
	g.Go(func() error { return h.watchMachineList(ctx, e) })
	g.Go(func() error { return h.scaleOutLoop(ctx, e) })
	g.Go(func() error { return h.scaleInLoop(ctx, e) })
	if !h.sharding.IsSingle() {
		g.Go(func() error { return h.runGrants(ctx, e) })
	}
	return g.Wait()
}

func (h *Leader) roundLoop(ctx context.Context, e Dependencies) error {
	ctx = store.WithPurpose(ctx, store.PurposeRounds)
	least := min(minRoundInterval*time.Duration(len(h.sharding.Shards())), maxShardedInterval)
	for ctx.Err() == nil {
		begun := time.Now()
		changed := e.View.Changed()
		gap := least
		if e.LeaseValid() {
			d := h.Decide(begun, e.View.Snapshot())
			gap = min(max(gap, restFactor*time.Since(begun)), h.maxRest())
			if d != nil {
				h.commitRound(ctx, e, d)
			}
			h.loop.wakeCalls()
		}
		store.Backoff(ctx, max(gap-time.Since(begun), 10*time.Millisecond))
		t := time.NewTimer(h.cfg.Tuning.RoundWindow / 2)
		select {
		case <-ctx.Done():
		case <-h.loop.round:
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// maxRest bounds the rest between two rounds.
func (h *Leader) maxRest() time.Duration {
	if h.loop.throttle.Overloaded() {
		return overloadedInterval
	}
	return maxRoundInterval
}

// commitRound commits a round. As long as its fate is unknown the same transaction
// is repeated: the condition on the slot that it writes lets only one copy
// through, however late another is applied.
func (h *Leader) commitRound(ctx context.Context, e Dependencies, d *Draft) {
	for ctx.Err() == nil {
		rev, err := e.Store.Txn(ctx, d.Txn)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			h.Committed(d, rev)
			e.View.ApplyOwnWrite(d.WrittenBatches(rev)...)
			return
		case errors.As(err, &conflict):
			for e.Follower.Barrier(ctx) != nil { // the write has its answer, and is not made again for it
				if store.Backoff(ctx, 200*time.Millisecond); ctx.Err() != nil {
					return
				}
			}
			firstSlot := d.FirstSegment()
			if last, version := e.View.Segment(firstSlot); last.FencingToken == h.lease.FencingToken && last.Round == d.Number {
				h.Reconcile(time.Now(), e.View.Snapshot()) // what was cancelled since is not launched
				h.Committed(d, version)                    // a copy without an answer was taken
				return
			}
			h.log.Info("round refused", "number", d.Number, "failed", conflict.Failed)
			h.roundUnwritten(time.Now(), d, stall.CauseRefused)
			h.Discard(d)
			if failedOn(conflict.Failed, store.LeaderKey(h.lease.Shard)) || failedOn(conflict.Failed, firstSlot) {
				e.OnFenced()
			}
			return
		default:
			h.log.Info("round without an answer", "number", d.Number, "err", err)
			h.roundUnwritten(time.Now(), d, stall.CauseUnanswered)
			store.Backoff(ctx, 300*time.Millisecond)
		}
	}
}

// reconcileInterval is how old the comparison of placements with jobs may get.
const reconcileInterval = time.Second

func (h *Leader) reconcileDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastReconciled) > reconcileInterval
}
