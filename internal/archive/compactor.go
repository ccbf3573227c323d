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

// Store takes the writes of a Compactor.
type Store interface {
	Txn(ctx context.Context, t wire.Txn) (uint64, error)
	// WaitForSpareWrites waits until n changes may be made without taking them from others.
	WaitForSpareWrites(ctx context.Context, n int) error
	WriteBurst() int
}

// Compactor moves ended jobs out of their batches, first into recent blocks and from there
// into the archive. It works in the background for the leader of a shard, and each of its
// writes is conditional on the leader's record. Each write is complete in itself: wherever
// the work is interrupted, every job is in one place, or in two that agree, and the work
// starts again from what is there.
type Compactor struct {
	Store    Store
	View     *store.View
	Follower interface {
		Barrier(ctx context.Context) error
	}
	Reader *Reader
	Limits Limits
	Log    *slog.Logger
	// Fence is the condition that the controller still leads the shard.
	Fence wire.Condition
	// JobsWithTasks returns the jobs that may still have a task somewhere, if that is known.
	JobsWithTasks func() (jobs map[string]bool, ok bool)
	// DrainedThrough returns a revision such that no other shard has a task left of any job
	// that had ended by then; nil where there is no other shard.
	DrainedThrough func() uint64
	// LeaseValid reports whether the leader's lease is surely valid.
	LeaseValid func() bool
	// Interval is the time between two checks whether there is anything to do.
	Interval time.Duration
	// MaxWait is how long a few batches wait for others to be staged with them.
	MaxWait time.Duration
	// MergeThreshold is how many recent blocks are filled before they are merged into the
	// archive: each of its blocks is then written once for many jobs.
	MergeThreshold int

	waitingSince time.Time // since when ended batches wait

	mu    sync.Mutex
	stats CompactorStats
}

// errStale means that what a write was planned on has changed: it is planned again.
var errStale = errors.New("planned on what has changed")

// Run compacts until the context ends.
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

// Step makes one step: it merges the recent blocks if enough of them are full, or stages
// some batches. It reports whether there is more to do.
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

// upgradeGracePeriod is how long after an upgrade nothing goes into the archive: a submission
// that an older version has sent does not respect the submission fence, and may arrive
// minutes late.
const upgradeGracePeriod = 15 * time.Minute

// safeToArchive reports whether every record that may hold a live job is readable: an
// unreadable batch may hold a job that would otherwise go into the archive.
func (c *Compactor) safeToArchive() bool {
	key, _ := c.View.UnreadableRecordFor("")
	since := c.View.Format().Since
	return key == "" && (since == 0 || time.Since(time.UnixMilli(since)) > upgradeGracePeriod)
}

// minTxnOps is what every write must be able to do: put a block and delete a batch.
const minTxnOps = 2

// writeLimits are the limits of one write, which has only as many changes as others do not notice.
func (c *Compactor) writeLimits() Limits {
	return Limits{ValueBytes: c.Limits.ValueBytes, TxnOps: max(minTxnOps, min(c.Limits.TxnOps, c.Store.WriteBurst()/2))}
}

// stage moves the jobs of ended batches into a recent block.
func (c *Compactor) stage(ctx context.Context) (more bool, err error) {
	lim := c.writeLimits()
	maxBatches := lim.TxnOps - 1 // and one change for the recent block
	if !c.worthStaging(maxBatches) {
		return false, nil
	}
	batches, ok := c.drainedBatches(maxBatches)
	if !ok {
		return false, nil
	}
	txn, size := planStage(batches, c.View.Job, c.View.RecentBlocks(), lim)
	if size.batches == 0 {
		return false, nil // tasks of the jobs may still be running
	}
	if _, err := c.commit(ctx, txn); err != nil {
		return false, err
	}
	c.updateStats(func(s *CompactorStats) { s.Staged += uint64(size.jobs) })
	c.Log.Debug("staged ended jobs", "jobs", size.jobs, "batches", size.batches)
	c.waitingSince = time.Time{}
	return len(batches) == maxBatches, c.Follower.Barrier(ctx)
}

// worthStaging reports whether enough batches have ended for a write, or some long ago.
func (c *Compactor) worthStaging(maxBatches int) bool {
	waiting := len(c.View.EndedBatches(maxBatches, func(*store.Batch) bool { return true }))
	now := time.Now()
	if waiting == 0 || c.waitingSince.IsZero() {
		c.waitingSince = now
	}
	return waiting > 0 && (waiting >= maxBatches || now.Sub(c.waitingSince) >= c.MaxWait)
}

// drainedBatches returns ended batches of which no task can be anywhere; ok is false while
// that is not known.
//
// The view's revision is read before the leader is asked for the jobs that may have tasks:
// a job that has ended by that revision was launched before the question, if ever, so that
// the answer names it. For one that ends later the question could come too early, between
// its launch and its cancellation.
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

// commit makes a write under the fence. One without an answer is sent again: its conditions
// let at most one copy be applied.
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
			c.Log.Debug("compaction write refused", "keys", conflict.Failed)
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
