package archive

import (
	"context"
	"errors"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// merge moves the jobs of recent blocks into the archive. The submission fence advances
// first: a submission of one of them that is still under way was sent before that, so that
// it is refused from then on, or was accepted and is in the view.
func (c *Compactor) merge(ctx context.Context, blocks []store.RecentBlock) (more bool, err error) {
	fence := c.View.SubmissionFence()
	for _, r := range blocks {
		if r.Version >= fence.Version {
			return true, c.advanceSubmissionFence(ctx, fence)
		}
	}
	entries, keep := c.archivableEntries(blocks)
	blocked, err := c.archiveEntries(ctx, entries)
	if err != nil {
		return false, err
	}
	c.updateStats(func(s *CompactorStats) {
		s.Blocked = len(blocked)
		s.Merged += uint64(len(entries) - len(blocked))
	})
	if len(blocked) == len(entries) {
		return false, nil // nothing has moved
	}
	for _, id := range blocked {
		keep[id] = true
	}
	return true, c.clearRecentBlocks(ctx, blocks, keep)
}

// archivableEntries returns, in order, the jobs of recent blocks that may go into the archive, and
// those that must be kept because a batch still holds them: the recent block may be the only
// record of their end.
func (c *Compactor) archivableEntries(blocks []store.RecentBlock) (entries []jobblock.Entry, keep map[string]bool) {
	keep = make(map[string]bool)
	for _, r := range blocks {
		for _, e := range r.Block.Entries() {
			if c.View.Compacted(e.ID) {
				entries = append(entries, e)
			} else {
				keep[e.ID] = true
			}
		}
	}
	entries, _ = jobblock.Sort(entries)
	return entries, keep
}

// advanceSubmissionFence refuses all submissions that are under way.
func (c *Compactor) advanceSubmissionFence(ctx context.Context, fence store.Versioned[store.SubmissionFenceRecord]) error {
	next := store.SubmissionFenceRecord{Generation: fence.Record.Generation + 1}
	_, err := c.commit(ctx, wire.Txn{
		If:   []wire.Condition{{Key: store.SubmissionFenceKey, Version: fence.Version}},
		Then: []wire.Operation{{Put: store.SubmissionFenceKey, Value: next}},
	})
	if err != nil {
		return err
	}
	c.updateStats(func(s *CompactorStats) { s.FenceAdvances++ })
	return c.Follower.Barrier(ctx) // what was accepted before is in the view after this
}

// archiveEntries puts sorted entries into the blocks of the archive, and returns the ids of
// those whose block can't be read; nothing is written over such a block.
func (c *Compactor) archiveEntries(ctx context.Context, entries []jobblock.Entry) (blocked []string, err error) {
	w := blockWriter{compactor: c, limits: c.writeLimits()}
	for len(entries) > 0 {
		taken, err := w.add(ctx, entries)
		if err != nil {
			return nil, err
		}
		entries = entries[taken:]
	}
	return w.blocked, w.flush(ctx)
}

// blockWriter collects blocks of the archive until a write is full.
type blockWriter struct {
	compactor *Compactor
	limits    Limits
	pending   []*Block // merged, not written yet
	blocked   []string // ids of entries whose block can't be read
}

// add merges as many of the entries as the block of the first one covers, and returns their number.
func (w *blockWriter) add(ctx context.Context, entries []jobblock.Entry) (taken int, err error) {
	b, err := w.compactor.Reader.blockFor(ctx, jobblock.SortKey(entries[0].ID))
	switch {
	case errors.Is(err, store.ErrRefused), errors.Is(err, store.ErrUnknownOutcome), err != nil && ctx.Err() != nil:
		return 0, err
	case err != nil:
		w.markBlocked(entries[:1], err)
		return 1, nil
	}
	plan, unreadable := planMerge(b, entries, w.limits)
	for _, id := range plan.conflicting {
		w.compactor.updateStats(func(s *CompactorStats) { s.Conflicting++ })
		w.compactor.Log.Error("final stage of a job would change, the first is kept", "job", id)
	}
	if !w.fits(plan.blocks) {
		if err := w.flush(ctx); err != nil {
			return 0, err
		}
	}
	w.pending = append(w.pending, plan.blocks...)
	if unreadable != nil {
		w.markBlocked(entries[:plan.covered], unreadable)
	}
	return plan.covered, nil
}

// fits reports whether blocks may go into the write with the pending ones.
func (w *blockWriter) fits(blocks []*Block) bool {
	return len(w.pending) == 0 ||
		len(w.pending)+len(blocks) <= w.limits.TxnOps && encodedBytes(w.pending)+encodedBytes(blocks) <= maxTxnBytes
}

// markBlocked notes entries that wait because their block can't be read.
func (w *blockWriter) markBlocked(entries []jobblock.Entry, err error) {
	w.compactor.Log.Error("archive block can't be read, jobs wait for it", "jobs", len(entries), "err", err)
	for _, e := range entries {
		w.blocked = append(w.blocked, e.ID)
	}
}

// flush writes the pending blocks.
func (w *blockWriter) flush(ctx context.Context) error {
	if len(w.pending) == 0 {
		return nil
	}
	rev, err := w.compactor.commit(ctx, mergeTxn(w.pending))
	if err == nil {
		w.compactor.Reader.cache.applyOwnWrite(w.pending, rev)
	}
	w.pending = nil
	return err
}

// clearRecentBlocks empties recent blocks whose jobs are in the archive, but for those to keep.
func (c *Compactor) clearRecentBlocks(ctx context.Context, blocks []store.RecentBlock, keep map[string]bool) error {
	for len(blocks) > 0 {
		n := min(len(blocks), c.writeLimits().TxnOps, max(1, maxTxnBytes/c.Limits.ValueBytes))
		var txn wire.Txn
		for _, r := range blocks[:n] {
			key := store.RecentKey(r.Index)
			txn.If = append(txn.If, wire.Condition{Key: key, Version: r.Version})
			txn.Then = append(txn.Then, wire.Operation{Put: key, Value: jobblock.Pack("", keptEntries(r.Block, keep))})
		}
		if _, err := c.commit(ctx, txn); err != nil {
			return err
		}
		blocks = blocks[n:]
	}
	return c.Follower.Barrier(ctx)
}

// keptEntries returns the entries of a block that are to be kept.
func keptEntries(block *jobblock.Block, keep map[string]bool) (entries []jobblock.Entry) {
	for _, e := range block.Entries() {
		if keep[e.ID] {
			entries = append(entries, e)
		}
	}
	return entries
}
