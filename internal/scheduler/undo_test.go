package scheduler

import (
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestRollback checks that rolling back a placement attempt restores machines, pool and plan, and keeps what was
// planned before the savepoint.
func TestRollback(t *testing.T) {
	low := job("wk-1", wire.Array, wire.Low, 4)
	top := job("wk-2", wire.Array, wire.High, 4, 0, 1, 2)
	busy, free := machine("n-1", "a", Task{Job: low, RunTime: time.Minute}), machine("n-2", "a")
	pl := newPlanner(testSnapshot([]*Job{low, top}, busy, free))
	pl.sortJobs()
	pl.occupy(top, free)
	state := func() string {
		return fmt.Sprintf("%+v", []any{*busy, *free, len(pl.undo), len(pl.pool.stopping), len(pl.pool.added), pl.pool.booting, pl.pool.requested[Offer{"g4", "a", false}], pl.pool.inZone["a"], len(pl.plan.Stops), busy.Tasks[0].Stopping})
	}
	pl.pool.add(Offer{"g4", "a", false}, 0) // so that the maps have their entries
	before, at := state(), pl.savepoint()
	if pl.preempt(top, ResourcesOf(top.Job), func(*Machine) bool { return true }) != busy {
		t.Fatal("preempt did not pick the busy machine")
	}
	pl.occupy(top, busy)
	pl.pool.add(Offer{"g4", "a", false}, 1)
	if before == state() {
		t.Fatal("the placement attempt changed nothing")
	}
	pl.rollback(at)
	if after := state(); before != after {
		t.Errorf("state after the rollback is %s, want %s", after, before)
	}
}
