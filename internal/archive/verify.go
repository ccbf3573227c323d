package archive

import (
	"context"
	"fmt"
	"iter"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Report says what is in the state service, and what is wrong with it.
type Report struct {
	Format       int
	FencingToken uint64
	Kinds        map[string]*KindStats
	Live         int
	Ended        int // different jobs that have ended
	Problems     []string
}

// KindStats counts the keys of a kind. Its fields are printed as JSON by their names.
type KindStats struct {
	Keys, Jobs, Bytes int
	Largest           int
	Oldest, Newest    uint64 // versions
}

// add counts a key.
func (k *KindStats) add(it wire.KeyValue) {
	size := len(it.Key) + len(it.Value)
	k.Keys++
	k.Bytes += size
	k.Largest = max(k.Largest, size)
	k.Oldest, k.Newest = min(k.Oldest, it.Version), max(k.Newest, it.Version)
}

// maxProblems bounds the problems of a report.
const maxProblems = 100

// verifier reads all keys once, in order.
type verifier struct {
	Report
	ended  idSet
	stages map[string]wire.Stage // of jobs that have ended, outside of the archive
	live   map[string]string     // keys of batches that call a job live, by its id
	next   string                // the first key that no block has covered yet
	blocks int                   // of the archive
}

// Verify reads a whole state and checks every invariant that docs/archive.md names.
func Verify(ctx context.Context, items []wire.KeyValue) Report {
	v := &verifier{stages: map[string]wire.Stage{}, live: map[string]string{}, ended: newIDSet()}
	v.Kinds = map[string]*KindStats{}
	for _, it := range archiveLast(items) {
		if ctx.Err() != nil {
			v.report("", "broken off: %v", ctx.Err())
			break
		}
		v.checkItem(it)
	}
	v.finish()
	return v.Report
}

// archiveLast orders keys with those of the archive last, so that its blocks can be compared
// with everything else.
func archiveLast(items []wire.KeyValue) []wire.KeyValue {
	items = slices.Clone(items)
	slices.SortFunc(items, func(a, b wire.KeyValue) int {
		inA, inB := strings.HasPrefix(a.Key, store.ArchivePrefix), strings.HasPrefix(b.Key, store.ArchivePrefix)
		switch {
		case inA && !inB:
			return 1
		case inB && !inA:
			return -1
		}
		return strings.Compare(a.Key, b.Key)
	})
	return items
}

// report adds a problem, of a key if it is one.
func (v *verifier) report(key, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if key != "" {
		text = key + ": " + text
	}
	if len(v.Problems) < maxProblems {
		v.Problems = append(v.Problems, text)
	}
}

// decode reads a record; one that can't be decoded is a problem.
func decode[T any](v *verifier, it wire.KeyValue) (rec T, ok bool) {
	if err := wire.DecodeValue(it.Value, &rec); err != nil {
		v.report(it.Key, "record not understood: %v", err)
		return rec, false
	}
	return rec, true
}

// checkDecodes only checks that a record can be decoded.
func checkDecodes[T any](v *verifier, it wire.KeyValue, _ *KindStats) { _, _ = decode[T](v, it) }

// kindChecks says how the keys of each kind are checked.
var kindChecks = map[string]func(v *verifier, it wire.KeyValue, k *KindStats){
	store.KindBatch:           (*verifier).checkBatch,
	store.KindJob:             (*verifier).checkStandaloneJob,
	store.KindRecent:          (*verifier).checkRecentBlock,
	store.KindArchive:         (*verifier).checkArchiveBlock,
	store.KindLedger:          checkDecodes[store.SegmentRecord],
	store.KindLeader:          (*verifier).checkLeader,
	store.KindFencingToken:    (*verifier).checkFencingToken,
	store.KindFormat:          (*verifier).checkFormat,
	store.KindSharding:        checkDecodes[store.ShardingRecord],
	store.KindQuotaGrant:      checkDecodes[store.QuotaGrantRecord],
	store.KindTiers:           checkDecodes[store.TiersRecord],
	store.KindSubmissionFence: func(*verifier, wire.KeyValue, *KindStats) {},
	store.KindMachineTypes:    func(*verifier, wire.KeyValue, *KindStats) {},
}

// checkItem counts and checks a key.
func (v *verifier) checkItem(it wire.KeyValue) {
	kind := store.Kind(it.Key)
	k := v.Kinds[kind]
	if k == nil {
		k = &KindStats{Oldest: it.Version}
		v.Kinds[kind] = k
	}
	k.add(it)
	check := kindChecks[kind]
	if check == nil {
		v.report(it.Key, "of an unknown kind")
		return
	}
	check(v, it, k)
}

func (v *verifier) checkBatch(it wire.KeyValue, k *KindStats) {
	rec, ok := decode[store.BatchRecord](v, it)
	if !ok {
		return
	}
	k.Jobs += len(rec.Jobs)
	for id, job := range rec.Jobs {
		v.checkBatchJob(it.Key, id, job)
	}
}

func (v *verifier) checkStandaloneJob(it wire.KeyValue, k *KindStats) {
	if rec, ok := decode[store.JobRecord](v, it); ok {
		k.Jobs++
		v.checkBatchJob(it.Key, strings.TrimPrefix(it.Key, store.JobKey("")), rec)
	}
}

func (v *verifier) checkLeader(it wire.KeyValue, _ *KindStats) {
	if rec, ok := decode[store.LeaderRecord](v, it); ok {
		v.FencingToken = max(v.FencingToken, rec.FencingToken)
	}
}

// checkFencingToken checks the counter of fencing tokens. It comes after the leaders' records
// in the order of keys, and must not be lower than any of their tokens.
func (v *verifier) checkFencingToken(it wire.KeyValue, _ *KindStats) {
	token, ok := decode[uint64](v, it)
	if !ok {
		return
	}
	if token < v.FencingToken {
		v.report(it.Key, "the counter of terms is %d, a part is held with term %d", token, v.FencingToken)
	}
	v.FencingToken = max(v.FencingToken, token)
}

func (v *verifier) checkFormat(it wire.KeyValue, _ *KindStats) {
	rec, ok := decode[store.FormatRecord](v, it)
	if !ok {
		return
	}
	v.Format = rec.Format
	switch {
	case rec.Import != "":
		v.report(it.Key, "an import was not finished")
	case rec.Format > store.FormatSharded:
		v.report(it.Key, "written by a newer version: format %d, at most %d is understood", rec.Format, store.FormatSharded)
	}
}

// checkBatchJob takes what a batch says of a job.
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

// recordEnd takes a final stage: it must be the same everywhere.
func (v *verifier) recordEnd(key, id string, stage wire.Stage) {
	if before, ok := v.stages[id]; ok && before != stage {
		v.report(key, "job %s was %s, is called %s", id, before, stage)
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
	v.blocks++
	if rec.From != v.next {
		v.report(it.Key, "begins at %q: what comes from %q on is covered by no block, or by two", rec.From, v.next)
	}
	v.next = to
	for e := range v.orderedEntries(it.Key, rec) {
		if at := jobblock.SortKey(e.ID); at < rec.From || at >= to {
			v.report(it.Key, "holds job %s, which it does not cover", e.ID)
		}
		v.checkArchivedJob(it.Key, e)
	}
}

// orderedEntries goes through the jobs of a block, and checks their order.
func (v *verifier) orderedEntries(key string, rec jobblock.Record) iter.Seq[jobblock.Entry] {
	return func(yield func(jobblock.Entry) bool) {
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
		v.report(key, "job %s is over, and live in %s", e.ID, batch)
	}
	if ended && stage != e.Stage {
		v.report(key, "job %s was %s, is called %s", e.ID, stage, e.Stage)
	}
	v.countEnded(e.ID)
}

// finish checks what shows only at the end.
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
