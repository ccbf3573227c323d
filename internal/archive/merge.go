package archive

import (
	"context"
	"errors"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// merge moves the jobs of recent blocks into the history. The gate moves first:
// a submission of one of them that is still on its way was sent before, and is
// refused from then on, or was taken and shows in the view.
func (f *Compactor) merge(ctx context.Context, blocks []store.RecentBlock) (more bool, err error) {
	fence := f.View.SubmissionFence()
	for _, r := range blocks {
		if r.Version >= fence.Version {
			return true, f.advanceSubmissionFence(ctx, fence)
		}
	}
	var entries []jobblock.Entry
	keep := make(map[string]bool) // a home still names them: it may be all that is known of them
	for _, r := range blocks {
		for _, e := range r.Block.Entries() {
			if f.View.Compacted(e.ID) {
				entries = append(entries, e)
			} else {
				keep[e.ID] = true
			}
		}
	}
	entries, _ = jobblock.Sort(entries)
	stuck, err := f.archiveEntries(ctx, entries)
	if err != nil {
		return false, err
	}
	f.updateStats(func(c *CompactorStats) { c.Blocked = len(stuck); c.Merged += uint64(len(entries) - len(stuck)) })
	for _, id := range stuck {
		keep[id] = true
	}
	if len(stuck) == len(entries) {
		return false, nil // nothing has moved
	}
	return true, f.clearRecent(ctx, blocks, keep)
}

// advanceSubmissionFence refuses all submissions that are on their way.
func (f *Compactor) advanceSubmissionFence(ctx context.Context, fence store.Versioned[store.SubmissionFenceRecord]) error {
	_, err := f.commit(ctx, wire.Txn{If: []wire.Condition{{Key: store.SubmissionFenceKey, Version: fence.Version}},
		Then: []wire.Operation{{Put: store.SubmissionFenceKey, Value: store.SubmissionFenceRecord{Generation: fence.Record.Generation + 1}}}})
	if err != nil {
		return err
	}
	f.updateStats(func(c *CompactorStats) { c.FenceAdvances++ })
	return f.Follower.Barrier(ctx) // what was taken before shows from here on
}

// archiveEntries puts sorted entries into the blocks of the history. Those of a block that
// can't be read are given back; nothing is written over it.
func (f *Compactor) archiveEntries(ctx context.Context, entries []jobblock.Entry) (blocked []string, err error) {
	lim := f.Limits
	lim.TxnOps = f.maxOps()
	var pending []*Block
	flush := func() error {
		if len(pending) == 0 {
			return nil
		}
		rev, err := f.commit(ctx, mergeTxn(pending))
		if err == nil {
			f.Reader.applyOwnWrite(pending, rev)
		}
		pending = nil
		return err
	}
	for len(entries) > 0 {
		b, err := f.Reader.blockFor(ctx, jobblock.SortKey(entries[0].ID))
		if err != nil && (errors.Is(err, store.ErrRefused) || errors.Is(err, store.ErrUnknownOutcome) || ctx.Err() != nil) {
			return nil, err
		}
		taken := 1
		if err == nil {
			var next []*Block
			var differ []string
			next, taken, differ, err = planMerge(b, entries, lim)
			for _, id := range differ {
				f.updateStats(func(c *CompactorStats) { c.Conflicting++ })
				f.Log.Error("a final answer would change; the first stays", "job", id)
			}
			if len(pending) > 0 && (len(pending)+len(next) > lim.TxnOps || encodedBytes(pending)+encodedBytes(next) > txnBytes) {
				if err := flush(); err != nil {
					return nil, err
				}
			}
			pending = append(pending, next...)
		}
		if err != nil {
			f.Log.Error("block of the history can't be read, jobs wait for it", "jobs", taken, "error", err)
			for _, e := range entries[:taken] {
				blocked = append(blocked, e.ID)
			}
		}
		entries = entries[taken:]
	}
	return blocked, flush()
}

// clearRecent empties recent blocks whose jobs are in the history, but for some.
func (f *Compactor) clearRecent(ctx context.Context, blocks []store.RecentBlock, keep map[string]bool) error {
	for len(blocks) > 0 {
		n := min(len(blocks), f.maxOps(), max(1, txnBytes/f.Limits.ValueBytes))
		var txn wire.Txn
		for _, r := range blocks[:n] {
			var left []jobblock.Entry
			for _, e := range r.Block.Entries() {
				if keep[e.ID] {
					left = append(left, e)
				}
			}
			key := store.RecentKey(r.Index)
			txn.If = append(txn.If, wire.Condition{Key: key, Version: r.Version})
			txn.Then = append(txn.Then, wire.Operation{Put: key, Value: jobblock.Pack("", left)})
		}
		if _, err := f.commit(ctx, txn); err != nil {
			return err
		}
		blocks = blocks[n:]
	}
	return f.Follower.Barrier(ctx)
}

// mergeCandidates lists the recent blocks to merge, once enough are full.
func mergeCandidates(recents []store.RecentBlock, lim Limits, threshold int) []store.RecentBlock {
	var out []store.RecentBlock
	n := 0
	for _, r := range recents {
		if r.Block == nil || r.Block.Len() == 0 {
			continue
		}
		if out = append(out, r); isFull(r, lim) {
			n++
		}
	}
	if n < threshold {
		return nil
	}
	return out
}

// planMerge plans to add sorted entries to the block that covers the first of them.
// It gives the blocks that take its place, and how many entries they took.
func planMerge(b *Block, entries []jobblock.Entry, lim Limits) (parts []*Block, taken int, differ []string, err error) {
	for taken < len(entries) && b.covers(jobblock.SortKey(entries[taken].ID)) {
		taken++
	}
	blk, err := b.unpack()
	if err != nil {
		return nil, taken, nil, err
	}
	all, differ := jobblock.Sort(append(blk.Entries(), entries[:taken]...))
	records := jobblock.Split(b.From, all, lim.ValueBytes)
	for i, r := range records {
		part := &Block{To: b.To, From: r.From, Record: r}
		if i+1 < len(records) {
			part.To = records[i+1].From
		} else {
			part.Version = b.Version
		}
		parts = append(parts, part)
	}
	return parts, taken, differ, nil
}

// mergeTxn gives the transaction that puts the parts of merged blocks.
func mergeTxn(parts []*Block) (txn wire.Txn) {
	for _, p := range parts {
		key := store.ArchivePrefix + p.To
		txn.If = append(txn.If, wire.Condition{Key: key, Version: p.Version})
		txn.Then = append(txn.Then, wire.Operation{Put: key, Value: p.Record})
	}
	return txn
}

// encodedBytes is what the parts take in a transaction.
func encodedBytes(parts []*Block) int {
	n := 0
	for _, p := range parts {
		n += p.Record.Bytes() + 60
	}
	return n
}
