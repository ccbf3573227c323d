package scheduler

import (
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// TestAvoidance guards against a task or gang that waits beside the only machine with room because its job has failed there, and
// against one that goes back there although it has another place, or has only just failed.
func TestAvoidance(t *testing.T) {
	for _, shape := range []wire.Shape{wire.Array, wire.Service, wire.Gang} {
		for _, c := range []struct {
			name      string
			avoidance Avoidance
			other     bool // another machine has room
			rentable  bool // the cloud has machines
			want      string
			scaleOuts int
		}{
			{name: "nothing else fits", avoidance: AvoidIfPossible, want: "n-1"},
			{name: "nothing else fits, failed just now", avoidance: AvoidStrictly},
			{name: "another machine fits", avoidance: AvoidIfPossible, other: true, want: "n-2"},
			{name: "a machine can be rented", avoidance: AvoidIfPossible, rentable: true, scaleOuts: 1},
		} {
			t.Run(string(shape)+", "+c.name, func(t *testing.T) {
				j := job("wk-1", shape, wire.Normal, 1, 0, 1)
				j.Tasks, j.AvoidMachines = 2, Avoidances{"n-1": c.avoidance}
				snapshot := testSnapshot([]*Job{j}, machine("n-1", "a"))
				if c.other {
					snapshot.Machines = append(snapshot.Machines, machine("n-2", "a"))
				}
				if !c.rentable {
					withoutCapacity(snapshot)
				}
				plan := Schedule(snapshot)
				var got string
				for _, l := range plan.Launches {
					got = l.Machine
				}
				if got != c.want || len(plan.Launches) != 2 && c.want != "" || len(plan.ScaleOuts) != c.scaleOuts {
					t.Errorf("launches %+v, scale-outs %+v, want on %q and %d", plan.Launches, plan.ScaleOuts, c.want, c.scaleOuts)
				}
			})
		}
	}
}
