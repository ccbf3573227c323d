package archive

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Report is what is in the state service, and what is wrong with it.
type Report struct {
	Format       int
	FencingToken uint64
	Kinds        map[string]*KindStats
	Live         int
	Ended        int // different jobs that are over
	Problems     []string
}

// KindStats counts the keys of a kind.
type KindStats struct {
	Keys, Jobs, Bytes int
	Largest           int
	Oldest, Newest    uint64 // versions
}

// maxProblems bounds the problems that are told.
const maxProblems = 100

// verifier reads all keys once, in order.
type verifier struct {
	Report
	ended  idSet
	stages map[string]wire.Stage // of jobs that are over, outside of the history
	live   map[string]string     // jobs that a home calls live, by its key
	next   string                // the first key that no block has covered yet
	blocks int
}

// Verify reads a whole state and checks every invariant that docs/archive.md
// names.
func Verify(ctx context.Context, items []wire.KeyValue) Report {
	v := &verifier{stages: map[string]wire.Stage{}, live: map[string]string{}, ended: newIDSet()}
	v.Kinds = map[string]*KindStats{}
	items = slices.Clone(items)
	// What may be rewritten goes first, so that blocks can be compared with it.
	slices.SortFunc(items, func(a, b wire.KeyValue) int {
		ha, hb := strings.HasPrefix(a.Key, store.ArchivePrefix), strings.HasPrefix(b.Key, store.ArchivePrefix)
		if ha != hb {
			if ha {
				return 1
			}
			return -1
		}
		return strings.Compare(a.Key, b.Key)
	})
	for _, it := range items {
		if ctx.Err() != nil {
			v.report("", "broken off: %v", ctx.Err())
			break
		}
		v.checkItem(it)
	}
	v.finish()
	return v.Report
}

func (v *verifier) report(key, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if key != "" {
		text = key + ": " + text
	}
	if len(v.Problems) < maxProblems {
		v.Problems = append(v.Problems, text)
	}
}

// decode reads a record; one that is not understood is a problem.
func decode[T any](v *verifier, it wire.KeyValue) (rec T, ok bool) {
	if err := wire.DecodeValue(it.Value, &rec); err != nil {
		v.report(it.Key, "record not understood: %v", err)
		return rec, false
	}
	return rec, true
}

func (v *verifier) checkItem(it wire.KeyValue) {
	kind := store.Kind(it.Key)
	k := v.Kinds[kind]
	if k == nil {
		k = &KindStats{Oldest: it.Version}
		v.Kinds[kind] = k
	}
	size := len(it.Key) + len(it.Value)
	k.Keys++
	k.Bytes += size
	k.Largest = max(k.Largest, size)
	k.Oldest, k.Newest = min(k.Oldest, it.Version), max(k.Newest, it.Version)
	switch kind {
	case "batch":
		if rec, ok := decode[store.BatchRecord](v, it); ok {
			k.Jobs += len(rec.Jobs)
			for id, job := range rec.Jobs {
				v.checkBatchJob(it.Key, id, job)
			}
		}
	case "job":
		if rec, ok := decode[store.JobRecord](v, it); ok {
			k.Jobs++
			v.checkBatchJob(it.Key, strings.TrimPrefix(it.Key, store.JobKey("")), rec)
		}
	case "recent", "history":
		if rec, ok := decode[jobblock.Record](v, it); ok {
			k.Jobs += rec.Count
			v.checkBlock(it.Key, rec, kind == "history")
		}
	case "ledger":
		decode[store.SegmentRecord](v, it)
	case "part":
		if rec, ok := decode[store.LeaderRecord](v, it); ok { // comes before the counter
			v.FencingToken = max(v.FencingToken, rec.FencingToken)
		}
	case "term":
		if term, ok := decode[uint64](v, it); ok {
			if term < v.FencingToken {
				v.report(it.Key, "the counter of terms is %d, a part is held with term %d", term, v.FencingToken)
			}
			v.FencingToken = max(v.FencingToken, term)
		}
	case "format":
		if rec, ok := decode[store.FormatRecord](v, it); ok {
			if v.Format = rec.Format; rec.Import != "" {
				v.report(it.Key, "an import was not finished")
			} else if rec.Format > store.FormatSharded {
				v.report(it.Key, "written by a newer version: format %d, at most %d is understood", rec.Format, store.FormatSharded)
			}
		}
	case "grouping":
		decode[store.ShardingRecord](v, it)
	case "grant":
		decode[store.QuotaGrantRecord](v, it)
	case "tiers":
		decode[store.TiersRecord](v, it)
	case "gate", "types":
	default:
		v.report(it.Key, "of an unknown kind")
	}
}

// checkBatchJob takes in what a home says of a job.
func (v *verifier) checkBatchJob(key, id string, job store.JobRecord) {
	switch {
	case !wire.ValidJobID(id):
		v.report(key, "%q is not the id of a job", id)
	case job.Stage.Final():
		v.recordEnd(key, id, job.Stage)
	case job.Job == nil:
		v.report(key, "job %s is %q and has no description", id, job.Stage)
	default:
		v.live[id] = key
	}
}

// recordEnd takes in a final stage: it must be the same everywhere.
func (v *verifier) recordEnd(key, id string, stage wire.Stage) {
	if before, ok := v.stages[id]; ok && before != stage {
		v.report(key, "job %s was %s, is called %s", id, before, stage)
		return
	}
	v.stages[id] = stage
	if v.ended.add(id) {
		v.Ended++
	}
}

func (v *verifier) checkBlock(key string, rec jobblock.Record, history bool) {
	to := strings.TrimPrefix(key, store.ArchivePrefix)
	if history {
		v.blocks++
		if rec.From != v.next {
			v.report(key, "begins at %q: what comes from %q on is covered by no block, or by two", rec.From, v.next)
		}
		v.next = to
	}
	blk, err := rec.Unpack()
	if err != nil {
		v.report(key, "%v", err)
		return
	}
	before := ""
	for _, e := range blk.Entries() {
		at := jobblock.SortKey(e.ID)
		if at <= before {
			v.report(key, "job %s is out of order", e.ID)
		}
		before = at
		if history && (at < rec.From || at >= to) {
			v.report(key, "holds job %s, which it does not cover", e.ID)
		}
		if !history {
			v.recordEnd(key, e.ID, e.Stage)
			continue
		}
		if home, ok := v.live[e.ID]; ok && v.stages[e.ID] == "" {
			v.report(key, "job %s is over, and live in %s", e.ID, home)
		}
		if stage, ok := v.stages[e.ID]; ok && stage != e.Stage {
			v.report(key, "job %s was %s, is called %s", e.ID, stage, e.Stage)
		}
		if v.ended.add(e.ID) {
			v.Ended++
		}
	}
}

func (v *verifier) finish() {
	if v.blocks > 0 && v.next != lastBlock {
		v.report(store.ArchivePrefix+lastBlock, "what comes from %q on is covered by no block", v.next)
	}
	for id := range v.live {
		if v.stages[id] == "" {
			v.Live++
		}
	}
}
