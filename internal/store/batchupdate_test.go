package store

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestBatchUpdate checks that an update leaves the batch itself unchanged, that its write is
// conditional on the batch's version, and that the committed batch has the changes.
func TestBatchUpdate(t *testing.T) {
	b := newBatch(BatchKey("x"), 7, batch("wk-1", "wk-2"))
	u := b.Update()
	ranges := []ShardRange{{From: 0, To: 1, Shard: "a"}}
	u.EndJob("wk-1", wire.Cancelled, time.Unix(1e9, 0))
	u.MarkFinishedIn("wk-2", "a")
	u.SetCoAllocation("wk-2", CoAllocationReserve)
	if rec := u.AssignRanges("wk-2", ranges, 3); len(rec.FinishedIn) != 0 || rec.CoAllocation != 0 || rec.ShardingGeneration != 3 {
		t.Errorf("AssignRanges kept fields that refer to the previous ranges: %+v", rec)
	}
	if rec := u.EndJob("wk-3", wire.Done, time.Unix(1e9, 0)); rec.Stage != "" {
		t.Errorf("EndJob of a job that the batch does not hold returned %+v", rec)
	}
	if b.job("wk-1").Stage != wire.Pending || len(b.job("wk-2").Ranges) != 0 {
		t.Errorf("the update changed the batch itself: %+v", b.Jobs)
	}
	if c := u.Condition(); !u.IsFor(b) || c.Key != b.Key || c.Version != 7 {
		t.Errorf("condition %+v, want version 7 of the batch's key", c)
	}
	put, ok := u.Operation().Value.(BatchRecord)
	if !ok || put.Since != 7 || put.Jobs["wk-1"].Stage != wire.Cancelled || len(put.Jobs["wk-2"].Ranges) != 1 {
		t.Errorf("unexpected value to write: %+v", put)
	}
	if next := u.Committed(9); next.Version != 9 || next.SinceRevision != 7 || next.job("wk-1").Stage != wire.Cancelled {
		t.Errorf("unexpected committed batch: %+v", next)
	}
}
