package leader

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// TestAttempts checks that attempts grow from leader to leader, and that each holds its leader's fencing token.
func TestAttempts(t *testing.T) {
	r := newRoundState(0, time.Unix(1e9, 0))
	first, second := r.nextAttempt(7), r.nextAttempt(7)
	later := newRoundState(0, time.Unix(1e9, 0))
	if third := later.nextAttempt(8); second <= first || third <= second {
		t.Errorf("attempts %d, %d and %d", first, second, third)
	}
	if token, n := splitAttempt(second); token != 7 || n != 2 {
		t.Errorf("attempt %d is number %d of token %d", second, n, token)
	}
}

// TestLaunchGroups checks that the launches of a gang form one group, and that each launch of another job is its own.
func TestLaunchGroups(t *testing.T) {
	gang := &scheduler.Job{Job: &wire.Job{ID: "wk-1", Shape: wire.Gang}}
	other := &scheduler.Job{Job: &wire.Job{ID: "wk-2", Shape: wire.Gang}}
	array := &scheduler.Job{Job: &wire.Job{ID: "wk-3", Shape: wire.Array}}
	rest := []scheduler.Launch{{Job: gang}, {Job: gang}, {Job: other}, {Job: array}, {Job: array}}
	var group []scheduler.Launch
	for _, want := range []int{2, 1, 1, 1} {
		if group, rest = nextGroup(rest); len(group) != want {
			t.Errorf("a group of %d launches, want %d", len(group), want)
		}
	}
	if len(rest) > 0 {
		t.Errorf("%d launches are left", len(rest))
	}
}

// TestIdleTracker checks that capacity counts as idle after it has been free for a while, and that machines that are
// gone are forgotten.
func TestIdleTracker(t *testing.T) {
	var idle idleTracker
	now := time.Unix(1e9, 0)
	machines := []*scheduler.Machine{{ID: "n-1", Free: scheduler.Resources{CPUs: 4}}}
	idle.update(now, machines)
	if machines[0].IdleCapacity == machines[0].Free {
		t.Error("capacity counts as idle when it was just seen to be free")
	}
	for range 600 {
		now = now.Add(time.Second)
		idle.update(now, machines)
	}
	if machines[0].IdleCapacity != machines[0].Free {
		t.Errorf("%+v counts as idle of the capacity that has been free for ten minutes", machines[0].IdleCapacity)
	}
	idle.update(now, []*scheduler.Machine{{ID: "n-2"}, {ID: "n-3"}, {ID: "n-4"}})
	if idle.update(now, machines); len(idle.machines) != 1 {
		t.Errorf("%d machines are remembered", len(idle.machines))
	}
}
