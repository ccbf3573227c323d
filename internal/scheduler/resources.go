package scheduler

import (
	"cmp"
	"math"

	"amberdeal.example/amberdeal/wire"
)

// epsilon is the tolerance for rounding errors when resources are compared.
const epsilon = 1e-6

// Resources are the resources that a task needs, or that a machine has in total or free.
type Resources struct {
	CPUs, GPUs, MemoryGB float64
	// tasks is the number of tasks: 1 for what a task needs, and for a machine how many more tasks it may have.
	// A machine may have no more tasks than its record in the state service may name.
	tasks float64
}

// TaskResources returns the resources that a task needs.
func TaskResources(cpus, gpus, memoryGB float64) Resources {
	return Resources{CPUs: cpus, GPUs: gpus, MemoryGB: memoryGB, tasks: 1}
}

// ResourcesOf returns the resources that one task of a job needs.
func ResourcesOf(j *wire.Job) Resources { return TaskResources(j.CPUs, j.GPUs, j.MemoryGB) }

// CapacityOf returns the resources of an empty machine of a type that may have a number of tasks; 0 stands for any
// number.
func CapacityOf(t *wire.MachineType, maxTasks int) Resources {
	return Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, tasks: float64(cmp.Or(maxTasks, wire.MaxTasks))}
}

// capacityOf is CapacityOf for any number of tasks.
func capacityOf(t *wire.MachineType) Resources { return CapacityOf(t, 0) }

// withoutTaskCount returns the resources without the number of tasks.
func (r Resources) withoutTaskCount() Resources {
	r.tasks = 0
	return r
}

// WithTaskLimit returns the free resources of a machine that may have at most n more tasks.
func (r Resources) WithTaskLimit(n int) Resources {
	r.tasks = min(r.tasks, float64(n))
	return r
}

// AddScaled returns r plus n times other; a negative n subtracts.
func (r Resources) AddScaled(other Resources, n float64) Resources {
	return Resources{r.CPUs + n*other.CPUs, r.GPUs + n*other.GPUs, r.MemoryGB + n*other.MemoryGB, r.tasks + n*other.tasks}
}

// Scaled returns r multiplied by n.
func (r Resources) Scaled(n float64) Resources { return Resources{}.AddScaled(r, n) }

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+epsilon && need.GPUs <= r.GPUs+epsilon && need.MemoryGB <= r.MemoryGB+epsilon && need.tasks <= r.tasks+epsilon
}

// Slots returns how many times need fits into r. It is negative if a needed resource of r is negative.
func (r Resources) Slots(need Resources) int {
	n := min(slotsOfResource(r.CPUs, need.CPUs), slotsOfResource(r.GPUs, need.GPUs), slotsOfResource(r.MemoryGB, need.MemoryGB), slotsOfResource(r.tasks, need.tasks))
	return int(min(n, wire.MaxTasks))
}

// slotsOfResource returns how many times need fits into one kind of resource; it is infinite if none is needed.
func slotsOfResource(have, need float64) float64 {
	if need > 0 {
		return math.Floor(have/need + epsilon)
	}
	return math.Inf(1)
}

// shortfall returns the fraction of need that r lacks, for the resource with the largest such fraction.
func (r Resources) shortfall(need Resources) float64 {
	return min(1, max(0, missingFraction(r.CPUs, need.CPUs), missingFraction(r.GPUs, need.GPUs), missingFraction(r.MemoryGB, need.MemoryGB), missingFraction(r.tasks, need.tasks)))
}

// missingFraction returns the fraction of need that is missing for one kind of resource; it is
// negative if there is more than enough.
func missingFraction(have, need float64) float64 {
	if need > 0 {
		return 1 - have/need
	}
	return 0
}

// min returns the minimum of each resource.
func (r Resources) min(other Resources) Resources {
	return Resources{min(r.CPUs, other.CPUs), min(r.GPUs, other.GPUs), min(r.MemoryGB, other.MemoryGB), min(r.tasks, other.tasks)}
}
