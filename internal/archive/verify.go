package archive

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Report summarizes the content of the state service and lists its inconsistencies.
type Report struct {
	Format       int
	FencingToken uint64 // the highest of the counter and the tokens of the leaders
	Kinds        map[string]*KindStats
	Live         int // different jobs that have not ended
	Ended        int // different jobs that have ended
	Problems     []string
}

// KindStats has the statistics of the keys of one kind. Its fields are encoded as JSON under their
// Go names.
type KindStats struct {
	Keys, Jobs, Bytes int
	Largest           int    // bytes of the largest key with its value
	Oldest, Newest    uint64 // versions
}

// add counts a key and its value.
func (k *KindStats) add(item wire.KeyValue) {
	size := len(item.Key) + len(item.Value)
	k.Keys++
	k.Bytes += size
	k.Largest = max(k.Largest, size)
	k.Oldest, k.Newest = min(k.Oldest, item.Version), max(k.Newest, item.Version)
}

// maxProblems bounds the problems that a report lists.
const maxProblems = 100

// verifier checks all keys in one pass, those of the archive last.
type verifier struct {
	Report
	ended          idSet
	stages         map[string]wire.Stage // final stages of the ended jobs outside the archive, by id
	live           map[string]string     // key of a batch or job record in which a job has not ended, by id
	firstUncovered string                // first sort key that no archive block so far covers
	archiveBlocks  int                   // number of archive blocks so far
}

// Verify checks a whole state against the invariants in docs/archive.md.
func Verify(ctx context.Context, items []wire.KeyValue) Report {
	v := &verifier{stages: map[string]wire.Stage{}, live: map[string]string{}, ended: newIDSet()}
	v.Kinds = map[string]*KindStats{}
	for _, item := range archiveLast(items) {
		if ctx.Err() != nil {
			v.addProblem("", "broken off: %v", ctx.Err())
			break
		}
		v.checkItem(item)
	}
	v.finish()
	return v.Report
}

// archiveLast returns the items sorted by key, with the archive after all other keys, so that its
// blocks can be checked against everything else.
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

// addProblem adds a problem to the report. An empty key means that the problem does not concern a
// single key.
func (v *verifier) addProblem(key, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if key != "" {
		text = key + ": " + text
	}
	if len(v.Problems) < maxProblems {
		v.Problems = append(v.Problems, text)
	}
}

// decode decodes a record and reports a problem if that fails.
func decode[T any](v *verifier, item wire.KeyValue) (rec T, ok bool) {
	if err := wire.DecodeValue(item.Value, &rec); err != nil {
		v.addProblem(item.Key, "record not understood: %v", err)
		return rec, false
	}
	return rec, true
}

// checkDecodes only checks that a record can be decoded.
func checkDecodes[T any](v *verifier, item wire.KeyValue, _ *KindStats) { _, _ = decode[T](v, item) }

// finish makes the checks and counts that need all keys.
func (v *verifier) finish() {
	if v.archiveBlocks > 0 && v.firstUncovered != lastBlockKey {
		v.addProblem(store.ArchivePrefix+lastBlockKey, "what comes from %q on is covered by no block", v.firstUncovered)
	}
	for id := range v.live {
		if v.stages[id] == "" {
			v.Live++
		}
	}
}
