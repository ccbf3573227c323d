package zonerecovery

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// TestRetention checks that a lost machine is released only as long as there is capacity for its work elsewhere, and
// that it is retained otherwise for as long as a replacement would cost.
func TestRetention(t *testing.T) {
	work := scheduler.Resources{CPUs: 8, GPUs: 4, MemoryGB: 32}
	yes, no := func() bool { return true }, func() bool { return false }
	const soon, late = 20 * time.Second, 2 * time.Minute
	for _, c := range []struct {
		name     string
		capacity FreeCapacity
		lost     LostMachine
		retained int // how many of three such machines are retained
	}{
		{"production runs on", FreeCapacity{Free: work, ScaleOuts: 3}, LostMachine{HasProduction: true, Demand: work, CanScaleOut: yes, CutOffFor: soon}, 3},
		{"a full fleet", FreeCapacity{HasQueued: true, Free: work, ScaleOuts: 3}, LostMachine{Demand: work, CanScaleOut: yes, CutOffFor: soon}, 3},
		{"capacity for one", FreeCapacity{Free: work}, LostMachine{Demand: work, CanScaleOut: no, CutOffFor: soon}, 2},
		{"two machines can be requested", FreeCapacity{ScaleOuts: 2}, LostMachine{Demand: work, CanScaleOut: yes, CutOffFor: soon}, 1},
		{"no machine can be requested for such work", FreeCapacity{ScaleOuts: 2}, LostMachine{Demand: work, CanScaleOut: no, CutOffFor: soon}, 3},
		{"no tasks on the machine", FreeCapacity{Free: work, ScaleOuts: 3}, LostMachine{CanScaleOut: yes, CutOffFor: soon}, 3},
		{"cut off for too long", FreeCapacity{HasQueued: true}, LostMachine{Demand: work, CutOffFor: late}, 0},
	} {
		c.lost.ReplacementTime = ReplacementTime(wire.MachineType{BootS: 30, FetchGBps: 0.5}, 10) // 30 + 20 + 60 s
		got := 0
		for range 3 {
			if c.capacity.Retains(c.lost) {
				got++
			}
		}
		if got != c.retained {
			t.Errorf("%s: %d of three machines are retained, want %d", c.name, got, c.retained)
		}
	}
}
