package scheduler

import (
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

func launchesOf(p Plan) string {
	out := ""
	for _, l := range p.Launches {
		out += fmt.Sprintf("%s/%d on %s, ", l.Job.ID, l.TaskIndex, l.Machine)
	}
	return out
}

// TestFirstReplicas: with room for three, each of two services gets one before either has a
// second, and that goes to the one which is further below its replicas.
func TestFirstReplicas(t *testing.T) {
	few := job("wk-3", wire.Service, wire.Production, 4, 2, 3) // of four
	few.Active, few.InZone["b"] = 2, 2
	jobs := []*Job{job("wk-1", wire.Service, wire.Production, 4, 0, 1, 2, 3), job("wk-2", wire.Service, wire.Production, 4, 0, 1, 2, 3), few}
	got := launchesOf(Schedule(testSnapshot(jobs, machine("n-1", "a"), machine("n-2", "a"), machine("n-3", "a"))))
	if want := "wk-1/0 on n-3, wk-2/0 on n-2, wk-1/1 on n-1, "; got != want {
		t.Errorf("%s, not %s", got, want)
	}
}

// TestDeferredFetches: a lesser image is not begun where production waits for one, nor is a
// machine rented for that; and production goes where nothing else is fetched.
func TestDeferredFetches(t *testing.T) {
	top, low := job("wk-1", wire.Service, wire.Production, 1, 0), job("wk-2", wire.Array, wire.Normal, 1, 0)
	low.Image = "other"
	busy, calm := machine("n-1", "a"), machine("n-2", "a")
	busy.AddFetch("third", false)
	calm.Free.GPUs = 2
	plan := Schedule(testSnapshot([]*Job{top, low}, busy, calm))
	if got, want := launchesOf(plan), "wk-1/0 on n-2, wk-2/0 on n-1, "; got != want {
		t.Errorf("%s, not %s", got, want)
	}
	top, low = job("wk-1", wire.Service, wire.Production, 1, 0), job("wk-2", wire.Array, wire.Normal, 1, 0)
	low.Image = "other"
	plan = Schedule(testSnapshot([]*Job{top, low}, machine("n-1", "a")))
	if got, want := launchesOf(plan), "wk-1/0 on n-1, "; got != want || len(plan.ScaleOuts) > 0 {
		t.Errorf("%s, not %s; rents %v", got, want, plan.ScaleOuts)
	}
}

// TestSpreadRules: a replica goes where its service has the fewest, where there is capacity; one at a
// time is moved there while all are up and no production waits; and no more than may be lost are in one zone.
func TestSpreadRules(t *testing.T) {
	even, survive := &SpreadRule{Even: true}, &SpreadRule{Survive: 0.5}
	for _, c := range []struct {
		name         string
		rule         *SpreadRule
		in           []string // zones of its replicas
		waiting      []int
		room         []string // zones with free capacity
		moves        int
		other        bool // production waits elsewhere
		launch, stop int  // how many; launches go to zone b
		uneven       bool
	}{
		{"the fewest", even, []string{"a"}, []int{1}, []string{"a", "b"}, 4, false, 1, 0, false},
		{"no rule, no moves", nil, []string{"a", "a", "a", "a"}, nil, []string{"b"}, 4, false, 0, 0, false},
		{"a move", even, []string{"a", "a", "a", "b"}, nil, []string{"b"}, 4, false, 0, 1, true},
		{"even already", even, []string{"a", "a", "b"}, nil, []string{"b"}, 4, false, 0, 0, false},
		{"no capacity there", even, []string{"a", "a", "a", "a"}, nil, []string{"a"}, 4, false, 0, 0, false},
		{"a zone in doubt", even, []string{"a", "a", "a", "a"}, nil, []string{"b"}, 0, false, 0, 0, true},
		{"production waits", even, []string{"a", "a", "a", "a"}, nil, []string{"b"}, 4, true, 0, 0, true},
		{"one is away", even, []string{"a", "a", "a"}, []int{3}, []string{"b"}, 4, false, 1, 0, false},
		{"half survives", survive, []string{"a", "a", "a", "b"}, nil, []string{"b"}, 4, false, 0, 1, true},
		{"half would survive", survive, []string{"a", "a"}, nil, []string{"b"}, 4, false, 0, 1, true},
		{"only there", &SpreadRule{Even: true, Zones: []string{"a"}}, []string{"a", "a"}, []int{2}, []string{"b"}, 4, false, 0, 0, false},
	} {
		j := job("wk-1", wire.Service, wire.Production, 4, c.waiting...)
		j.SpreadRule, j.Tasks = c.rule, len(c.in)+len(c.waiting)
		var machines []*Machine
		for i, zone := range c.in {
			machines = append(machines, machine(fmt.Sprint("n-", i), zone, Task{Job: j, Index: i, RunTime: time.Minute}))
		}
		for _, zone := range c.room {
			machines = append(machines, machine("n-"+zone, zone))
		}
		jobs := []*Job{j}
		if c.other {
			jobs = append(jobs, job("wk-2", wire.Service, wire.Production, 99, 0))
		}
		pic := testSnapshot(jobs, machines...)
		pic.MaxMoves = c.moves
		plan := Schedule(pic)
		for _, l := range plan.Launches {
			if l.Machine != "n-b" {
				t.Errorf("%s: launched on %s", c.name, l.Machine)
			}
		}
		if len(plan.Launches) != c.launch || len(plan.Stops) != c.stop || plan.SpreadViolated != c.uneven {
			t.Errorf("%s: %d launches, %+v, uneven: %v", c.name, len(plan.Launches), plan.Stops, plan.SpreadViolated)
		}
	}
}
