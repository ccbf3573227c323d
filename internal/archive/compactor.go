package archive

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Store takes the writes of a Folder.
type Store interface {
	Txn(ctx context.Context, t wire.Txn) (uint64, error)
	// WaitForSpareWrites waits until n changes may be made without taking them from others.
	WaitForSpareWrites(ctx context.Context, n int) error
	WriteBurst() int
}

// Compactor moves jobs that are over out of their homes, first into recent blocks
// and from there into the history. It works for the holder of a part, in the
// background, and every write of it is conditional on the claim. Each write is
// whole: wherever it is broken off, every job is in one place or in two that
// agree, and the work begins anew from what is there.
type Compactor struct {
	Store    Store
	View     *store.View
	Follower interface {
		Barrier(ctx context.Context) error
	}
	Reader *Reader
	Limits Limits
	Log    *slog.Logger
	// Fence is the condition that the claim still stands.
	Fence wire.Condition
	// JobsWithTasks names the jobs that may still have a task somewhere.
	JobsWithTasks func() (jobs map[string]bool, ok bool)
	// DrainedThrough tells up to which revision no part but the own has a task of any job that
	// had ended by then; nil where there is no other part.
	DrainedThrough func() uint64
	// LeaseValid says whether the claim surely lasts.
	LeaseValid func() bool
	// Interval is the time between two looks at what there is to do, and Wait how
	// long a few homes wait for others to be folded with them.
	Interval, MaxWait time.Duration
	// MergeThreshold is how many recent blocks are filled before they are merged into
	// the history: each block of it is then written once for many jobs.
	MergeThreshold int

	waitingSince time.Time // since when homes wait

	mu    sync.Mutex
	stats CompactorStats
}

// errStale means that what a write was planned on has changed: it is planned anew.
var errStale = errors.New("planned on what has changed")

// Run folds until the context ends.
func (f *Compactor) Run(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeCompaction)
	for ctx.Err() == nil {
		more, err := f.Step(ctx)
		switch {
		case err != nil && !errors.Is(err, errStale) && ctx.Err() == nil:
			f.Log.Info("folding broken off", "error", err)
			store.Backoff(ctx, f.Interval)
		case err != nil || more:
			continue
		default:
			store.Backoff(ctx, f.Interval)
		}
	}
	return nil
}

// Step does one thing: it merges the recent blocks if enough are full, or moves
// some homes into one. It says whether there is more to do.
func (f *Compactor) Step(ctx context.Context) (more bool, err error) {
	if !f.LeaseValid() {
		return false, nil
	}
	if blocks := mergeCandidates(f.View.RecentBlocks(), f.Limits, f.MergeThreshold); blocks != nil && f.safeToArchive() {
		if more, err := f.merge(ctx, blocks); more || err != nil {
			return more, err
		}
	}
	return f.stage(ctx)
}

// upgradeQuietPeriod is for how long after an upgrade nothing goes into the history: what an
// older version had on its way does not stop at the gate, and may come minutes late.
const upgradeQuietPeriod = 15 * time.Minute

// safeToArchive reports whether all that may hold a live job is understood: a batch
// that is not may name a job that would else go into the history.
func (f *Compactor) safeToArchive() bool {
	key, _ := f.View.UnreadableRecordFor("")
	since := f.View.Format().Since
	return key == "" && (since == 0 || time.Since(time.UnixMilli(since)) > upgradeQuietPeriod)
}

// maxOps is how many changes one write may have: few enough that they are not felt.
func (f *Compactor) maxOps() int { return max(2, min(f.Limits.TxnOps, f.Store.WriteBurst()/2)) }

func (f *Compactor) stage(ctx context.Context) (more bool, err error) {
	lim := f.Limits
	lim.TxnOps = f.maxOps()
	maxBatches := lim.TxnOps - 1
	waiting := len(f.View.EndedBatches(maxBatches, func(*store.Batch) bool { return true }))
	now := time.Now()
	if waiting == 0 || f.waitingSince.IsZero() {
		f.waitingSince = now
	}
	if waiting == 0 || waiting < maxBatches && now.Sub(f.waitingSince) < f.MaxWait {
		return false, nil
	}
	// What is over now was launched before that if ever, so that the holder, asked after it, names it. Of
	// what is over later it could have been asked too early: between a launch and a cancellation.
	drainedThrough := f.View.Revision()
	withTasks, ok := f.JobsWithTasks()
	if !ok {
		return false, nil
	}
	if f.DrainedThrough != nil {
		drainedThrough = min(drainedThrough, f.DrainedThrough())
	}
	batches := f.View.EndedBatches(maxBatches, func(h *store.Batch) bool {
		if h.Version > drainedThrough {
			return false
		}
		for _, m := range h.Jobs {
			if withTasks[m.ID] {
				return false
			}
		}
		return true
	})
	txn, jobs, moved := planStage(batches, f.View.Job, f.View.RecentBlocks(), nil, lim)
	if moved == 0 {
		return false, nil // their tasks are still ending
	}
	if _, err := f.commit(ctx, txn); err != nil {
		return false, err
	}
	f.updateStats(func(c *CompactorStats) { c.Staged += uint64(jobs) })
	f.Log.Debug("jobs settled", "jobs", jobs, "homes", moved)
	f.waitingSince = time.Time{}
	return len(batches) == maxBatches, f.Follower.Barrier(ctx)
}

// commit makes a write under the fence. One without an answer is sent again: its
// conditions let one copy at most be applied.
func (f *Compactor) commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	txn.If = append(txn.If, f.Fence)
	for {
		if err := f.Store.WaitForSpareWrites(ctx, len(txn.Then)); err != nil {
			return 0, err
		}
		if !f.LeaseValid() {
			return 0, errStale
		}
		rev, err := f.Store.Txn(ctx, txn)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			f.updateStats(func(c *CompactorStats) { c.Writes++ })
			return rev, nil
		case errors.As(err, &conflict):
			f.updateStats(func(c *CompactorStats) { c.Refused++ })
			f.Log.Debug("fold refused", "failed", conflict.Failed)
			if err := f.Follower.Barrier(ctx); err != nil {
				return 0, err
			}
			return 0, errStale
		case !errors.Is(err, store.ErrUnknownOutcome) || ctx.Err() != nil:
			return 0, err
		}
		store.Backoff(ctx, f.Interval)
	}
}
