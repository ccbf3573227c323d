package archive

import (
	"context"
	"errors"
	"slices"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// merge moves the jobs of recent blocks into the archive. It first advances the submission fence: a
// submission of one of these jobs that is still in flight was sent before that, so either the state
// service rejects it from then on, or it was accepted and is in the view. merge reports whether it
// changed anything.
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

// archivableEntries returns the sorted jobs of recent blocks that may be merged into the archive.
// keep has the ids of the others, which must stay because a batch still holds them: the recent
// block may be the only record that they have ended.
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

// advanceSubmissionFence increments the generation of the submission fence, so that the state
// service rejects all submissions in flight.
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
	return c.Follower.Barrier(ctx) // brings every submission that was accepted before into the view
}

// archiveEntries merges sorted entries into the blocks of the archive. It returns the ids of
// entries whose block can't be read; such a block is not overwritten.
func (c *Compactor) archiveEntries(ctx context.Context, entries []jobblock.Entry) (blocked []string, err error) {
	w := blockWriter{compactor: c, limits: c.writeLimits()}
	for len(entries) > 0 {
		consumed, err := w.add(ctx, entries)
		if err != nil {
			return nil, err
		}
		entries = entries[consumed:]
	}
	return w.blocked, w.flush(ctx)
}

// blockWriter collects changed archive blocks and writes them in transactions that are as large as
// the limits allow.
type blockWriter struct {
	compactor *Compactor
	limits    Limits
	pending   []*Block // merged but not yet written
	blocked   []string // ids of entries whose block can't be read
}

// add merges the leading entries that belong to one block, the block that covers the first of them,
// and returns their number.
func (w *blockWriter) add(ctx context.Context, entries []jobblock.Entry) (consumed int, err error) {
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
	if plan.partial { // the next entries belong to one of these blocks
		return plan.covered, w.flush(ctx)
	}
	return plan.covered, nil
}

// fits reports whether blocks can be written in the same transaction as the pending ones.
func (w *blockWriter) fits(blocks []*Block) bool {
	return len(w.pending) == 0 || fitsTxn(slices.Concat(w.pending, blocks), w.limits)
}

// markBlocked records entries that can't be archived because their block can't be read.
func (w *blockWriter) markBlocked(entries []jobblock.Entry, err error) {
	w.compactor.Log.Error("archive block can't be read, jobs wait for it", "jobs", len(entries), "err", err)
	for _, e := range entries {
		w.blocked = append(w.blocked, e.ID)
	}
}

// flush writes the pending blocks in one transaction.
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

// clearRecentBlocks removes from the recent blocks all jobs except those in keep; the others are in
// the archive.
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

// keptEntries returns the entries of a block whose ids are in keep.
func keptEntries(block *jobblock.Block, keep map[string]bool) (entries []jobblock.Entry) {
	for _, e := range block.Entries() {
		if keep[e.ID] {
			entries = append(entries, e)
		}
	}
	return entries
}
