package scheduler

import (
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// TestResources checks that slots are counted by the scarcest resource, and that rounding errors are tolerated.
func TestResources(t *testing.T) {
	machine := Resources{CPUs: 16, GPUs: 4, MemoryGB: 64, tasks: 12}
	for _, c := range []struct {
		name      string
		need      Resources
		slots     int
		shortfall float64
	}{
		{"by CPUs", Resources{CPUs: 5, GPUs: 1, MemoryGB: 1}, 3, 0},
		{"by GPUs", Resources{GPUs: 3}, 1, 0},
		{"by memory", Resources{CPUs: 1, MemoryGB: 32}, 2, 0},
		{"rounding", Resources{CPUs: 16 + 1e-7}, 1, 0},
		{"half of the memory lacks", Resources{CPUs: 1, MemoryGB: 128}, 0, 0.5},
		{"by tasks", TaskResources(0.5, 0, 1), 12, 0},
		{"nothing needed", Resources{}, wire.MaxTasks, 0},
	} {
		if got := machine.Slots(c.need); got != c.slots {
			t.Errorf("%s: %d slots, want %d", c.name, got, c.slots)
		}
		if got := machine.Fits(c.need); got != (c.slots > 0) {
			t.Errorf("%s: Fits returned %v", c.name, got)
		}
		if got := machine.shortfall(c.need); got > c.shortfall+epsilon || got < c.shortfall-epsilon {
			t.Errorf("%s: shortfall %v, want %v", c.name, got, c.shortfall)
		}
	}
	if got := machine.AddScaled(Resources{CPUs: 4, GPUs: 1, MemoryGB: 8}, -5); got != (Resources{-4, -1, 24, 12}) || got.Slots(Resources{CPUs: 1}) >= 0 {
		t.Errorf("got %+v left, with %d slots", got, got.Slots(Resources{CPUs: 1}))
	}
	if got := machine.Scaled(0.5).min(Resources{10, 1, 99, 5}); got != (Resources{8, 1, 32, 5}) {
		t.Errorf("minimum of each resource: got %+v", got)
	}
}
