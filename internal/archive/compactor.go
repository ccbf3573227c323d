package archive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Store is the state service as a Compactor uses it.
type Store interface {
	Txn(ctx context.Context, t wire.Txn) (uint64, error)
	// WaitForSpareWrites waits, for a bounded time, until n changes leave part of the rate limit to
	// other writes.
	WaitForSpareWrites(ctx context.Context, n int) error
	// WriteBurst returns the number of changes that the rate limit admits at once.
	WriteBurst() int
}

// Compactor moves ended jobs from their batches into recent blocks, and from there into the
// archive. It runs in the background of a shard's leader, and each of its writes is conditional on
// the leader record. Each write leaves a consistent state: if compaction is interrupted at any
// point, every job is stored once, or twice with the same final stage, and the next run continues
// from the stored state.
type Compactor struct {
	Store    Store
	View     *store.View
	Follower interface {
		Barrier(ctx context.Context) error
	}
	Reader *Reader
	Limits Limits
	Log    *slog.Logger
	// Fence is the condition, added to each write, that the controller still leads the shard.
	Fence wire.Condition
	// JobsWithTasks returns the jobs that may still have a task on some machine; ok is false while
	// that is not known.
	JobsWithTasks func() (jobs map[string]bool, ok bool)
	// DrainedThrough returns a revision such that no other shard still has a task of any job that
	// had ended by that revision. It is nil if there is only one shard.
	DrainedThrough func() uint64
	// LeaseValid reports whether the leader's lease is certain to be valid still.
	LeaseValid func() bool
	// Interval is the time between two checks for compaction work, and the pause after a failed
	// step.
	Interval time.Duration
	// MaxWait is how long ended batches that do not fill a write wait for more batches before they
	// are staged.
	MaxWait time.Duration
	// MergeThreshold is how many recent blocks must be full before they are merged into the
	// archive. A higher value amortizes the write of each archive block over more jobs.
	MergeThreshold int

	waitingSince time.Time // start of the wait for enough ended batches to fill a write

	mu    sync.Mutex
	stats CompactorStats
}

// errStale means that the state or the leadership has changed since a write was planned. The step
// is planned again.
var errStale = errors.New("state changed since the write was planned")

// Run compacts until ctx is done.
func (c *Compactor) Run(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeCompaction)
	for ctx.Err() == nil {
		more, err := c.Step(ctx)
		switch {
		case err != nil && !errors.Is(err, errStale) && ctx.Err() == nil:
			c.Log.Info("compaction interrupted", "err", err)
			store.Backoff(ctx, c.Interval)
		case err != nil || more:
			continue
		default:
			store.Backoff(ctx, c.Interval)
		}
	}
	return nil
}

// Step merges the recent blocks into the archive if enough of them are full, and otherwise stages
// some ended batches. It reports whether there may be more to do.
func (c *Compactor) Step(ctx context.Context) (more bool, err error) {
	if !c.LeaseValid() {
		return false, nil
	}
	blocks := mergeCandidates(c.View.RecentBlocks(), c.Limits, c.MergeThreshold)
	if blocks != nil && c.safeToArchive() {
		more, err := c.merge(ctx, blocks)
		if err != nil {
			return more, fmt.Errorf("merge recent blocks into the archive: %w", err)
		}
		if more {
			return true, nil
		}
	}
	more, err = c.stage(ctx)
	if err != nil {
		return more, fmt.Errorf("stage ended jobs: %w", err)
	}
	return more, nil
}

// upgradeGracePeriod is how long after an upgrade no jobs are merged into the archive: a submission
// that an older version sent is not conditional on the submission fence, and may arrive minutes
// late.
const upgradeGracePeriod = 15 * time.Minute

// safeToArchive reports whether every record that may hold a live job is readable and the upgrade
// grace period is over. An unreadable batch may hold a job that would otherwise be merged into the
// archive.
func (c *Compactor) safeToArchive() bool {
	key, _ := c.View.UnreadableRecordFor("")
	since := c.View.Format().Since
	return key == "" && (since == 0 || time.Since(time.UnixMilli(since)) > upgradeGracePeriod)
}

// minTxnOps is the smallest useful limit for the operations of a transaction: put a block and
// delete a batch.
const minTxnOps = 2

// writeLimits returns the limits of one write. It has at most half a write burst of operations, but
// at least minTxnOps, so that compaction hardly delays other writes.
func (c *Compactor) writeLimits() Limits {
	return Limits{ValueBytes: c.Limits.ValueBytes, TxnOps: max(minTxnOps, min(c.Limits.TxnOps, c.Store.WriteBurst()/2))}
}

// stage moves the jobs of ended batches into a recent block. It reports whether there may be more
// batches to stage.
func (c *Compactor) stage(ctx context.Context) (more bool, err error) {
	limits := c.writeLimits()
	maxBatches := limits.TxnOps - 1 // the remaining operation puts the recent block
	if !c.worthStaging(maxBatches) {
		return false, nil
	}
	batches, ok := c.drainedBatches(maxBatches)
	if !ok {
		return false, nil
	}
	txn, size := planStage(batches, c.View.Job, c.View.RecentBlocks(), limits)
	if size.batches == 0 {
		return false, nil // the jobs may still have running tasks
	}
	if _, err := c.commit(ctx, txn); err != nil {
		return false, err
	}
	c.updateStats(func(s *CompactorStats) { s.Staged += uint64(size.jobs) })
	c.Log.Debug("staged ended jobs", "jobs", size.jobs, "batches", size.batches)
	c.waitingSince = time.Time{}
	return len(batches) == maxBatches, c.Follower.Barrier(ctx)
}

// worthStaging reports whether there are enough ended batches to fill a write, or some have waited
// for MaxWait.
func (c *Compactor) worthStaging(maxBatches int) bool {
	waiting := len(c.View.EndedBatches(maxBatches, func(*store.Batch) bool { return true }))
	now := time.Now()
	if waiting == 0 || c.waitingSince.IsZero() {
		c.waitingSince = now
	}
	return waiting > 0 && (waiting >= maxBatches || now.Sub(c.waitingSince) >= c.MaxWait)
}

// drainedBatches returns ended batches whose jobs can no longer have a task on any machine; ok is
// false while that is not known.
//
// The revision of the view is read before JobsWithTasks is called. A job that had ended by that
// revision was launched before the call, if at all, so the result includes it while it may have
// tasks. A job that ends later may be launched and cancelled after the call, so its batch is left
// for a later step.
func (c *Compactor) drainedBatches(maxBatches int) (batches []*store.Batch, ok bool) {
	drainedThrough := c.View.Revision()
	withTasks, ok := c.JobsWithTasks()
	if !ok {
		return nil, false
	}
	if c.DrainedThrough != nil {
		drainedThrough = min(drainedThrough, c.DrainedThrough())
	}
	return c.View.EndedBatches(maxBatches, func(b *store.Batch) bool {
		if b.Version > drainedThrough {
			return false
		}
		for _, job := range b.Jobs {
			if withTasks[job.ID] {
				return false
			}
		}
		return true
	}), true
}

// commit sends a transaction that is conditional on the fence, and returns the revision of the
// commit. A transaction without a response is sent again: its conditions allow at most one copy to
// be committed.
func (c *Compactor) commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	txn.If = append(txn.If, c.Fence)
	for {
		if err := c.Store.WaitForSpareWrites(ctx, len(txn.Then)); err != nil {
			return 0, err
		}
		if !c.LeaseValid() {
			return 0, errStale
		}
		rev, err := c.Store.Txn(ctx, txn)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			c.updateStats(func(s *CompactorStats) { s.Writes++ })
			return rev, nil
		case errors.As(err, &conflict):
			c.updateStats(func(s *CompactorStats) { s.Refused++ })
			c.Log.Debug("compaction write refused", "keys", conflict.Keys)
			if err := c.Follower.Barrier(ctx); err != nil {
				return 0, err
			}
			return 0, errStale
		case !errors.Is(err, store.ErrUnknownOutcome) || ctx.Err() != nil:
			return 0, err
		}
		store.Backoff(ctx, c.Interval)
	}
}
