package scheduler

import (
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestHeadroom: gangs that must start sooner than a machine boots come at a
// steady rate, so that headroom for them is rented before they come, and small work
// that may wait does not take it. A burst that is over counts for nothing.
func TestHeadroom(t *testing.T) {
	world := func(ages ...time.Duration) *Snapshot {
		var jobs []*Job
		var machines []*Machine
		for i, age := range ages {
			g := job(fmt.Sprint("wk-", i), wire.Gang, wire.High, 4)
			g.Class, g.Tasks, g.Age = "gang", 1, age
			jobs = append(jobs, g)
			machines = append(machines, machine(fmt.Sprint("n-", i), "a", Task{Job: g}))
		}
		small := job("wk-99", wire.Array, wire.Normal, 1, 0)
		small.EstimateS = 60
		p := testSnapshot(append(jobs, small), append(machines, machine("n-99", "a"))...)
		p.Objectives = []Objective{{StartWithin, "gang", 20 * time.Second}}
		return p
	}
	steady := []time.Duration{5, 20, 35, 50, 65, 80}
	for i := range steady {
		steady[i] *= time.Second
	}
	if plan := Schedule(world(steady...)); len(plan.Launches) != 0 || len(plan.ScaleOuts) != 1 || plan.ScaleOuts[0].Count < 1 {
		t.Errorf("steady demand: launches %v, scale-outs %v", plan.Launches, plan.ScaleOuts)
	}
	burst := []time.Duration{61 * time.Second, 62 * time.Second, 63 * time.Second, 64 * time.Second}
	if plan := Schedule(world(burst...)); len(plan.Launches) != 1 || len(plan.ScaleOuts) != 0 {
		t.Errorf("after a burst: launches %v, scale-outs %v", plan.Launches, plan.ScaleOuts)
	}
}
