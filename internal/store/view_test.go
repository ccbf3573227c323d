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

func item(key string, v any, version uint64) wire.KeyValue {
	return wire.KeyValue{Key: key, Value: wire.Encode(v), Version: version}
}

func event(key string, v any, version uint64) wire.Event {
	return wire.Event{Put: key, Value: wire.Encode(v), Version: version}
}

// TestViewAppliesOnce guards against answers that overtake each other: a late
// watch must not bring back what a barrier has seen deleted, and a list that
// is newer than its first page must not lose what the watch repeats.
func TestViewAppliesOnce(t *testing.T) {
	v := NewView(slog.Default())
	job := JobRecord{Stage: wire.Pending, Tasks: 3, Job: &wire.Job{ID: "wk-1", Tasks: 3}}
	done := job.End(wire.Done, time.Unix(1e9, 0))
	v.Load([]wire.KeyValue{item(JobKey("wk-1"), job, 4), item(JobKey("wk-2"), done, 7)}, 5, &wire.WatchResponse{Revision: 5})
	// The watch begins at the first page's revision and repeats the rest.
	v.Apply(&wire.WatchResponse{Revision: 7, Events: []wire.Event{event(JobKey("wk-2"), job, 6), event(JobKey("wk-2"), done, 7)}})
	if _, known := v.Job("wk-1"); !known {
		t.Error("wk-1 is not known")
	}
	v.Apply(&wire.WatchResponse{Revision: 9, Events: []wire.Event{event(LeaderKey("p"), LeaderRecord{}, 8), {Delete: LeaderKey("p"), Version: 9}}})
	v.Apply(&wire.WatchResponse{Revision: 8, Events: []wire.Event{event(LeaderKey("p"), LeaderRecord{}, 8)}})
	if _, held := v.Leader("p"); held {
		t.Error("a deleted leader record is back")
	}
	if v.Revision() != 9 {
		t.Errorf("revision %d went back", v.Revision())
	}
	rec, known := v.Job("wk-2")
	if _, takes := rec.TaskDemand(); !known || rec.Stage != wire.Done || !takes {
		t.Errorf("wk-2: %+v, known %v", rec, known)
	}
}

// TestLoadOvertakenByBarrier: a list that was begun before a barrier is taken in after it. What the
// barrier has shown, and users were told since, stays.
func TestLoadOvertakenByBarrier(t *testing.T) {
	v := NewView(slog.Default())
	job := pending("wk-1")
	older := []wire.KeyValue{item(JobKey("wk-1"), job, 4)}
	v.Load(older, 5, &wire.WatchResponse{Revision: 5})
	v.Apply(&wire.WatchResponse{Revision: 8, Events: []wire.Event{event(JobKey("wk-1"), job.End(wire.Cancelled, time.Unix(1e9, 0)), 8)}})
	v.Load(older, 5, &wire.WatchResponse{Revision: 7})
	if rec, _ := v.Job("wk-1"); rec.Stage != wire.Cancelled || v.Revision() != 8 {
		t.Errorf("at revision %d it is %s", v.Revision(), rec.Stage)
	}
}

func pending(id string) JobRecord {
	return JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
}

func batch(ids ...string) BatchRecord {
	rec := BatchRecord{Jobs: map[string]JobRecord{}}
	for _, id := range ids {
		rec.Jobs[id] = pending(id)
	}
	return rec
}

// ended returns a batch in which some jobs have ended.
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

func at(v *View, revision uint64, events ...wire.Event) {
	for i := range events {
		events[i].Version = revision
	}
	v.Apply(&wire.WatchResponse{Revision: revision, Events: events})
}

func endedBatchKeys(v *View) (keys []string) {
	for _, h := range v.EndedBatches(99, func(*Batch) bool { return true }) {
		keys = append(keys, strings.TrimPrefix(h.Key, StatePrefix))
	}
	return keys
}

// TestJobInSeveralBatches: a job may be in as many batches as it likes; the first revision
// that holds it is its beginning and its batch, however often that is written
// again, and an end anywhere is its end.
func TestJobInSeveralBatches(t *testing.T) {
	v := NewView(slog.Default())
	v.Load(nil, 1, &wire.WatchResponse{})
	at(v, 2, event(BatchKey("z-1"), batch("wk-1", "wk-2"), 0))
	at(v, 4, event(BatchKey("b-1"), batch("wk-2", "wk-3"), 0))
	one := batch("wk-1", "wk-2")
	one.Since = 2
	one = ended(one, wire.Cancelled, "wk-1")
	at(v, 5, event(BatchKey("z-1"), one, 0)) // written again, it is still the older
	if l, _ := v.Live("wk-2"); l == nil || l.Batch.Key != BatchKey("z-1") || l.Batch.Version != 5 || l.SinceRevision != 2 {
		t.Fatalf("wk-2: %+v", l)
	}
	at(v, 6, event(BatchKey("z-1"), ended(one, wire.Done, "wk-2"), 0))
	at(v, 7, event(BatchKey("c-1"), batch("wk-2"), 0)) // a late copy
	if rec, _ := v.Job("wk-2"); rec.Stage != wire.Done {
		t.Errorf("a late batch brought a job back: %+v", rec)
	}
	if l := v.Snapshot().LiveJobs; len(l) != 1 || l["wk-3"].SinceRevision != 4 {
		t.Errorf("live: %+v", l)
	}
	if ended := endedBatchKeys(v); !slices.Equal(ended, []string{"batch/z-1", "batch/c-1"}) {
		t.Errorf("ended batches: %v", ended)
	}
	// A list brings the same, in the order of the keys.
	w := NewView(slog.Default())
	w.Load([]wire.KeyValue{item(BatchKey("b-1"), batch("wk-2", "wk-3"), 4), item(BatchKey("c-1"), batch("wk-2"), 7),
		item(BatchKey("z-1"), ended(one, wire.Done, "wk-2"), 6)}, 7, &wire.WatchResponse{Revision: 7})
	if l := w.Snapshot().LiveJobs; len(l) != 1 || l["wk-3"] == nil || !slices.Equal(endedBatchKeys(w), endedBatchKeys(v)) {
		t.Errorf("live by the list: %+v, ended batches %v", l, endedBatchKeys(w))
	}
}

// TestCompactedJobStaysEnded: a job that was compacted is known by its recent block, a batch that
// still names it as live does not bring it back, and it is compacted once no batch
// names it.
func TestCompactedJobStaysEnded(t *testing.T) {
	v := NewView(slog.Default())
	v.Load(nil, 1, &wire.WatchResponse{})
	at(v, 2, event(BatchKey("a"), batch("wk-1"), 0))
	at(v, 3, event(BatchKey("b"), batch("wk-1", "wk-2"), 0))
	at(v, 4, event(BatchKey("a"), ended(batch("wk-1"), wire.Cancelled, "wk-1"), 0))
	recent := jobblock.Pack("", []jobblock.Entry{{ID: "wk-1", Stage: wire.Cancelled, Tasks: 1}})
	at(v, 5, wire.Event{Delete: BatchKey("a")}, event(RecentKey(0), recent, 0))
	if rec, known := v.Job("wk-1"); !known || rec.Stage != wire.Cancelled || v.Compacted("wk-1") {
		t.Errorf("wk-1: %+v, known %v, compacted %v", rec, known, v.Compacted("wk-1"))
	}
	at(v, 6, event(BatchKey("b"), ended(batch("wk-1", "wk-2"), wire.Done, "wk-2"), 0))
	if ended := endedBatchKeys(v); len(ended) != 1 {
		t.Errorf("ended batches: %v", ended)
	}
	at(v, 7, wire.Event{Delete: BatchKey("b")})
	if rec, known := v.Job("wk-1"); !known || rec.Stage != wire.Cancelled || !v.Compacted("wk-1") {
		t.Errorf("wk-1: %+v, known %v, compacted %v", rec, known, v.Compacted("wk-1"))
	}
}

// TestReadsFormatOne reads what version 1 left: a key for each job that was accepted
// alone or has ended, which goes before any batch that names it.
func TestReadsFormatOne(t *testing.T) {
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
	l, _ := v.Live("wk-3")
	r := l.Batch.Update()
	r.EndJob("wk-3", wire.Done, time.Unix(1e9, 0))
	c := r.Change()
	if put, ok := c.Value.(JobRecord); !ok || c.Put != JobKey("wk-3") || put.Stage != wire.Done {
		t.Errorf("the end of wk-3: %+v", c)
	}
}

// TestLoadIsConsistent: pages are read one after the other. What is in them is
// seen together with what came meanwhile, or not at all: from the pages alone a
// job may seem to begin in its second batch.
func TestLoadIsConsistent(t *testing.T) {
	v := NewView(slog.Default())
	// The first page was read before a/1 was there, the second after.
	v.Load([]wire.KeyValue{item(BatchKey("z"), batch("wk-1"), 7)}, 5, &wire.WatchResponse{Revision: 8, Events: []wire.Event{
		event(BatchKey("a"), batch("wk-1"), 6), event(BatchKey("z"), batch("wk-1"), 7)}})
	if l, _ := v.Live("wk-1"); l == nil || l.Batch.Key != BatchKey("a") || v.Revision() != 8 {
		t.Errorf("wk-1: %+v at %d", l, v.Revision())
	}
}

// TestUnreadableRecordLeavesJobsUncertain: as long as a batch or a recent block is not
// understood, nobody can say that a job is not known; others are as before.
func TestUnreadableRecordLeavesJobsUncertain(t *testing.T) {
	v := NewView(slog.New(slog.DiscardHandler))
	newer := jobblock.Pack("", nil)
	newer.Format++
	v.Load([]wire.KeyValue{item(BatchKey("a"), batch("wk-1"), 2), item(RecentKey(0), newer, 3), item(JobKey("wk-9"), "?", 4)}, 5, &wire.WatchResponse{})
	if key, err := v.UnreadableRecordFor("wk-2"); key != RecentKey(0) || !errors.Is(err, jobblock.ErrNewer) || v.Compacted("wk-2") {
		t.Errorf("doubt %q, %v", key, err)
	}
	if _, known := v.Job("wk-1"); !known || len(v.UnreadableRecords()) != 2 {
		t.Errorf("known %v, broken %v", known, v.UnreadableRecords())
	}
	at(v, 6, event(RecentKey(0), jobblock.Pack("", nil), 0))
	if key, _ := v.UnreadableRecordFor("wk-2"); key != "" {
		t.Errorf("doubt %q", key)
	}
	if key, _ := v.UnreadableRecordFor("wk-9"); key != JobKey("wk-9") {
		t.Errorf("doubt %q", key)
	}
}

// TestTaskSet: the text form of a block gives the same tasks back.
func TestTaskSet(t *testing.T) {
	a, b := NewTaskSet(3*TasksPerBlock), NewTaskSet(3*TasksPerBlock)
	for i := 0; i < 3*TasksPerBlock; i += 7 {
		a.Add(i)
	}
	for n := range 3 {
		if text := a.EncodeBlock(n); len(text) > 1000 {
			t.Errorf("block %d takes %d bytes", n, len(text))
		} else {
			b.MergeBlock(n, text)
		}
	}
	for i := range 3 * TasksPerBlock {
		if a.Contains(i) != b.Contains(i) {
			t.Fatalf("task %d", i)
		}
	}
	b.MergeBlock(0, "not base64!")
}

// TestTaskSetDifference: what finished since a set was stored, also past the end of the other.
func TestTaskSetDifference(t *testing.T) {
	a, b := NewTaskSet(0), NewTaskSet(64)
	for _, i := range []int{0, 63, 64, 700} {
		a.Add(i)
	}
	b.Add(63)
	if got := a.Difference(b); !slices.Equal(got, []int{0, 64, 700}) || a.Count() != 4 || a.Add(64) {
		t.Errorf("%v of %d", got, a.Count())
	}
}
