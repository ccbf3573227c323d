package store

import (
	"log/slog"
	"testing"

	"amberdeal.example/amberdeal/wire"
)

func item(key string, v any, version uint64) wire.Item {
	return wire.Item{Key: key, Value: wire.Encode(v), Version: version}
}

func event(key string, v any, version uint64) wire.Event {
	return wire.Event{Put: key, Value: wire.Encode(v), Version: version}
}

// TestViewAppliesOnce guards against answers that overtake each other: a late
// watch must not bring back what a barrier has seen dropped, and a list that
// is newer than its first page must not lose what the watch repeats.
func TestViewAppliesOnce(t *testing.T) {
	v := NewView(slog.Default())
	job := JobRecord{Stage: wire.Pending, Tasks: 3, Job: &wire.Job{ID: "wk-1", Tasks: 3}}
	bits := NewBits(3)
	bits.Set(1)
	v.Load([]wire.Item{item(JobKey("wk-1"), job, 4), item(ProgressKey("wk-1", 0), bits.Block(0), 6), item(JobKey("wk-2"), job.End(wire.Done), 7)}, 5)
	// The watch begins at the first page's revision and repeats the rest.
	v.Apply(&wire.Changes{Revision: 7, Events: []wire.Event{event(ProgressKey("wk-1", 0), bits.Block(0), 6), event(JobKey("wk-2"), job.End(wire.Done), 7)}})
	if _, _, finished, known := v.Job("wk-1"); !known || finished != 1 {
		t.Errorf("wk-1: %d finished, known %v", finished, known)
	}
	v.Apply(&wire.Changes{Revision: 9, Events: []wire.Event{event(MachineKey("n-1"), MachineRecord{}, 8), {Delete: MachineKey("n-1"), Version: 9}}})
	v.Apply(&wire.Changes{Revision: 8, Events: []wire.Event{event(MachineKey("n-1"), MachineRecord{}, 8)}})
	if n := len(v.Snapshot().Machines); n != 0 {
		t.Errorf("a dropped machine is back: %d", n)
	}
	if v.Revision() != 9 {
		t.Errorf("revision %d went back", v.Revision())
	}
	rec, _, _, known := v.Job("wk-2")
	if !known || rec.Stage != wire.Done || rec.TaskTakes() == nil {
		t.Errorf("wk-2: %+v, known %v", rec, known)
	}
}

// TestBits: the text form of a block gives the same tasks back.
func TestBits(t *testing.T) {
	a, b := NewBits(3*BlockTasks), NewBits(3*BlockTasks)
	for i := 0; i < 3*BlockTasks; i += 7 {
		a.Set(i)
	}
	for n := range 3 {
		if text := a.Block(n); len(text) > 1000 {
			t.Errorf("block %d takes %d bytes", n, len(text))
		} else {
			b.Merge(n, text)
		}
	}
	for i := range 3 * BlockTasks {
		if a.Has(i) != b.Has(i) {
			t.Fatalf("task %d", i)
		}
	}
	b.Merge(0, "not base64!")
}
