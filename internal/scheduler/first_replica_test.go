package scheduler

import (
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

func formatLaunches(p Plan) string {
	out := ""
	for _, l := range p.Launches {
		out += fmt.Sprintf("%s/%d on %s, ", l.Job.ID, l.TaskIndex, l.Machine)
	}
	return out
}

// TestFirstReplicas checks that, with capacity for three replicas, each of two services without replicas gets one
// before any service gets another. The third replica goes to a service with a larger share of its replicas waiting.
func TestFirstReplicas(t *testing.T) {
	few := job("wk-3", wire.Service, wire.Production, 4, 2, 3) // two of its four replicas wait
	few.ActiveTasks, few.TasksByZone["b"] = 2, 2
	jobs := []*Job{job("wk-1", wire.Service, wire.Production, 4, 0, 1, 2, 3), job("wk-2", wire.Service, wire.Production, 4, 0, 1, 2, 3), few}
	got := formatLaunches(Schedule(testSnapshot(jobs, machine("n-1", "a"), machine("n-2", "a"), machine("n-3", "a"))))
	if want := "wk-1/0 on n-3, wk-2/0 on n-2, wk-1/1 on n-1, "; got != want {
		t.Errorf("launches %s, want %s", got, want)
	}
}

// TestDeferredFetches checks that a machine on which production waits for an image does not start to fetch another
// image for other work, that no machine is rented for that work, and that production goes to a machine that fetches
// nothing else.
func TestDeferredFetches(t *testing.T) {
	production, low := job("wk-1", wire.Service, wire.Production, 1, 0), job("wk-2", wire.Array, wire.Normal, 1, 0)
	low.Image = "other"
	fetching, idle := machine("n-1", "a"), machine("n-2", "a")
	fetching.AddFetch("third", false)
	idle.Free.GPUs = 2
	plan := Schedule(testSnapshot([]*Job{production, low}, fetching, idle))
	if got, want := formatLaunches(plan), "wk-1/0 on n-2, wk-2/0 on n-1, "; got != want {
		t.Errorf("launches %s, want %s", got, want)
	}
	production, low = job("wk-1", wire.Service, wire.Production, 1, 0), job("wk-2", wire.Array, wire.Normal, 1, 0)
	low.Image = "other"
	plan = Schedule(testSnapshot([]*Job{production, low}, machine("n-1", "a")))
	if got, want := formatLaunches(plan), "wk-1/0 on n-1, "; got != want || len(plan.ScaleOuts) > 0 {
		t.Errorf("launches %s, want %s; scale-outs %v, want none", got, want, plan.ScaleOuts)
	}
}

// TestSpreadRules checks that a replica is placed in the zone with capacity where its service has the fewest replicas,
// that replicas are moved there one at a time while all are running and no production job waits, and that no zone has
// more replicas than may be lost at once.
func TestSpreadRules(t *testing.T) {
	even, survive := &SpreadRule{Even: true}, &SpreadRule{Survive: 0.5}
	for _, c := range []struct {
		name         string
		rule         *SpreadRule
		in           []string // zones of the running replicas
		waiting      []int
		capacity     []string // zones with free capacity
		maxMoves     int
		otherWaits   bool // another production job waits
		launch, stop int  // number of launches, all in zone b, and of stops
		violated     bool // the plan reports a violated spread rule
	}{
		{"zone with the fewest replicas", even, []string{"a"}, []int{1}, []string{"a", "b"}, 4, false, 1, 0, false},
		{"no rule, no move", nil, []string{"a", "a", "a", "a"}, nil, []string{"b"}, 4, false, 0, 0, false},
		{"one move to the other zone", even, []string{"a", "a", "a", "b"}, nil, []string{"b"}, 4, false, 0, 1, true},
		{"already even", even, []string{"a", "a", "b"}, nil, []string{"b"}, 4, false, 0, 0, false},
		{"no capacity in the other zone", even, []string{"a", "a", "a", "a"}, nil, []string{"a"}, 4, false, 0, 0, false},
		{"a zone in doubt", even, []string{"a", "a", "a", "a"}, nil, []string{"b"}, 0, false, 0, 0, true},
		{"production waits", even, []string{"a", "a", "a", "a"}, nil, []string{"b"}, 4, true, 0, 0, true},
		{"a replica waits", even, []string{"a", "a", "a"}, []int{3}, []string{"b"}, 4, false, 1, 0, false},
		{"too few would survive with 3 of 4 in a zone", survive, []string{"a", "a", "a", "b"}, nil, []string{"b"}, 4, false, 0, 1, true},
		{"none would survive with 2 of 2 in a zone", survive, []string{"a", "a"}, nil, []string{"b"}, 4, false, 0, 1, true},
		{"rule allows only one zone", &SpreadRule{Even: true, Zones: []string{"a"}}, []string{"a", "a"}, []int{2}, []string{"b"}, 4, false, 0, 0, false},
	} {
		j := job("wk-1", wire.Service, wire.Production, 4, c.waiting...)
		j.SpreadRule, j.Tasks = c.rule, len(c.in)+len(c.waiting)
		var machines []*Machine
		for i, zone := range c.in {
			machines = append(machines, machine(fmt.Sprint("n-", i), zone, Task{Job: j, Index: i, RunTime: time.Minute}))
		}
		for _, zone := range c.capacity {
			machines = append(machines, machine("n-"+zone, zone))
		}
		jobs := []*Job{j}
		if c.otherWaits {
			jobs = append(jobs, job("wk-2", wire.Service, wire.Production, 99, 0))
		}
		snapshot := testSnapshot(jobs, machines...)
		snapshot.MaxMoves = c.maxMoves
		plan := Schedule(snapshot)
		for _, l := range plan.Launches {
			if l.Machine != "n-b" {
				t.Errorf("%s: launched on %s, want n-b", c.name, l.Machine)
			}
		}
		if len(plan.Launches) != c.launch || len(plan.Stops) != c.stop || plan.SpreadViolated != c.violated {
			t.Errorf("%s: unexpected plan: %d launches, stops %+v, spread violated: %v", c.name, len(plan.Launches), plan.Stops, plan.SpreadViolated)
		}
	}
}
