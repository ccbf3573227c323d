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

// settle plans to move the jobs of homes, all of them over, into a recent block:
// one put, and a drop for each home. It takes as many of the homes as fit, and
// leaves the blocks alone that are being merged or were not understood.
func settle(homes []*store.Home, final func(id string) (store.JobRecord, bool), recents []store.Recent, merging map[int]bool, lim Limits) (txn wire.Txn, jobs, taken int) {
	slot, entries, version := openSlot(recents, merging, lim)
	var record jobblock.Record
	for _, h := range homes {
		next, over := slices.Clone(entries), true
		for _, m := range h.Jobs {
			rec, ok := final(m.ID)
			over = over && ok && rec.Stage.Final()
			next = append(next, jobblock.Entry{ID: m.ID, Stage: rec.Stage, Tasks: rec.Tasks})
		}
		if !over {
			continue // neither live nor over: a record that makes no sense stays, and holds nobody up
		}
		next, _ = jobblock.Sort(next)
		r := jobblock.Pack("", next)
		if !r.Fits(lim.ValueBytes) && taken > 0 || len(txn.Then)+2 > lim.TxnOps && taken > 0 {
			break
		}
		entries, record = next, r
		txn.If = append(txn.If, wire.Condition{Key: h.Key, Version: h.Version})
		txn.Then = append(txn.Then, wire.Change{Delete: h.Key})
		jobs += len(h.Jobs)
		taken++
	}
	if taken == 0 {
		return wire.Txn{}, 0, 0
	}
	key := store.RecentKey(slot)
	txn.If = append(txn.If, wire.Condition{Key: key, Version: version})
	txn.Then = append(txn.Then, wire.Change{Put: key, Value: record})
	return txn, jobs, taken
}

// openSlot picks the recent block that goes on growing: the fullest that has
// room for more, or else one that is empty or new.
func openSlot(recents []store.Recent, merging map[int]bool, lim Limits) (slot int, entries []jobblock.Entry, version uint64) {
	best := store.Recent{Slot: -1}
	used := make(map[int]bool)
	for _, r := range recents {
		used[r.Slot] = true
		if r.Block == nil || merging[r.Slot] || full(r, lim) {
			continue
		}
		if best.Slot < 0 || r.Bytes > best.Bytes {
			best = r
		}
	}
	if best.Slot >= 0 {
		return best.Slot, best.Block.Entries(), best.Version
	}
	for used[slot] {
		slot++
	}
	return slot, nil, 0
}

// full reports whether a recent block takes no more: an eighth is left, which a
// large home may need.
func full(r store.Recent, lim Limits) bool {
	return r.Bytes > lim.ValueBytes*7/8 || r.Block.Len() > jobblock.MaxJobs*7/8
}

// ripe lists the recent blocks to merge, once enough are full.
func ripe(recents []store.Recent, lim Limits, least int) []store.Recent {
	var out []store.Recent
	n := 0
	for _, r := range recents {
		if r.Block == nil || r.Block.Len() == 0 {
			continue
		}
		if out = append(out, r); full(r, lim) {
			n++
		}
	}
	if n < least {
		return nil
	}
	return out
}

// merge plans to add sorted entries to the block that covers the first of them.
// It gives the blocks that take its place, and how many entries they took.
func merge(b *Block, entries []jobblock.Entry, lim Limits) (parts []*Block, taken int, differ []string, err error) {
	for taken < len(entries) && b.covers(jobblock.Key(entries[taken].ID)) {
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

// write gives the transaction that puts the parts of merged blocks.
func write(parts []*Block) (txn wire.Txn) {
	for _, p := range parts {
		key := store.History + p.To
		txn.If = append(txn.If, wire.Condition{Key: key, Version: p.Version})
		txn.Then = append(txn.Then, wire.Change{Put: key, Value: p.Record})
	}
	return txn
}

// bytes is what the parts take in a transaction.
func bytes(parts []*Block) int {
	n := 0
	for _, p := range parts {
		n += p.Record.Bytes() + 60
	}
	return n
}
