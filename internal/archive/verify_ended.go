package archive

import (
	"iter"
	"strings"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// recordEnd takes a final stage: it must be the same everywhere.
func (v *verifier) recordEnd(key, id string, stage wire.Stage) {
	if before, ok := v.stages[id]; ok && before != stage {
		v.addProblem(key, "job %s was %s, is called %s", id, before, stage)
		return
	}
	v.stages[id] = stage
	v.countEnded(id)
}

// countEnded counts a job that has ended, once.
func (v *verifier) countEnded(id string) {
	if v.ended.add(id) {
		v.Ended++
	}
}

func (v *verifier) checkRecentBlock(it wire.KeyValue, k *KindStats) {
	rec, ok := decode[jobblock.Record](v, it)
	if !ok {
		return
	}
	k.Jobs += rec.Count
	for e := range v.orderedEntries(it.Key, rec) {
		v.recordEnd(it.Key, e.ID, e.Stage)
	}
}

// checkArchiveBlock checks that a block begins where the one before ends, and that its jobs
// are its own.
func (v *verifier) checkArchiveBlock(it wire.KeyValue, k *KindStats) {
	rec, ok := decode[jobblock.Record](v, it)
	if !ok {
		return
	}
	k.Jobs += rec.Count
	to := strings.TrimPrefix(it.Key, store.ArchivePrefix)
	v.archiveBlocks++
	if rec.From != v.firstUncovered {
		v.addProblem(it.Key, "begins at %q: what comes from %q on is covered by no block, or by two", rec.From, v.firstUncovered)
	}
	v.firstUncovered = to
	for e := range v.orderedEntries(it.Key, rec) {
		if at := jobblock.SortKey(e.ID); at < rec.From || at >= to {
			v.addProblem(it.Key, "holds job %s, which it does not cover", e.ID)
		}
		v.checkArchivedJob(it.Key, e)
	}
}

// orderedEntries goes through the jobs of a block, and checks their order.
func (v *verifier) orderedEntries(key string, rec jobblock.Record) iter.Seq[jobblock.Entry] {
	return func(yield func(jobblock.Entry) bool) {
		blk, err := rec.Unpack()
		if err != nil {
			v.addProblem(key, "%v", err)
			return
		}
		before := ""
		for _, e := range blk.Entries() {
			at := jobblock.SortKey(e.ID)
			if at <= before {
				v.addProblem(key, "job %s is out of order", e.ID)
			}
			before = at
			if !yield(e) {
				return
			}
		}
	}
}

// checkArchivedJob compares a job of the archive with what else is known of it.
func (v *verifier) checkArchivedJob(key string, e jobblock.Entry) {
	stage, ended := v.stages[e.ID]
	if batch, live := v.live[e.ID]; live && stage == "" {
		v.addProblem(key, "job %s is over, and live in %s", e.ID, batch)
	}
	if ended && stage != e.Stage {
		v.addProblem(key, "job %s was %s, is called %s", e.ID, stage, e.Stage)
	}
	v.countEnded(e.ID)
}
