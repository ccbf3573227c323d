package archive

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// randomEntries returns ended jobs with IDs that hardly compress.
func randomEntries(rng *rand.Rand, n int) []jobblock.Entry {
	entries := make([]jobblock.Entry, n)
	for i := range entries {
		entries[i] = jobblock.Entry{ID: fmt.Sprintf("wk-%018d", rng.Uint64N(1e18)), Stage: wire.Done, Tasks: 1 + rng.IntN(9)}
	}
	entries, _ = jobblock.Sort(entries)
	return entries
}

// covering returns the block of a history that covers a job.
func covering(history []*Block, e jobblock.Entry) *Block {
	i := slices.IndexFunc(history, func(b *Block) bool { return b.covers(jobblock.SortKey(e.ID)) })
	return history[i]
}

// replaceBlock replaces the block of a history that ends where the last of the parts ends, and marks the parts as written.
func replaceBlock(history, parts []*Block) []*Block {
	i := slices.IndexFunc(history, func(b *Block) bool { return b.To == parts[len(parts)-1].To })
	for _, part := range parts {
		part.Version = 1
	}
	return slices.Replace(history, i, i+1, parts...)
}

// FuzzMergeFitsTransaction guards against a merge into the history that exceeds what the state service takes in a transaction, so
// that compaction stops for good: whatever the sizes, each part of a merge fits, and all jobs are merged.
func FuzzMergeFitsTransaction(f *testing.F) {
	for _, valueKiB := range []int{1, 8, 16, 32} {
		f.Add(uint64(1), valueKiB, 12, 6000, 0)
		f.Add(uint64(2), valueKiB, 4, 300, 2000)
		f.Add(uint64(3), valueKiB, 24, 9000, 1)
	}
	f.Fuzz(func(t *testing.T, seed uint64, valueKiB, txnOps, added, stored int) {
		if valueKiB < 1 || valueKiB > 32 || txnOps < minTxnOps || txnOps > 64 || added < 1 || added > 10_000 || stored < 0 || stored > 3000 {
			t.Skip()
		}
		rng := rand.New(rand.NewPCG(seed, 9))
		limits := Limits{ValueBytes: valueKiB << 10, TxnOps: txnOps}
		history := []*Block{{To: lastBlockKey}}
		if stored > 0 {
			var err error
			plan := mergePlan{}
			for old := randomEntries(rng, stored); len(old) > 0; old = old[plan.covered:] {
				if plan, err = planMerge(covering(history, old[0]), old, limits); err != nil {
					t.Fatal(err)
				}
				history = replaceBlock(history, plan.blocks)
			}
		}
		entries, merged := randomEntries(rng, added), 0
		for rounds := 0; len(entries) > 0; rounds++ {
			plan, err := planMerge(covering(history, entries[0]), entries, limits)
			if err != nil || plan.covered == 0 || rounds > added {
				t.Fatalf("%d of %d jobs are merged, err %v", merged, added, err)
			}
			if n := encodedBytes(plan.blocks); n > maxTxnBytes || len(plan.blocks) > txnOps {
				t.Fatalf("a merge of %d jobs writes %d blocks with %d bytes, values of %d KiB", plan.covered, len(plan.blocks), n, valueKiB)
			}
			merged += plan.covered
			entries = entries[plan.covered:]
			history = replaceBlock(history, plan.blocks)
		}
		if merged != added {
			t.Errorf("%d of %d jobs are merged", merged, added)
		}
	})
}

// TestLargeFirstMerge merges recent blocks of large values into an empty history, whose first block then covers more than fits
// into a transaction.
func TestLargeFirstMerge(t *testing.T) {
	limits := Limits{ValueBytes: 32 << 10, TxnOps: 20}
	h := newHarness(t, limits)
	rng := rand.New(rand.NewPCG(4, 4))
	const jobs, batchSize = 20_000, 250
	for i := range jobs / batchSize {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for _, e := range randomEntries(rng, batchSize) {
			rec.Jobs[e.ID] = store.JobRecord{Stage: e.Stage, Tasks: e.Tasks, Ended: 1}
			h.reportedStages[e.ID] = e.Stage
		}
		h.mustCommit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey(fmt.Sprint(i)), Value: rec}}})
	}
	_ = h.Barrier(t.Context())
	if err := h.compactAll(); err != nil {
		t.Fatal(err)
	}
	if r := Verify(t.Context(), h.items()); len(r.Problems) > 0 || r.Ended != jobs || r.Kinds["history"] == nil || r.Kinds["history"].Jobs < jobs/2 {
		t.Errorf("%d of %d ended jobs, problems %v, kinds %+v", r.Ended, jobs, r.Problems, r.Kinds)
	}
}
