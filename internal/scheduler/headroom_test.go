package scheduler

import (
	"fmt"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestHeadroom checks that headroom is rented in advance for gangs that must start in less time than
// a machine takes to boot and that are submitted at a steady rate, and that small work that may wait
// does not use it. A burst that is over must not lead to headroom.
func TestHeadroom(t *testing.T) {
	snapshotWithGangs := func(ages ...time.Duration) *Snapshot {
		var jobs []*Job
		var machines []*Machine
		for i, age := range ages {
			gang := job(fmt.Sprint("wk-", i), wire.Gang, wire.High, 4)
			gang.Class, gang.Tasks, gang.Age = "gang", 1, age
			jobs = append(jobs, gang)
			machines = append(machines, machine(fmt.Sprint("n-", i), "a", Task{Job: gang}))
		}
		small := job("wk-99", wire.Array, wire.Normal, 1, 0)
		small.EstimateS = 60
		snapshot := testSnapshot(append(jobs, small), append(machines, machine("n-99", "a"))...)
		snapshot.Objectives = []Objective{{StartWithin, "gang", 20 * time.Second}}
		return snapshot
	}
	steady := []time.Duration{5, 20, 35, 50, 65, 80}
	for i := range steady {
		steady[i] *= time.Second
	}
	if plan := Schedule(snapshotWithGangs(steady...)); len(plan.Launches) != 0 || len(plan.ScaleOuts) != 1 || plan.ScaleOuts[0].Count < 1 {
		t.Errorf("steady demand: launches %v, scale-outs %v", plan.Launches, plan.ScaleOuts)
	}
	burst := []time.Duration{61 * time.Second, 62 * time.Second, 63 * time.Second, 64 * time.Second}
	if plan := Schedule(snapshotWithGangs(burst...)); len(plan.Launches) != 1 || len(plan.ScaleOuts) != 0 {
		t.Errorf("after a burst: launches %v, scale-outs %v", plan.Launches, plan.ScaleOuts)
	}
}
