package archive

import (
	"slices"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Limits bounds one write of a Compactor.
type Limits struct {
	ValueBytes, TxnOps int
}

// maxTxnBytes bounds the values of one write together.
const maxTxnBytes = 48 << 10

// stageSize is how much a write moves into a recent block.
type stageSize struct{ jobs, batches int }

// planStage returns the write that moves jobs of ended batches into a recent block: the put
// of the block, and the deletion of each batch whose jobs are in it, of as many as fit.
// Blocks that can't be read are left alone.
func planStage(batches []*store.Batch, lookup func(id string) (store.JobRecord, bool), recents []store.RecentBlock, lim Limits) (txn wire.Txn, size stageSize) {
	target := selectRecentBlock(recents, lim)
	var record jobblock.Record
	for _, b := range batches {
		entries, ended := endedEntries(b, lookup)
		if !ended {
			continue // a record that makes no sense stays, and must not hold up the others
		}
		next, _ := jobblock.Sort(append(slices.Clone(target.entries), entries...))
		r := jobblock.Pack("", next)
		if size.batches > 0 && (!r.Fits(lim.ValueBytes) || len(txn.Then)+minTxnOps > lim.TxnOps) {
			break
		}
		target.entries, record = next, r
		txn.If = append(txn.If, wire.Condition{Key: b.Key, Version: b.Version})
		txn.Then = append(txn.Then, wire.Operation{Delete: b.Key})
		size.jobs += len(b.Jobs)
		size.batches++
	}
	if size.batches == 0 {
		return wire.Txn{}, size
	}
	key := store.RecentKey(target.index)
	txn.If = append(txn.If, wire.Condition{Key: key, Version: target.version})
	txn.Then = append(txn.Then, wire.Operation{Put: key, Value: record})
	return txn, size
}

// endedEntries returns the jobs of a batch, and whether all of them have ended.
func endedEntries(b *store.Batch, lookup func(id string) (store.JobRecord, bool)) (entries []jobblock.Entry, ended bool) {
	ended = true
	for _, job := range b.Jobs {
		rec, known := lookup(job.ID)
		ended = ended && known && rec.Stage.Final()
		entries = append(entries, jobblock.Entry{ID: job.ID, Stage: rec.Stage, Tasks: rec.Tasks})
	}
	return entries, ended
}

// stagingTarget is the recent block that jobs are moved into.
type stagingTarget struct {
	index   int
	version uint64
	entries []jobblock.Entry
}

// selectRecentBlock picks the fullest recent block that has room for more, or else a new one.
func selectRecentBlock(recents []store.RecentBlock, lim Limits) stagingTarget {
	best := store.RecentBlock{Index: -1}
	used := make(map[int]bool)
	for _, r := range recents {
		used[r.Index] = true
		if r.Block == nil || isFull(r, lim) {
			continue
		}
		if best.Index < 0 || r.Bytes > best.Bytes {
			best = r
		}
	}
	if best.Index >= 0 {
		return stagingTarget{best.Index, best.Version, best.Block.Entries()}
	}
	index := 0
	for used[index] {
		index++
	}
	return stagingTarget{index: index}
}

// isFull reports whether a recent block takes no more: an eighth is left for a large batch.
func isFull(r store.RecentBlock, lim Limits) bool {
	return r.Bytes > lim.ValueBytes*7/8 || r.Block.Len() > jobblock.MaxJobs*7/8
}

// mergeCandidates lists the recent blocks to merge, once as many as the threshold are full.
func mergeCandidates(recents []store.RecentBlock, lim Limits, threshold int) []store.RecentBlock {
	var out []store.RecentBlock
	full := 0
	for _, r := range recents {
		if r.Block == nil || r.Block.Len() == 0 {
			continue
		}
		out = append(out, r)
		if isFull(r, lim) {
			full++
		}
	}
	if full < threshold {
		return nil
	}
	return out
}

// mergePlan is what takes the place of one block of the archive.
type mergePlan struct {
	blocks      []*Block
	covered     int      // entries that the block covers
	conflicting []string // jobs whose final stage would change
}

// planMerge adds sorted entries to the block that covers the first of them. The plan of a
// block that can't be read says only how many entries it covers.
func planMerge(b *Block, entries []jobblock.Entry, lim Limits) (mergePlan, error) {
	var plan mergePlan
	for plan.covered < len(entries) && b.covers(jobblock.SortKey(entries[plan.covered].ID)) {
		plan.covered++
	}
	old, err := b.unpack()
	if err != nil {
		return plan, err
	}
	all, conflicting := jobblock.Sort(append(old.Entries(), entries[:plan.covered]...))
	plan.conflicting = conflicting
	records := jobblock.Split(b.From, all, lim.ValueBytes)
	for i, r := range records {
		part := &Block{To: b.To, From: r.From, Record: r}
		if i+1 < len(records) {
			part.To = records[i+1].From
		} else {
			part.Version = b.Version // the last part keeps the block's key
		}
		plan.blocks = append(plan.blocks, part)
	}
	return plan, nil
}

// mergeTxn returns the transaction that puts blocks.
func mergeTxn(blocks []*Block) (txn wire.Txn) {
	for _, b := range blocks {
		key := store.ArchivePrefix + b.To
		txn.If = append(txn.If, wire.Condition{Key: key, Version: b.Version})
		txn.Then = append(txn.Then, wire.Operation{Put: key, Value: b.Record})
	}
	return txn
}

// blockOverheadBytes bounds what a block takes in a transaction beside its record.
const blockOverheadBytes = 60

// encodedBytes bounds what blocks take in a transaction.
func encodedBytes(blocks []*Block) int {
	n := 0
	for _, b := range blocks {
		n += b.Record.Bytes() + blockOverheadBytes
	}
	return n
}
