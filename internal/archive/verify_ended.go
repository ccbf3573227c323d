package archive

import (
	"iter"
	"strings"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// recordEnd records the final stage of a job and reports a problem if another record has a
// different one.
func (v *verifier) recordEnd(key, id string, stage wire.Stage) {
	if before, ok := v.stages[id]; ok && before != stage {
		v.addProblem(key, "job %s was %s, is called %s", id, before, stage)
		return
	}
	v.stages[id] = stage
	v.countEnded(id)
}

// countEnded counts an ended job, unless it has been counted before.
func (v *verifier) countEnded(id string) {
	if v.ended.add(id) {
		v.Ended++
	}
}

func (v *verifier) checkRecentBlock(item wire.KeyValue, k *KindStats) {
	rec, ok := decode[jobblock.Record](v, item)
	if !ok {
		return
	}
	k.Jobs += rec.Count
	for e := range v.orderedEntries(item.Key, rec) {
		v.recordEnd(item.Key, e.ID, e.Stage)
	}
}

// checkArchiveBlock checks that a block begins where the previous one ends, and that it covers all
// jobs that it holds.
func (v *verifier) checkArchiveBlock(item wire.KeyValue, k *KindStats) {
	rec, ok := decode[jobblock.Record](v, item)
	if !ok {
		return
	}
	k.Jobs += rec.Count
	to := strings.TrimPrefix(item.Key, store.ArchivePrefix)
	v.archiveBlocks++
	if rec.From != v.firstUncovered {
		v.addProblem(item.Key, "begins at %q: what comes from %q on is covered by no block, or by two", rec.From, v.firstUncovered)
	}
	v.firstUncovered = to
	for e := range v.orderedEntries(item.Key, rec) {
		if at := jobblock.SortKey(e.ID); at < rec.From || at >= to {
			v.addProblem(item.Key, "holds job %s, which it does not cover", e.ID)
		}
		v.checkArchivedJob(item.Key, e)
	}
}

// orderedEntries iterates over the jobs of a block and checks that they are in order.
func (v *verifier) orderedEntries(key string, rec jobblock.Record) iter.Seq[jobblock.Entry] {
	return func(yield func(jobblock.Entry) bool) {
		block, err := rec.Unpack()
		if err != nil {
			v.addProblem(key, "%v", err)
			return
		}
		before := ""
		for _, e := range block.Entries() {
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

// checkArchivedJob compares an archived job with the records of the same job outside the archive.
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
