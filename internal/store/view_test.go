package store

import (
	"errors"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/wire"
)

// item returns a listed key with an encoded value.
func item(key string, v any, version uint64) wire.KeyValue {
	return wire.KeyValue{Key: key, Value: wire.Encode(v), Version: version}
}

// event returns a watch event that sets a key to an encoded value.
func event(key string, v any, version uint64) wire.Event {
	return wire.Event{Put: key, Value: wire.Encode(v), Version: version}
}

// TestViewAppliesEachRevisionOnce guards against responses that overtake each other: a late watch
// response must not restore a key whose deletion a barrier has shown, and values of a list that are
// newer than its first page must survive when the watch repeats the changes.
func TestViewAppliesEachRevisionOnce(t *testing.T) {
	v := NewView(slog.Default())
	job := JobRecord{Stage: wire.Pending, Tasks: 3, Job: &wire.Job{ID: "wk-1", Tasks: 3}}
	done := job.End(wire.Done, time.Unix(1e9, 0))
	v.Load([]wire.KeyValue{item(JobKey("wk-1"), job, 4), item(JobKey("wk-2"), done, 7)}, 5, &wire.WatchResponse{Revision: 5})
	// The watch starts at the revision of the first page and repeats the changes since then.
	v.Apply(&wire.WatchResponse{Revision: 7, Events: []wire.Event{event(JobKey("wk-2"), job, 6), event(JobKey("wk-2"), done, 7)}})
	if _, known := v.Job("wk-1"); !known {
		t.Error("wk-1 is not known")
	}
	v.Apply(&wire.WatchResponse{Revision: 9, Events: []wire.Event{event(LeaderKey("p"), LeaderRecord{}, 8), {Delete: LeaderKey("p"), Version: 9}}})
	v.Apply(&wire.WatchResponse{Revision: 8, Events: []wire.Event{event(LeaderKey("p"), LeaderRecord{}, 8)}})
	if _, found := v.Leader("p"); found {
		t.Error("a deleted leader record was restored")
	}
	if v.Revision() != 9 {
		t.Errorf("revision went back to %d", v.Revision())
	}
	rec, known := v.Job("wk-2")
	if _, ok := rec.TaskDemand(); !known || rec.Stage != wire.Done || !ok {
		t.Errorf("wk-2: %+v, known %v", rec, known)
	}
}

// TestViewIgnoresLoadOlderThanBarrier guards against a list that was started before a barrier but is
// loaded after it. It must not undo what the barrier has shown, which users may have been told.
func TestViewIgnoresLoadOlderThanBarrier(t *testing.T) {
	v := NewView(slog.Default())
	job := pending("wk-1")
	older := []wire.KeyValue{item(JobKey("wk-1"), job, 4)}
	v.Load(older, 5, &wire.WatchResponse{Revision: 5})
	v.Apply(&wire.WatchResponse{Revision: 8, Events: []wire.Event{event(JobKey("wk-1"), job.End(wire.Cancelled, time.Unix(1e9, 0)), 8)}})
	v.Load(older, 5, &wire.WatchResponse{Revision: 7})
	if rec, _ := v.Job("wk-1"); rec.Stage != wire.Cancelled || v.Revision() != 8 {
		t.Errorf("at revision %d, wk-1 is %s", v.Revision(), rec.Stage)
	}
}

// pending returns the record of a pending job.
func pending(id string) JobRecord {
	return JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
}

// batch returns a batch of pending jobs.
func batch(ids ...string) BatchRecord {
	rec := BatchRecord{Jobs: map[string]JobRecord{}}
	for _, id := range ids {
		rec.Jobs[id] = pending(id)
	}
	return rec
}

// ended returns a copy of a batch in which the jobs with the given ids have ended.
func ended(b BatchRecord, stage wire.Stage, ids ...string) BatchRecord {
	out := BatchRecord{Jobs: map[string]JobRecord{}, Since: b.Since}
	for id, rec := range b.Jobs {
		out.Jobs[id] = rec
	}
	for _, id := range ids {
		rec := b.Jobs[id]
		out.Jobs[id] = rec.End(stage, time.Unix(1e9, 0))
	}
	return out
}

// applyAt applies events to a view as the changes of a single revision.
func applyAt(v *View, revision uint64, events ...wire.Event) {
	for i := range events {
		events[i].Version = revision
	}
	v.Apply(&wire.WatchResponse{Revision: revision, Events: events})
}

// endedBatchKeys returns the keys of all batches whose jobs have ended, without StatePrefix.
func endedBatchKeys(v *View) (keys []string) {
	for _, b := range v.EndedBatches(99, func(*Batch) bool { return true }) {
		keys = append(keys, strings.TrimPrefix(b.Key, StatePrefix))
	}
	return keys
}

// TestJobInSeveralBatches checks that a job may be in any number of batches: the batch that contained
// it at the earliest revision owns it, however often that batch is rewritten, and once the job has
// ended in any batch, it has ended.
func TestJobInSeveralBatches(t *testing.T) {
	v := NewView(slog.Default())
	v.Load(nil, 1, &wire.WatchResponse{})
	applyAt(v, 2, event(BatchKey("z-1"), batch("wk-1", "wk-2"), 0))
	applyAt(v, 4, event(BatchKey("b-1"), batch("wk-2", "wk-3"), 0))
	one := batch("wk-1", "wk-2")
	one.Since = 2
	one = ended(one, wire.Cancelled, "wk-1")
	applyAt(v, 5, event(BatchKey("z-1"), one, 0)) // although rewritten, it is still the oldest batch
	if l, _ := v.LiveJob("wk-2"); l == nil || l.Batch.Key != BatchKey("z-1") || l.Batch.Version != 5 || l.SinceRevision != 2 {
		t.Fatalf("wk-2: %+v", l)
	}
	applyAt(v, 6, event(BatchKey("z-1"), ended(one, wire.Done, "wk-2"), 0))
	applyAt(v, 7, event(BatchKey("c-1"), batch("wk-2"), 0)) // a late duplicate of the job
	if rec, _ := v.Job("wk-2"); rec.Stage != wire.Done {
		t.Errorf("a late batch revived an ended job: %+v", rec)
	}
	if l := v.Snapshot().LiveJobs; len(l) != 1 || l["wk-3"].SinceRevision != 4 {
		t.Errorf("live: %+v", l)
	}
	if ended := endedBatchKeys(v); !slices.Equal(ended, []string{"batch/z-1", "batch/c-1"}) {
		t.Errorf("ended batches: %v", ended)
	}
	// Loading the same batches from a list, which is sorted by key, gives the same result.
	w := NewView(slog.Default())
	w.Load([]wire.KeyValue{item(BatchKey("b-1"), batch("wk-2", "wk-3"), 4), item(BatchKey("c-1"), batch("wk-2"), 7),
		item(BatchKey("z-1"), ended(one, wire.Done, "wk-2"), 6)}, 7, &wire.WatchResponse{Revision: 7})
	if l := w.Snapshot().LiveJobs; len(l) != 1 || l["wk-3"] == nil || !slices.Equal(endedBatchKeys(w), endedBatchKeys(v)) {
		t.Errorf("live after loading the list: %+v, ended batches %v", l, endedBatchKeys(w))
	}
}

// TestCompactedJobStaysEnded checks that a job that was compacted is known from its recent block, that
// a batch that still contains it as live does not revive it, and that Compacted reports it only once
// no batch contains it.
func TestCompactedJobStaysEnded(t *testing.T) {
	v := NewView(slog.Default())
	v.Load(nil, 1, &wire.WatchResponse{})
	applyAt(v, 2, event(BatchKey("a"), batch("wk-1"), 0))
	applyAt(v, 3, event(BatchKey("b"), batch("wk-1", "wk-2"), 0))
	applyAt(v, 4, event(BatchKey("a"), ended(batch("wk-1"), wire.Cancelled, "wk-1"), 0))
	recent := jobblock.Pack("", []jobblock.Entry{{ID: "wk-1", Stage: wire.Cancelled, Tasks: 1}})
	applyAt(v, 5, wire.Event{Delete: BatchKey("a")}, event(RecentKey(0), recent, 0))
	if rec, known := v.Job("wk-1"); !known || rec.Stage != wire.Cancelled || v.Compacted("wk-1") {
		t.Errorf("wk-1: %+v, known %v, compacted %v", rec, known, v.Compacted("wk-1"))
	}
	applyAt(v, 6, event(BatchKey("b"), ended(batch("wk-1", "wk-2"), wire.Done, "wk-2"), 0))
	if ended := endedBatchKeys(v); len(ended) != 1 {
		t.Errorf("ended batches: %v", ended)
	}
	applyAt(v, 7, wire.Event{Delete: BatchKey("b")})
	if rec, known := v.Job("wk-1"); !known || rec.Stage != wire.Cancelled || !v.Compacted("wk-1") {
		t.Errorf("wk-1: %+v, known %v, compacted %v", rec, known, v.Compacted("wk-1"))
	}
}

// TestViewReadsFormat1 loads the state that version 1 wrote: a key of its own for each job that was
// accepted alone or has ended. This key takes precedence over any batch that contains the job.
func TestViewReadsFormat1(t *testing.T) {
	rec := pending("wk-2")
	v := NewView(slog.Default())
	v.Load([]wire.KeyValue{item(BatchKey("a-1"), batch("wk-1", "wk-2"), 2), item(JobKey("wk-2"), rec.End(wire.Cancelled, time.Unix(1e9, 0)), 3),
		item(JobKey("wk-3"), pending("wk-3"), 4), item(BatchKey("b-1"), batch("wk-3"), 3)}, 5, &wire.WatchResponse{Revision: 5})
	if l := v.Snapshot().LiveJobs; len(l) != 2 || l["wk-3"].Batch.Key != JobKey("wk-3") || l["wk-3"].SinceRevision != 3 {
		t.Errorf("live: %+v", l)
	}
	if rec, _ := v.Job("wk-2"); rec.Stage != wire.Cancelled {
		t.Errorf("wk-2: %+v", rec)
	}
	l, _ := v.LiveJob("wk-3")
	update := l.Batch.Update()
	update.EndJob("wk-3", wire.Done, time.Unix(1e9, 0))
	change := update.Operation()
	if put, ok := change.Value.(JobRecord); !ok || change.Put != JobKey("wk-3") || put.Stage != wire.Done {
		t.Errorf("the change that ends wk-3: %+v", change)
	}
}

// TestLoadIsConsistent guards against showing the pages of a list, which are read one after the other,
// without the changes that were committed meanwhile: from the pages alone, a job's second batch may
// appear to be its first.
func TestLoadIsConsistent(t *testing.T) {
	v := NewView(slog.Default())
	// The first page was read before batch a was written, the second one after.
	v.Load([]wire.KeyValue{item(BatchKey("z"), batch("wk-1"), 7)}, 5, &wire.WatchResponse{Revision: 8, Events: []wire.Event{
		event(BatchKey("a"), batch("wk-1"), 6), event(BatchKey("z"), batch("wk-1"), 7)}})
	if l, _ := v.LiveJob("wk-1"); l == nil || l.Batch.Key != BatchKey("a") || v.Revision() != 8 {
		t.Errorf("wk-1: %+v at revision %d", l, v.Revision())
	}
}

// TestUnreadableRecordMayHoldAnyJob checks that, as long as a batch or a recent block can't be decoded,
// a job that isn't found may be in it and is not reported as unknown. Jobs in other records are not
// affected.
func TestUnreadableRecordMayHoldAnyJob(t *testing.T) {
	v := NewView(slog.New(slog.DiscardHandler))
	newer := jobblock.Pack("", nil)
	newer.Format++
	v.Load([]wire.KeyValue{item(BatchKey("a"), batch("wk-1"), 2), item(RecentKey(0), newer, 3), item(JobKey("wk-9"), "?", 4)}, 5, &wire.WatchResponse{})
	if key, err := v.UnreadableRecordFor("wk-2"); key != RecentKey(0) || !errors.Is(err, jobblock.ErrNewer) || v.Compacted("wk-2") {
		t.Errorf("unreadable record for wk-2: %q, %v", key, err)
	}
	if _, known := v.Job("wk-1"); !known || len(v.UnreadableRecords()) != 2 {
		t.Errorf("wk-1 known: %v, unreadable records: %v", known, v.UnreadableRecords())
	}
	applyAt(v, 6, event(RecentKey(0), jobblock.Pack("", nil), 0))
	if key, _ := v.UnreadableRecordFor("wk-2"); key != "" {
		t.Errorf("unreadable record for wk-2: %q", key)
	}
	if key, _ := v.UnreadableRecordFor("wk-9"); key != JobKey("wk-9") {
		t.Errorf("unreadable record for wk-9: %q", key)
	}
}

// TestTaskSet checks that the text encoding of a block decodes to the same tasks, and that invalid text
// does not panic.
func TestTaskSet(t *testing.T) {
	a, b := NewTaskSet(3*TasksPerBlock), NewTaskSet(3*TasksPerBlock)
	for i := 0; i < 3*TasksPerBlock; i += 7 {
		a.Add(i)
	}
	for n := range 3 {
		if text := a.EncodeBlock(n); len(text) > 1000 {
			t.Errorf("block %d is encoded in %d bytes", n, len(text))
		} else {
			b.MergeBlock(n, text)
		}
	}
	for i := range 3 * TasksPerBlock {
		if a.Contains(i) != b.Contains(i) {
			t.Fatalf("task %d differs after decoding", i)
		}
	}
	b.MergeBlock(0, "not base64!")
}

// TestTaskSetDifference checks that Difference returns the tasks that have finished since a set was
// stored, including those beyond the end of the stored set.
func TestTaskSetDifference(t *testing.T) {
	a, b := NewTaskSet(0), NewTaskSet(64)
	for _, i := range []int{0, 63, 64, 700} {
		a.Add(i)
	}
	b.Add(63)
	if got := a.Difference(b); !slices.Equal(got, []int{0, 64, 700}) || a.Count() != 4 || a.Add(64) {
		t.Errorf("difference %v, count %d", got, a.Count())
	}
}
