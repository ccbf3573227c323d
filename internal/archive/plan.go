package archive

import (
	"slices"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Limits bounds what one write of a Folder may take.
type Limits struct {
	ValueBytes, TxnOps int
}

// txnBytes bounds the values of one write together.
const txnBytes = 48 << 10

// planStage plans to move the jobs of homes, all of them over, into a recent block:
// one put, and a drop for each home. It takes as many of the homes as fit, and
// leaves the blocks alone that are being merged or were not understood.
func planStage(batches []*store.Batch, lookup func(id string) (store.JobRecord, bool), recents []store.RecentBlock, merging map[int]bool, lim Limits) (txn wire.Txn, jobs, moved int) {
	index, entries, version := openRecentBlock(recents, merging, lim)
	var record jobblock.Record
	for _, h := range batches {
		next, over := slices.Clone(entries), true
		for _, m := range h.Jobs {
			rec, ok := lookup(m.ID)
			over = over && ok && rec.Stage.Final()
			next = append(next, jobblock.Entry{ID: m.ID, Stage: rec.Stage, Tasks: rec.Tasks})
		}
		if !over {
			continue // neither live nor over: a record that makes no sense stays, and holds nobody up
		}
		next, _ = jobblock.Sort(next)
		r := jobblock.Pack("", next)
		if !r.Fits(lim.ValueBytes) && moved > 0 || len(txn.Then)+2 > lim.TxnOps && moved > 0 {
			break
		}
		entries, record = next, r
		txn.If = append(txn.If, wire.Condition{Key: h.Key, Version: h.Version})
		txn.Then = append(txn.Then, wire.Operation{Delete: h.Key})
		jobs += len(h.Jobs)
		moved++
	}
	if moved == 0 {
		return wire.Txn{}, 0, 0
	}
	key := store.RecentKey(index)
	txn.If = append(txn.If, wire.Condition{Key: key, Version: version})
	txn.Then = append(txn.Then, wire.Operation{Put: key, Value: record})
	return txn, jobs, moved
}

// openRecentBlock picks the recent block that goes on growing: the fullest that has
// room for more, or else one that is empty or new.
func openRecentBlock(recents []store.RecentBlock, merging map[int]bool, lim Limits) (index int, entries []jobblock.Entry, version uint64) {
	best := store.RecentBlock{Index: -1}
	used := make(map[int]bool)
	for _, r := range recents {
		used[r.Index] = true
		if r.Block == nil || merging[r.Index] || isFull(r, lim) {
			continue
		}
		if best.Index < 0 || r.Bytes > best.Bytes {
			best = r
		}
	}
	if best.Index >= 0 {
		return best.Index, best.Block.Entries(), best.Version
	}
	for used[index] {
		index++
	}
	return index, nil, 0
}

// isFull reports whether a recent block takes no more: an eighth is left, which a
// large home may need.
func isFull(r store.RecentBlock, lim Limits) bool {
	return r.Bytes > lim.ValueBytes*7/8 || r.Block.Len() > jobblock.MaxJobs*7/8
}
