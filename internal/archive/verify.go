package archive

import (
	"context"
	"fmt"
	"slices"
	"strings"

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
	ended          idSet
	stages         map[string]wire.Stage // of jobs that have ended, outside of the archive
	live           map[string]string     // keys of batches that call a job live, by its id
	firstUncovered string                // the first key that no block has covered yet
	archiveBlocks  int                   // of the archive
}

// Verify reads a whole state and checks every invariant that docs/archive.md names.
func Verify(ctx context.Context, items []wire.KeyValue) Report {
	v := &verifier{stages: map[string]wire.Stage{}, live: map[string]string{}, ended: newIDSet()}
	v.Kinds = map[string]*KindStats{}
	for _, it := range archiveLast(items) {
		if ctx.Err() != nil {
			v.addProblem("", "broken off: %v", ctx.Err())
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

// addProblem adds a problem, of a key if it is one.
func (v *verifier) addProblem(key, format string, args ...any) {
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
		v.addProblem(it.Key, "record not understood: %v", err)
		return rec, false
	}
	return rec, true
}

// checkDecodes only checks that a record can be decoded.
func checkDecodes[T any](v *verifier, it wire.KeyValue, _ *KindStats) { _, _ = decode[T](v, it) }

// finish checks what shows only at the end.
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
