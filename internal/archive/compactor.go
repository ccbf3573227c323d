package archive

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Store takes the writes of a Folder.
type Store interface {
	Txn(ctx context.Context, t wire.Txn) (uint64, error)
	// Spare waits until n changes may be made without taking them from others.
	Spare(ctx context.Context, n int) error
	Burst() int
}

// Folder moves jobs that are over out of their homes, first into recent blocks
// and from there into the history. It works for the holder of a part, in the
// background, and every write of it is conditional on the claim. Each write is
// whole: wherever it is broken off, every job is in one place or in two that
// agree, and the work begins anew from what is there.
type Folder struct {
	Store  Store
	View   *store.View
	Follow interface {
		Barrier(ctx context.Context) error
	}
	Reader *Reader
	Limits Limits
	Log    *slog.Logger
	// Fence is the condition that the claim still stands.
	Fence wire.Condition
	// Ending names the jobs that may still have a task somewhere.
	Ending func() (jobs map[string]bool, ok bool)
	// Clear tells up to which revision no part but the own has a task of any job that
	// had ended by then; nil where there is no other part.
	Clear func() uint64
	// Valid says whether the claim surely lasts.
	Valid func() bool
	// Every is the time between two looks at what there is to do, and Wait how
	// long a few homes wait for others to be folded with them.
	Every, Wait time.Duration
	// MergeAt is how many recent blocks are filled before they are merged into
	// the history: each block of it is then written once for many jobs.
	MergeAt int

	waiting time.Time // since when homes wait

	mu     sync.Mutex
	counts FoldCounts
}

// FoldCounts tells what a Folder has done.
type FoldCounts struct {
	Settled, Merged, Writes, Moved, Refused uint64
	Stuck                                   int // jobs that a block which can't be read holds up
	Differ                                  uint64
}

// Counts gives the counts.
func (f *Folder) Counts() FoldCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func (f *Folder) count(add func(*FoldCounts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(&f.counts)
}

// errStale means that what a write was planned on has changed: it is planned anew.
var errStale = errors.New("planned on what has changed")

// Run folds until the context ends.
func (f *Folder) Run(ctx context.Context) error {
	ctx = store.For(ctx, store.Folding)
	for ctx.Err() == nil {
		more, err := f.Step(ctx)
		switch {
		case err != nil && !errors.Is(err, errStale) && ctx.Err() == nil:
			f.Log.Info("folding broken off", "error", err)
			store.Pause(ctx, f.Every)
		case err != nil || more:
			continue
		default:
			store.Pause(ctx, f.Every)
		}
	}
	return nil
}

// Step does one thing: it merges the recent blocks if enough are full, or moves
// some homes into one. It says whether there is more to do.
func (f *Folder) Step(ctx context.Context) (more bool, err error) {
	if !f.Valid() {
		return false, nil
	}
	if blocks := ripe(f.View.Recents(), f.Limits, f.MergeAt); blocks != nil && f.certain() {
		if more, err := f.merge(ctx, blocks); more || err != nil {
			return more, err
		}
	}
	return f.settle(ctx)
}

// quiet is for how long after an upgrade nothing goes into the history: what an
// older version had on its way does not stop at the gate, and may come minutes late.
const quiet = 15 * time.Minute

// certain reports whether all that may hold a live job is understood: a batch
// that is not may name a job that would else go into the history.
func (f *Folder) certain() bool {
	key, _ := f.View.Doubt("")
	since := f.View.Format().Since
	return key == "" && (since == 0 || time.Since(time.UnixMilli(since)) > quiet)
}

// ops is how many changes one write may have: few enough that they are not felt.
func (f *Folder) ops() int { return max(2, min(f.Limits.TxnOps, f.Store.Burst()/2)) }

func (f *Folder) settle(ctx context.Context) (more bool, err error) {
	lim := f.Limits
	lim.TxnOps = f.ops()
	most := lim.TxnOps - 1
	waiting := len(f.View.Over(most, func(*store.Home) bool { return true }))
	now := time.Now()
	if waiting == 0 || f.waiting.IsZero() {
		f.waiting = now
	}
	if waiting == 0 || waiting < most && now.Sub(f.waiting) < f.Wait {
		return false, nil
	}
	// What is over now was launched before that if ever, so that the holder, asked after it, names it. Of
	// what is over later it could have been asked too early: between a launch and a cancellation.
	clear := f.View.Revision()
	ending, ok := f.Ending()
	if !ok {
		return false, nil
	}
	if f.Clear != nil {
		clear = min(clear, f.Clear())
	}
	homes := f.View.Over(most, func(h *store.Home) bool {
		if h.Version > clear {
			return false
		}
		for _, m := range h.Jobs {
			if ending[m.ID] {
				return false
			}
		}
		return true
	})
	txn, jobs, taken := settle(homes, f.View.Job, f.View.Recents(), nil, lim)
	if taken == 0 {
		return false, nil // their tasks are still ending
	}
	if _, err := f.commit(ctx, txn); err != nil {
		return false, err
	}
	f.count(func(c *FoldCounts) { c.Settled += uint64(jobs) })
	f.Log.Debug("jobs settled", "jobs", jobs, "homes", taken)
	f.waiting = time.Time{}
	return len(homes) == most, f.Follow.Barrier(ctx)
}

// merge moves the jobs of recent blocks into the history. The gate moves first:
// a submission of one of them that is still on its way was sent before, and is
// refused from then on, or was taken and shows in the view.
func (f *Folder) merge(ctx context.Context, blocks []store.Recent) (more bool, err error) {
	gate := f.View.Gate()
	for _, r := range blocks {
		if r.Version >= gate.Version {
			return true, f.moveGate(ctx, gate)
		}
	}
	var entries []jobblock.Entry
	keep := make(map[string]bool) // a home still names them: it may be all that is known of them
	for _, r := range blocks {
		for _, e := range r.Block.Entries() {
			if f.View.Settled(e.ID) {
				entries = append(entries, e)
			} else {
				keep[e.ID] = true
			}
		}
	}
	entries, _ = jobblock.Sort(entries)
	stuck, err := f.add(ctx, entries)
	if err != nil {
		return false, err
	}
	f.count(func(c *FoldCounts) { c.Stuck = len(stuck); c.Merged += uint64(len(entries) - len(stuck)) })
	for _, id := range stuck {
		keep[id] = true
	}
	if len(stuck) == len(entries) {
		return false, nil // nothing has moved
	}
	return true, f.clear(ctx, blocks, keep)
}

// moveGate refuses all submissions that are on their way.
func (f *Folder) moveGate(ctx context.Context, gate store.Versioned[store.GateRecord]) error {
	_, err := f.commit(ctx, wire.Txn{If: []wire.Condition{{Key: store.GateKey, Version: gate.Version}},
		Then: []wire.Change{{Put: store.GateKey, Value: store.GateRecord{Moved: gate.Record.Moved + 1}}}})
	if err != nil {
		return err
	}
	f.count(func(c *FoldCounts) { c.Moved++ })
	return f.Follow.Barrier(ctx) // what was taken before shows from here on
}

// add puts sorted entries into the blocks of the history. Those of a block that
// can't be read are given back; nothing is written over it.
func (f *Folder) add(ctx context.Context, entries []jobblock.Entry) (stuck []string, err error) {
	lim := f.Limits
	lim.TxnOps = f.ops()
	var parts []*Block
	flush := func() error {
		if len(parts) == 0 {
			return nil
		}
		rev, err := f.commit(ctx, write(parts))
		if err == nil {
			f.Reader.wrote(parts, rev)
		}
		parts = nil
		return err
	}
	for len(entries) > 0 {
		b, err := f.Reader.cover(ctx, jobblock.Key(entries[0].ID))
		if err != nil && (errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnknown) || ctx.Err() != nil) {
			return nil, err
		}
		taken := 1
		if err == nil {
			var next []*Block
			var differ []string
			next, taken, differ, err = merge(b, entries, lim)
			for _, id := range differ {
				f.count(func(c *FoldCounts) { c.Differ++ })
				f.Log.Error("a final answer would change; the first stays", "job", id)
			}
			if len(parts) > 0 && (len(parts)+len(next) > lim.TxnOps || bytes(parts)+bytes(next) > txnBytes) {
				if err := flush(); err != nil {
					return nil, err
				}
			}
			parts = append(parts, next...)
		}
		if err != nil {
			f.Log.Error("block of the history can't be read, jobs wait for it", "jobs", taken, "error", err)
			for _, e := range entries[:taken] {
				stuck = append(stuck, e.ID)
			}
		}
		entries = entries[taken:]
	}
	return stuck, flush()
}

// clear empties recent blocks whose jobs are in the history, but for some.
func (f *Folder) clear(ctx context.Context, blocks []store.Recent, keep map[string]bool) error {
	for len(blocks) > 0 {
		n := min(len(blocks), f.ops(), max(1, txnBytes/f.Limits.ValueBytes))
		var txn wire.Txn
		for _, r := range blocks[:n] {
			var left []jobblock.Entry
			for _, e := range r.Block.Entries() {
				if keep[e.ID] {
					left = append(left, e)
				}
			}
			key := store.RecentKey(r.Slot)
			txn.If = append(txn.If, wire.Condition{Key: key, Version: r.Version})
			txn.Then = append(txn.Then, wire.Change{Put: key, Value: jobblock.Pack("", left)})
		}
		if _, err := f.commit(ctx, txn); err != nil {
			return err
		}
		blocks = blocks[n:]
	}
	return f.Follow.Barrier(ctx)
}

// commit makes a write under the fence. One without an answer is sent again: its
// conditions let one copy at most be applied.
func (f *Folder) commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	txn.If = append(txn.If, f.Fence)
	for {
		if err := f.Store.Spare(ctx, len(txn.Then)); err != nil {
			return 0, err
		}
		if !f.Valid() {
			return 0, errStale
		}
		rev, err := f.Store.Txn(ctx, txn)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			f.count(func(c *FoldCounts) { c.Writes++ })
			return rev, nil
		case errors.As(err, &conflict):
			f.count(func(c *FoldCounts) { c.Refused++ })
			f.Log.Debug("fold refused", "failed", conflict.Failed)
			if err := f.Follow.Barrier(ctx); err != nil {
				return 0, err
			}
			return 0, errStale
		case !errors.Is(err, store.ErrUnknown) || ctx.Err() != nil:
			return 0, err
		}
		store.Pause(ctx, f.Every)
	}
}
