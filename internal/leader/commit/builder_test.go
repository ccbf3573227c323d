package commit

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// liveJobs returns n live jobs, each in a batch of its own.
func liveJobs(t *testing.T, n int) (out []*store.LiveJob) {
	t.Helper()
	view := store.NewView(slog.New(slog.DiscardHandler))
	view.Load(nil, 0, &wire.WatchResponse{})
	for i := range n {
		id := fmt.Sprintf("wk-%d", i)
		job := &wire.Job{ID: id, Class: "c", Shape: wire.Array, Team: "blue", Priority: wire.Normal, Tasks: 1, CPUs: 1, Image: "img"}
		batch := store.BatchRecord{Jobs: map[string]store.JobRecord{id: {Stage: wire.Pending, Tasks: 1, Job: job}}}
		view.Apply(&wire.WatchResponse{Revision: uint64(i + 1), Events: []wire.Event{{Put: store.BatchKey(id), Value: wire.Encode(batch), Version: uint64(i + 1)}}})
		l, ok := view.LiveJob(id)
		if !ok {
			t.Fatalf("%s is not live", id)
		}
		out = append(out, l)
	}
	return out
}

// TestBuilderLimits checks that a round stays within its limits of conditions and changes, and that a batch counts only
// once, however often the round uses it.
func TestBuilderLimits(t *testing.T) {
	jobs := liveJobs(t, 4)
	b := NewBuilder(Limits{Changes: 3, Conditions: 2})
	if b.Update(jobs[0]) == nil || b.Update(jobs[0]) != b.Pending(jobs[0]) || b.UpdateCount() != 1 || b.ChangesLeft() != 2 {
		t.Errorf("%d updates, %d changes left", b.UpdateCount(), b.ChangesLeft())
	}
	if !b.Guard(jobs[1]) || !b.Guard(jobs[0]) || b.GuardedCount() != 2 {
		t.Errorf("guards %d batches", b.GuardedCount())
	}
	if b.Guard(jobs[2]) || b.Update(jobs[2]) != nil {
		t.Error("a third batch is guarded beyond the limit of conditions")
	}
	if b.Update(jobs[1]) == nil || b.ChangesLeft() != 1 {
		t.Errorf("%d changes left", b.ChangesLeft())
	}
	if b = NewBuilder(Limits{Changes: 1, Conditions: 2}); b.Update(jobs[3]) != nil {
		t.Error("a batch takes the last change, which is reserved for the ledger")
	}
	if len(b.Txn.If) != 0 {
		t.Errorf("conditional on %v", b.Txn.If)
	}
}

// TestBuilderLedger checks that entries are added only while bytes are left, and that a sealed round writes its batches
// before the ledger.
func TestBuilderLedger(t *testing.T) {
	ledger, _ := store.NewLedger("fleet", 4096, nil)
	jobs := liveJobs(t, 1)
	b := NewBuilder(Limits{Changes: 4, Conditions: 4})
	if !b.Empty() {
		t.Error("a new builder is not empty")
	}
	b.Update(jobs[0]).EndJob("wk-0", wire.Done, time.UnixMilli(1))
	var size SizeBackoff
	b.OpenLedger(ledger, 1, 4096, &size)
	freeBytes := 0
	for b.Fits(freeBytes + 1) {
		freeBytes++
	}
	if b.Reserve(freeBytes+1) || !b.Reserve(freeBytes-10) || b.Fits(11) || !b.Fits(10) {
		t.Errorf("reservations do not match the %d free bytes", freeBytes)
	}
	if b.Add(store.MachineTombstone("a-machine-with-a-long-name")) {
		t.Error("an entry is added that does not fit")
	}
	b.AddReserved(store.MachineTombstone("n-1"))
	if left := b.Pack(ledger, store.SegmentRecord{FencingToken: 1, Round: 1}); left != 0 {
		t.Errorf("%d entries are left", left)
	}
	b.Seal()
	if len(b.Txn.Then) != 2 || b.Txn.Then[0].Put != jobs[0].Batch.Key || b.Txn.Then[1].Put != b.FirstSegmentKey() {
		t.Errorf("writes %v", b.Txn.Then)
	}
}

// TestSizeBackoff checks that the limit shrinks down to a bound while rounds don't fit, and grows again once they do.
func TestSizeBackoff(t *testing.T) {
	var s SizeBackoff
	if s.Limit(1<<20) != 1<<20 {
		t.Errorf("limited to %d", s.Limit(1<<20))
	}
	for range maxHalvings + 3 {
		s.TooLarge()
	}
	if s.Limit(1<<20) != 1<<20>>maxHalvings {
		t.Errorf("limited to %d", s.Limit(1<<20))
	}
	for range maxHalvings {
		s.Fitted()
	}
	if s.Fitted(); s.Halvings() != 0 {
		t.Errorf("halved %d times", s.Halvings())
	}
}
