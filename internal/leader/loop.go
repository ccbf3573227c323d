package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/cloud"
	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/worker"
)

// Dependencies are the clients by which a leader reaches the other systems.
type Dependencies struct {
	Store    *store.Client
	View     *store.View
	Follower *store.Follower
	Cloud    *cloud.Client
	Workers  *worker.Client
	// LeaseValid reports whether the leader's lease is surely valid.
	LeaseValid func() bool
	// OnFenced is called when the state service has refused a round because the shard has another
	// leader.
	OnFenced func()
}

// The time between two rounds. Heartbeats that come together share one write, and deciding takes no
// more than a fraction of the processor however long it takes.
const (
	minRoundInterval = 120 * time.Millisecond
	// restFactor is how many times as long as the decision took the leader rests after it.
	restFactor = 3
	// maxShardedInterval bounds the minimum for several shards, which share the changes a second.
	maxShardedInterval = 400 * time.Millisecond
	maxRoundInterval   = time.Second
	// overloadedInterval is the maximum where this process is late with all that it does.
	overloadedInterval = 3 * time.Second
	// minPause lets other goroutines run between two rounds, even where a round took all the time.
	minPause = 10 * time.Millisecond
)

const (
	// barrierRetry is the time between two attempts to read up to a write that was answered.
	barrierRetry = 200 * time.Millisecond
	// writeRetry is the time between two copies of a round that has no answer.
	writeRetry = 300 * time.Millisecond
)

// Run does what a leader has to do until the context ends. It owns all goroutines that it starts.
func (l *Leader) Run(ctx context.Context, deps Dependencies) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.roundLoop(ctx, deps) })
	g.Go(func() error { return l.loop.throttle.Run(ctx) })
	g.Go(func() error { return l.callLoop(ctx, deps) })
	g.Go(func() error { return l.watchMachineList(ctx, deps) })
	g.Go(func() error { return l.scaleOutLoop(ctx, deps) })
	g.Go(func() error { return l.scaleInLoop(ctx, deps) })
	if !l.sharding.IsSingle() {
		g.Go(func() error { return l.runGrants(ctx, deps) })
	}
	return g.Wait()
}

// roundLoop decides and commits rounds, while the lease is valid.
func (l *Leader) roundLoop(ctx context.Context, deps Dependencies) error {
	ctx = store.WithPurpose(ctx, store.PurposeRounds)
	least := min(minRoundInterval*time.Duration(len(l.sharding.Shards())), maxShardedInterval)
	for ctx.Err() == nil {
		begun := time.Now()
		changed := deps.View.Changed()
		gap := least
		if deps.LeaseValid() {
			d := l.Decide(begun, deps.View.Snapshot())
			gap = min(max(gap, restFactor*time.Since(begun)), l.maxRest())
			if d != nil {
				l.commitRound(ctx, deps, d)
			}
			l.loop.wakeCalls()
		}
		store.Backoff(ctx, max(gap-time.Since(begun), minPause))
		t := time.NewTimer(l.cfg.Tuning.RoundWindow / 2)
		select {
		case <-ctx.Done():
		case <-l.loop.round:
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// maxRest bounds the rest between two rounds.
func (l *Leader) maxRest() time.Duration {
	if l.loop.throttle.Overloaded() {
		return overloadedInterval
	}
	return maxRoundInterval
}

// commitRound writes a round. As long as its outcome is unknown the same transaction is repeated: the
// condition on the segment that it writes lets only one copy through, however late another is applied.
func (l *Leader) commitRound(ctx context.Context, deps Dependencies, d *Draft) {
	for ctx.Err() == nil {
		rev, err := deps.Store.Txn(ctx, d.Txn)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			l.Committed(d, rev)
			deps.View.ApplyOwnWrite(d.WrittenBatches(rev)...)
			return
		case errors.As(err, &conflict):
			l.handleConflict(ctx, deps, d, conflict)
			return
		default:
			l.log.Info("round without an answer", "number", d.Number, "err", err)
			l.roundUnwritten(time.Now(), d, stall.CauseUnanswered)
			store.Backoff(ctx, writeRetry)
		}
	}
}

// handleConflict finds out why a round was refused: because an earlier copy of it, which had no answer,
// was committed, because something that it rests on has changed, or because there is another leader.
func (l *Leader) handleConflict(ctx context.Context, deps Dependencies, d *Draft, conflict *store.ConflictError) {
	for deps.Follower.Barrier(ctx) != nil { // the write has its answer, and is not made again for it
		if store.Backoff(ctx, barrierRetry); ctx.Err() != nil {
			return
		}
	}
	segment := d.FirstSegment()
	if last, version := deps.View.Segment(segment); last.FencingToken == l.lease.FencingToken && last.Round == d.Number {
		l.Reconcile(time.Now(), deps.View.Snapshot()) // what was cancelled since is not launched
		l.Committed(d, version)
		return
	}
	l.log.Info("round refused", "number", d.Number, "failed", conflict.Failed)
	l.roundUnwritten(time.Now(), d, stall.CauseRefused)
	l.Discard(d)
	if slices.Contains(conflict.Failed, store.LeaderKey(l.lease.Shard)) || slices.Contains(conflict.Failed, segment) {
		deps.OnFenced()
	}
}

// reconcileInterval is how old the comparison of placements with jobs may get.
const reconcileInterval = time.Second

// reconcileDue reports whether the placements are to be compared with the jobs though no round is decided.
func (l *Leader) reconcileDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastReconciled) > reconcileInterval
}
