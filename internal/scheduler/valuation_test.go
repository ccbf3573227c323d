package scheduler

import (
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// TestValuation checks that a small task on a machine with idle GPUs costs more worth than on a machine
// without GPUs, and that a machine type needed by another class has that class's loss as opportunity cost.
func TestValuation(t *testing.T) {
	large, small := job("wk-1", wire.Array, wire.Normal, 4, 0, 1), job("wk-2", wire.Array, wire.Normal, 0, 0, 1)
	large.CPUs, large.MemoryGB = 16, 64
	small.CPUs = 4
	gpuType := wire.MachineType{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, Price: 4}
	expensiveType := wire.MachineType{Name: "g4-large", CPUs: 32, GPUs: 4, MemoryGB: 64, Price: 10}
	cpuType := wire.MachineType{Name: "c16", CPUs: 16, MemoryGB: 64, Price: 1}
	types := []wire.MachineType{gpuType, expensiveType, cpuType}
	v := newValuation([]*Job{large, small}, types)
	gpuMachine, cpuMachine := &Machine{Free: capacityOf(&gpuType)}, &Machine{Free: capacityOf(&cpuType)}
	if onGPUs, onCPUs := v.lossFromPlacing(gpuMachine, ResourcesOf(small.Job)), v.lossFromPlacing(cpuMachine, ResourcesOf(small.Job)); onGPUs <= onCPUs {
		t.Errorf("lost worth %v on the GPU machine, %v on the CPU machine; want more on the GPU machine", onGPUs, onCPUs)
	}
	if cost := v.opportunityCost(small, &gpuType, false, types); cost != opportunityCostShare*(10-4) {
		t.Errorf("opportunity cost of a GPU machine: got %v", cost)
	}
	if cost := v.opportunityCost(small, &cpuType, false, types); cost != 0 {
		t.Errorf("opportunity cost of a CPU machine: got %v, want 0", cost)
	}
}
