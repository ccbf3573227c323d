package archive

import (
	"slices"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Limits bounds the bytes of a value and the operations of a transaction that a Compactor writes.
type Limits struct {
	ValueBytes, TxnOps int
}

// maxTxnBytes bounds the total size of the values in one transaction.
const maxTxnBytes = 48 << 10

// stageSize is the number of jobs and batches that a transaction moves into a recent block.
type stageSize struct{ jobs, batches int }

// planStage returns the transaction that moves the jobs of as many ended batches as fit into a
// recent block: it puts the block and deletes these batches. It does not change recent blocks that
// can't be read.
func planStage(batches []*store.Batch, lookup func(id string) (store.JobRecord, bool), recentBlocks []store.RecentBlock, limits Limits) (txn wire.Txn, size stageSize) {
	target := selectRecentBlock(recentBlocks, limits)
	var record jobblock.Record
	for _, b := range batches {
		entries, ended := endedEntries(b, lookup)
		if !ended {
			continue // an inconsistent record stays, and must not block the other batches
		}
		next, _ := jobblock.Sort(append(slices.Clone(target.entries), entries...))
		r := jobblock.Pack("", next)
		if size.batches > 0 && (!r.Fits(limits.ValueBytes) || len(txn.Then)+minTxnOps > limits.TxnOps) {
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

// endedEntries returns the jobs of a batch as entries, and whether all of them have ended.
func endedEntries(b *store.Batch, lookup func(id string) (store.JobRecord, bool)) (entries []jobblock.Entry, ended bool) {
	ended = true
	for _, job := range b.Jobs {
		rec, known := lookup(job.ID)
		ended = ended && known && rec.Stage.Final()
		entries = append(entries, jobblock.Entry{ID: job.ID, Stage: rec.Stage, Tasks: rec.Tasks})
	}
	return entries, ended
}

// stagingTarget is the recent block that jobs are moved into, with its current entries.
type stagingTarget struct {
	index   int
	version uint64
	entries []jobblock.Entry
}

// selectRecentBlock returns the largest recent block that is readable and not full, or a new one
// with the lowest unused index.
func selectRecentBlock(recentBlocks []store.RecentBlock, limits Limits) stagingTarget {
	best := store.RecentBlock{Index: -1}
	used := make(map[int]bool)
	for _, r := range recentBlocks {
		used[r.Index] = true
		if r.Block == nil || isFull(r, limits) {
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

// isFull reports whether a recent block takes no more jobs. The last eighth is reserved so that a
// large batch still fits.
func isFull(r store.RecentBlock, limits Limits) bool {
	return r.Bytes > limits.ValueBytes*7/8 || r.Block.Len() > jobblock.MaxJobs*7/8
}

// mergeCandidates returns the readable, non-empty recent blocks if at least threshold of them are
// full, and nil otherwise.
func mergeCandidates(recentBlocks []store.RecentBlock, limits Limits, threshold int) []store.RecentBlock {
	var out []store.RecentBlock
	full := 0
	for _, r := range recentBlocks {
		if r.Block == nil || r.Block.Len() == 0 {
			continue
		}
		out = append(out, r)
		if isFull(r, limits) {
			full++
		}
	}
	if full < threshold {
		return nil
	}
	return out
}

// mergePlan describes the blocks that replace one block of the archive.
type mergePlan struct {
	blocks      []*Block
	covered     int      // number of entries that the plan merges
	partial     bool     // the replaced block covers more entries, which do not fit in the same transaction
	conflicting []string // ids of jobs whose final stage would change
}

// planMerge adds the leading entries that block b covers to it, and splits it as the limits
// require. If the parts exceed a transaction, it adds fewer entries. The entries must be sorted, and b must cover the
// first of them. If b can't be read, the plan only has the number of covered entries.
func planMerge(b *Block, entries []jobblock.Entry, limits Limits) (mergePlan, error) {
	var plan mergePlan
	for plan.covered < len(entries) && b.covers(jobblock.SortKey(entries[plan.covered].ID)) {
		plan.covered++
	}
	old, err := b.unpack()
	if err != nil {
		return plan, err
	}
	for {
		all, conflicting := jobblock.Sort(append(old.Entries(), entries[:plan.covered]...))
		plan.blocks, plan.conflicting = b.split(all, limits), conflicting
		if plan.covered == 1 || fitsTxn(plan.blocks, limits) {
			return plan, nil
		}
		plan.covered, plan.partial = plan.covered/2, true
	}
}

// split returns the blocks that replace a block once it holds the given jobs.
func (b *Block) split(jobs []jobblock.Entry, limits Limits) (parts []*Block) {
	records := jobblock.Split(b.From, jobs, limits.ValueBytes)
	for i, r := range records {
		part := &Block{To: b.To, From: r.From, Record: r}
		if i+1 < len(records) {
			part.To = records[i+1].From
		} else {
			part.Version = b.Version // the last part keeps the block's key
		}
		parts = append(parts, part)
	}
	return parts
}

// fitsTxn reports whether blocks can be written in one transaction.
func fitsTxn(blocks []*Block, limits Limits) bool {
	return len(blocks) <= limits.TxnOps && encodedBytes(blocks) <= maxTxnBytes
}

// mergeTxn returns the transaction that puts the blocks, each on the condition that it is
// unchanged.
func mergeTxn(blocks []*Block) (txn wire.Txn) {
	for _, b := range blocks {
		key := store.ArchivePrefix + b.To
		txn.If = append(txn.If, wire.Condition{Key: key, Version: b.Version})
		txn.Then = append(txn.Then, wire.Operation{Put: key, Value: b.Record})
	}
	return txn
}

// blockOverheadBytes is an upper bound for the bytes of a block in a transaction beyond its record.
const blockOverheadBytes = 60

// encodedBytes returns an upper bound for the bytes of the blocks in a transaction.
func encodedBytes(blocks []*Block) int {
	n := 0
	for _, b := range blocks {
		n += b.Record.Bytes() + blockOverheadBytes
	}
	return n
}
