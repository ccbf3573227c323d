package handover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

var (
	start    = time.Unix(1e9, 0)
	sharding = fleet.ByZones(3, []string{"a", "b", "c"})
	types    = []wire.MachineType{{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, Zones: []string{"a", "b", "c"}}}
)

func formatRanges(ranges []store.ShardRange) (out string) {
	for _, s := range ranges {
		out += fmt.Sprintf("%d-%d/%s ", s.From, s.To, s.Shard)
	}
	return out
}

// TestMove checks that the last movable tasks of a shard move, and that all other tasks stay.
func TestMove(t *testing.T) {
	ranges := []store.ShardRange{{From: 0, To: 4, Shard: "a"}, {From: 4, To: 6, Shard: "b"}, {From: 6, To: 10, Shard: "a"}}
	for _, x := range []struct {
		n, stays int // stays is a task that is not movable
		want     string
	}{
		{0, -1, "0-4/a 4-6/b 6-10/a "},
		{1, -1, "0-4/a 4-6/b 6-9/a 9-10/c "},
		{2, 9, "0-4/a 4-6/b 6-7/a 7-9/c 9-10/a "},
		{5, 8, "0-2/a 2-4/c 4-6/b 6-8/c 8-9/a 9-10/c "},
		{99, -1, "0-4/c 4-6/b 6-10/c "},
	} {
		got := Move(ranges, 10, "a", "c", x.n, func(i int) bool { return i != x.stays })
		if formatRanges(got) != x.want || CountTasks(got) != 10 {
			t.Errorf("%d tasks without %d: %s, want %s", x.n, x.stays, formatRanges(got), x.want)
		}
		for i := range 10 {
			if got, was := ShardOf(got, i), ShardOf(ranges, i); got != was && (was != "a" || i == x.stays) {
				t.Errorf("task %d of %s was moved to %s", i, was, got)
			}
		}
	}
	if done := []store.ShardRange{{From: 0, To: 4, Shard: "a", Done: true}}; !slices.Equal(Move(done, 4, "a", "c", 4, func(int) bool { return true }), done) {
		t.Error("finished tasks were moved")
	}
}

// TestMerge checks that only adjacent ranges of the same shard that are equally done are joined.
func TestMerge(t *testing.T) {
	got := Merge([]store.ShardRange{{From: 0, To: 1, Shard: "a"}, {From: 1, To: 3, Shard: "a"}, {From: 3, To: 4, Shard: "a", Done: true}, {From: 4, To: 5, Shard: "b"}})
	if formatRanges(got) != "0-3/a 3-4/a 4-5/b " || ShardOf(got, 5) != "" {
		t.Error(formatRanges(got))
	}
}

// TestLedgerTasks checks that the record of a machine is stale if it names a task that is active nowhere, until the
// record is rewritten.
func TestLedgerTasks(t *testing.T) {
	l := NewLedgerTasks(map[string]store.MachineRecord{"n-1": {Tasks: map[string]uint64{"wk-1/0": 7, "wk-1/1": 7}}, "n-2": {Tasks: map[string]uint64{"wk-2/0": 8}}})
	active := func(id wire.TaskID) bool { return id.Index == 1 }
	if got := l.Stale("wk-1", active); len(got) != 1 || !got[0] || !slices.Equal(l.StaleMachines(), []string{"n-1"}) {
		t.Errorf("%v on %v", got, l.StaleMachines())
	}
	l.Update("n-1", map[string]uint64{"wk-1/1": 7})
	if got := l.Stale("wk-1", active); len(got) != 0 || len(l.StaleMachines()) != 0 {
		t.Errorf("%v on %v after the record was rewritten", got, l.StaleMachines())
	}
	l.Update("n-2", nil)
	if got := l.Stale("wk-2", active); len(got) != 0 {
		t.Errorf("%v of a deleted record", got)
	}
	var none LedgerTasks // as in a fleet that is a single shard
	none.Update("n-1", map[string]uint64{"wk-1/0": 7})
	if got := none.Stale("wk-1", active); len(got) != 0 {
		t.Errorf("%v of no ledger", got)
	}
}

func peersWith(a, b scheduler.FreeCapacity) []Peer {
	return []Peer{{Shard: "a", Capacity: map[string]scheduler.FreeCapacity{"x": a}}, {Shard: "b", Capacity: map[string]scheduler.FreeCapacity{"x": b}}}
}

func unplacedJob(j *wire.Job) *scheduler.UnplacedJob {
	s := &scheduler.Job{Job: j, LocalTasks: j.Tasks}
	for i := range j.Tasks {
		s.Waiting = append(s.Waiting, i)
	}
	return &scheduler.UnplacedJob{Job: s, Unserved: j.Tasks}
}

// TestChoose checks that tasks go to the shard with the most capacity, less the tasks that its status does not show
// yet, that a gang goes whole or not at all, and that tasks which have waited go to a shard that can scale out.
func TestChoose(t *testing.T) {
	array := &wire.Job{ID: "wk-1", Class: "x", Shape: wire.Array, Tasks: 8, CPUs: 1}
	gang := &wire.Job{ID: "wk-2", Class: "x", Shape: wire.Gang, Tasks: 8, CPUs: 1}
	spread := &wire.Job{ID: "wk-3", Class: "x", Shape: wire.Service, Tasks: 8, CPUs: 1, Spread: true}
	large := &wire.Job{ID: "wk-4", Class: "x", Shape: wire.Array, Tasks: 8, CPUs: 99}
	for _, x := range []struct {
		name   string
		job    *wire.Job
		a, b   scheduler.FreeCapacity
		waited time.Duration
		want   string
	}{
		{"the most capacity", array, scheduler.FreeCapacity{Now: 2}, scheduler.FreeCapacity{Now: 3}, time.Second, "b 3"},
		{"no more than there are", array, scheduler.FreeCapacity{Now: 2}, scheduler.FreeCapacity{Now: 30}, time.Second, "b 8"},
		{"a gang in pieces", gang, scheduler.FreeCapacity{Now: 2}, scheduler.FreeCapacity{Now: 7}, time.Second, " 0"},
		{"a gang whole", gang, scheduler.FreeCapacity{Now: 2}, scheduler.FreeCapacity{Now: 8}, time.Second, "b 8"},
		{"half may be in one zone", spread, scheduler.FreeCapacity{Now: 9}, scheduler.FreeCapacity{Now: 8}, time.Second, "a 4"},
		{"no machine is as large", large, scheduler.FreeCapacity{Now: 9}, scheduler.FreeCapacity{Now: 8}, time.Second, " 0"},
		{"scaling out is for later", array, scheduler.FreeCapacity{}, scheduler.FreeCapacity{Rent: true}, time.Second, " 0"},
		{"scaling out", array, scheduler.FreeCapacity{}, scheduler.FreeCapacity{Rent: true}, 5 * time.Second, "b 8"},
	} {
		targets := NewTargets("c", sharding)
		targets.SetPeers(peersWith(x.a, x.b))
		shard, n := targets.Choose(start, unplacedJob(x.job), nil, types, x.waited)
		if got := fmt.Sprint(shard, " ", n); got != x.want {
			t.Errorf("%s: %q, want %q", x.name, got, x.want)
		}
	}
	targets := NewTargets("c", sharding)
	targets.SetPeers(peersWith(scheduler.FreeCapacity{Now: 2}, scheduler.FreeCapacity{Now: 3}))
	targets.RecordHandover(start, "b", "x", 2)
	if shard, n := targets.Choose(start.Add(time.Second), unplacedJob(array), nil, types, time.Second); shard != "a" || n != 2 {
		t.Errorf("after two tasks went to b: %s %d", shard, n)
	}
	if shard, n := targets.Choose(start.Add(3*time.Second), unplacedJob(array), nil, types, time.Second); shard != "b" || n != 3 {
		t.Errorf("once the status of b shows them: %s %d", shard, n)
	}
}

// TestDivide checks that a gang which no shard can take whole is divided between this shard and those with the most
// capacity, or not at all if their capacity is not enough.
func TestDivide(t *testing.T) {
	gang := unplacedJob(&wire.Job{ID: "wk-2", Class: "x", Shape: wire.Gang, Tasks: 8, CPUs: 1}).Job
	targets := NewTargets("c", sharding)
	targets.SetPeers(peersWith(scheduler.FreeCapacity{Now: 2}, scheduler.FreeCapacity{Now: 4}))
	if got := formatRanges(targets.Divide(start, gang, scheduler.FreeCapacity{Now: 3}, types, time.Second)); got != "0-3/c 3-7/b 7-8/a " {
		t.Error(got)
	}
	if got := targets.Divide(start, gang, scheduler.FreeCapacity{Now: 1}, types, time.Second); got != nil {
		t.Errorf("%s, which exceeds the capacity", formatRanges(got))
	}
}

// TestReservationExpired checks that a shard which has no way to make capacity does not delay a co-allocation for long.
func TestReservationExpired(t *testing.T) {
	gang := &wire.Job{ID: "wk-2", Class: "x", Shape: wire.Gang, Tasks: 8, CPUs: 1}
	production := &wire.Job{ID: "wk-3", Class: "x", Shape: wire.Gang, Tasks: 8, CPUs: 1, Priority: wire.Production}
	other := &wire.Job{ID: "wk-4", Class: "y", Shape: wire.Gang, Tasks: 8, CPUs: 1}
	for _, x := range []struct {
		name     string
		job      *wire.Job
		shard    string
		capacity scheduler.FreeCapacity
		waited   time.Duration
		want     bool
	}{
		{"its capacity may be about to be free", gang, "a", scheduler.FreeCapacity{}, 20 * time.Second, false},
		{"it can make none", gang, "a", scheduler.FreeCapacity{}, 21 * time.Second, true},
		{"it has too little", gang, "a", scheduler.FreeCapacity{Now: 3}, 21 * time.Second, true},
		{"it scales out", gang, "a", scheduler.FreeCapacity{Rent: true}, 89 * time.Second, false},
		{"scaling out takes too long", gang, "a", scheduler.FreeCapacity{Rent: true}, 91 * time.Second, true},
		{"it preempts", production, "a", scheduler.FreeCapacity{Below: 1}, 89 * time.Second, false},
		{"preemption is for production work", gang, "a", scheduler.FreeCapacity{Below: 1}, 21 * time.Second, true},
		{"the lead itself can make none", gang, "c", scheduler.FreeCapacity{}, 21 * time.Second, true},
		{"the lead itself scales out", gang, "c", scheduler.FreeCapacity{Rent: true}, 89 * time.Second, false},
		{"it has told nothing of the class", other, "a", scheduler.FreeCapacity{}, 89 * time.Second, false},
		{"it has told nothing", gang, "d", scheduler.FreeCapacity{}, 89 * time.Second, false},
		{"it has told nothing for too long", gang, "d", scheduler.FreeCapacity{}, 91 * time.Second, true},
	} {
		targets := NewTargets("c", sharding)
		targets.SetPeers(peersWith(x.capacity, scheduler.FreeCapacity{}))
		own := map[string]scheduler.FreeCapacity{"x": x.capacity}
		if got := targets.ReservationExpired(x.job, x.shard, own, x.waited); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

// TestCoAllocation checks that a shard starts each attempt only once, and that a changed order resets the rest of the
// state.
func TestCoAllocation(t *testing.T) {
	var c CoAllocation
	if c.Observe(start, store.CoAllocationReserve); c.MayStart() {
		t.Error("it may start while capacity is being reserved")
	}
	attempt := store.CoAllocationFirstAttempt + 1
	c.Observe(start.Add(time.Second), attempt)
	c.Observe(start.Add(2*time.Second), attempt)
	if !c.MayStart() || c.Age(start.Add(3*time.Second)) != 2*time.Second {
		t.Errorf("%+v", c)
	}
	if c.Committed(attempt - 1); !c.MayStart() {
		t.Error("another attempt counts as started")
	}
	c.Committed(attempt)
	c.Observe(start.Add(4*time.Second), store.CoAllocationRelease)
	if c.Observe(start.Add(5*time.Second), attempt); c.MayStart() {
		t.Error("the same attempt may start twice")
	}
}
