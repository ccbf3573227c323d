package leader

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// TestAttempts: attempts of a later leader are newer, and each tells whose it is.
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

// TestLaunchGroups: the tasks of a gang are one group, those of other jobs are each their own.
func TestLaunchGroups(t *testing.T) {
	gang := &scheduler.Job{Job: &wire.Job{ID: "wk-1", Shape: wire.Gang}}
	other := &scheduler.Job{Job: &wire.Job{ID: "wk-2", Shape: wire.Gang}}
	array := &scheduler.Job{Job: &wire.Job{ID: "wk-3", Shape: wire.Array}}
	rest := []scheduler.Launch{{Job: gang}, {Job: gang}, {Job: other}, {Job: array}, {Job: array}}
	var group []scheduler.Launch
	for _, want := range []int{2, 1, 1, 1} {
		if group, rest = nextGroup(rest); len(group) != want {
			t.Errorf("a group of %d launches, not %d", len(group), want)
		}
	}
	if len(rest) > 0 {
		t.Errorf("%d launches are left", len(rest))
	}
}

// TestIdleTracker: what is free on a machine for long is idle, and machines that are gone are forgotten.
func TestIdleTracker(t *testing.T) {
	var idle idleTracker
	now := time.Unix(1e9, 0)
	machines := []*scheduler.Machine{{ID: "n-1", Free: scheduler.Resources{CPUs: 4}}}
	idle.update(now, machines)
	if machines[0].IdleCapacity == machines[0].Free {
		t.Error("what was just seen free is idle")
	}
	for range 600 {
		now = now.Add(time.Second)
		idle.update(now, machines)
	}
	if machines[0].IdleCapacity != machines[0].Free {
		t.Errorf("of what is free for ten minutes %+v is idle", machines[0].IdleCapacity)
	}
	idle.update(now, []*scheduler.Machine{{ID: "n-2"}, {ID: "n-3"}, {ID: "n-4"}})
	if idle.update(now, machines); len(idle.machines) != 1 {
		t.Errorf("%d machines are remembered", len(idle.machines))
	}
}
