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

// Dependencies are the clients and callbacks that a leader uses to reach other systems.
type Dependencies struct {
	Store    *store.Client
	View     *store.View
	Follower *store.Follower
	Cloud    *cloud.Client
	Workers  *worker.Client
	// LeaseValid reports whether the leader's lease is certain to be valid.
	LeaseValid func() bool
	// OnFenced is called when the state service refuses a round because the shard has another leader.
	OnFenced func()
	// OnResign is called when the leader can't go on leading its shard, see Leader.ResignReason.
	OnResign func()
}

// Limits on the interval between two rounds. The interval lets heartbeats that arrive close together share
// one write, and limits deciding to a fraction of the CPU time however long one decision takes.
const (
	minRoundInterval = 120 * time.Millisecond
	// intervalFactor is the minimum interval between rounds as a multiple of the time that the decision took.
	intervalFactor = 3
	// maxShardedInterval caps minRoundInterval times the number of shards. The minimum grows with the number
	// of shards because they share the state service's limit of changes per second.
	maxShardedInterval = 400 * time.Millisecond
	maxRoundInterval   = time.Second
	// overloadedInterval replaces maxRoundInterval while this process is overloaded.
	overloadedInterval = 3 * time.Second
	// minPause lets other goroutines run between two rounds, even if a round used up the whole interval.
	minPause = 10 * time.Millisecond
)

const (
	// barrierRetry is the time between two attempts to read the state up to a write that was answered.
	barrierRetry = 200 * time.Millisecond
	// writeRetry is the time before a round without an answer is sent again.
	writeRetry = 300 * time.Millisecond
)

// Run runs the leader's loops until the context ends, and waits for all goroutines that it starts.
func (l *Leader) Run(ctx context.Context, deps Dependencies) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return l.roundLoop(ctx, deps) })
	g.Go(func() error { return l.loop.callLimiter.Run(ctx) })
	g.Go(func() error { return l.callLoop(ctx, deps) })
	g.Go(func() error { return l.watchMachineList(ctx, deps) })
	g.Go(func() error { return l.scaleOutLoop(ctx, deps) })
	g.Go(func() error { return l.scaleInLoop(ctx, deps) })
	if !l.sharding.IsSingle() {
		g.Go(func() error { return l.runGrants(ctx, deps) })
	}
	return g.Wait()
}

// roundLoop decides and commits rounds while the lease is valid.
func (l *Leader) roundLoop(ctx context.Context, deps Dependencies) error {
	ctx = store.WithPurpose(ctx, store.PurposeRounds)
	minInterval := min(minRoundInterval*time.Duration(len(l.sharding.Shards())), maxShardedInterval)
	for ctx.Err() == nil {
		startedAt := time.Now()
		changed := deps.View.Changed()
		interval := minInterval
		if deps.LeaseValid() && l.ResignReason() == "" {
			d := l.Decide(startedAt, deps.View.Snapshot())
			interval = min(max(interval, intervalFactor*time.Since(startedAt)), l.maxInterval())
			if d != nil {
				l.commitRound(ctx, deps, d)
			}
			if l.ResignReason() != "" {
				deps.OnResign()
			}
			l.loop.wakeCalls()
		}
		store.Backoff(ctx, max(interval-time.Since(startedAt), minPause))
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

// maxInterval returns the upper bound of the interval between two rounds.
func (l *Leader) maxInterval() time.Duration {
	if l.loop.callLimiter.Overloaded() {
		return overloadedInterval
	}
	return maxRoundInterval
}

// commitRound writes a round. While the outcome is unknown, it resends the same transaction: the condition on
// the ledger segment that it writes lets only one copy succeed, however late another one is applied.
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
		case errors.Is(err, store.ErrMalformedTxn):
			l.resign("the state service calls a round malformed")
			return
		default:
			l.log.Info("round without an answer", "number", d.Number, "err", err)
			l.recordUnwrittenRound(time.Now(), d, stall.CauseUnanswered)
			store.Backoff(ctx, writeRetry)
		}
	}
}

// handleConflict determines why a round was refused: an earlier copy without an answer was committed, a
// precondition has changed, or there is another leader.
func (l *Leader) handleConflict(ctx context.Context, deps Dependencies, d *Draft, conflict *store.ConflictError) {
	for deps.Follower.Barrier(ctx) != nil { // the write was answered: only the read is retried
		if store.Backoff(ctx, barrierRetry); ctx.Err() != nil {
			return
		}
	}
	segment := d.FirstSegmentKey()
	if last, version := deps.View.Segment(segment); last.FencingToken == l.lease.FencingToken && last.Round == d.Number {
		l.Reconcile(time.Now(), deps.View.Snapshot()) // what was cancelled in the meantime is not launched
		l.Committed(d, version)
		return
	}
	l.log.Info("round refused", "number", d.Number, "failed", conflict.Keys)
	l.recordUnwrittenRound(time.Now(), d, stall.CauseRefused)
	l.Discard(d)
	if slices.Contains(conflict.Keys, store.LeaderKey(l.lease.Shard)) || slices.Contains(conflict.Keys, segment) {
		deps.OnFenced()
	}
}

// reconcileInterval is the maximum age of the last comparison of placements with jobs.
const reconcileInterval = time.Second

// reconcileDue reports whether placements must be compared with jobs without waiting for the next round.
func (l *Leader) reconcileDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.lastReconciledAt) > reconcileInterval
}
