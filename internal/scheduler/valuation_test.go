package scheduler

import (
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// TestValuation: a small task beside idle GPUs spoils more of their worth than on a machine without,
// and a type that another class needs costs what that class would lose.
func TestValuation(t *testing.T) {
	large, small := job("wk-1", wire.Array, wire.Normal, 4, 0, 1), job("wk-2", wire.Array, wire.Normal, 0, 0, 1)
	large.CPUs, large.MemoryGB = 16, 64
	small.CPUs = 4
	gpus := wire.MachineType{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, Price: 4}
	dear := wire.MachineType{Name: "g4-large", CPUs: 32, GPUs: 4, MemoryGB: 64, Price: 10}
	plain := wire.MachineType{Name: "c16", CPUs: 16, MemoryGB: 64, Price: 1}
	types := []wire.MachineType{gpus, dear, plain}
	v := newValuation([]*Job{large, small}, types)
	beside, apart := &Machine{Free: capacityOf(&gpus)}, &Machine{Free: capacityOf(&plain)}
	if on, off := v.lost(beside, ResourcesOf(small.Job)), v.lost(apart, ResourcesOf(small.Job)); on <= off {
		t.Errorf("beside GPUs %v is lost, apart %v", on, off)
	}
	if cost := v.opportunityCost(small, &gpus, false, types); cost != opportunityCostShare*(10-4) {
		t.Errorf("a machine with GPUs costs others %v", cost)
	}
	if cost := v.opportunityCost(small, &plain, false, types); cost != 0 {
		t.Errorf("a machine without costs others %v", cost)
	}
}
