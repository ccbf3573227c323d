package scheduler

import (
	"math"

	"amberdeal.example/amberdeal/wire"
)

// epsilon is the tolerance for rounding errors when resources are compared.
const epsilon = 1e-6

// Resources are the resources that a task needs, or that a machine has in total or free.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// ResourcesOf returns the resources that one task of a job needs.
func ResourcesOf(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// capacityOf returns the resources of an empty machine of a type.
func capacityOf(t *wire.MachineType) Resources { return Resources{t.CPUs, t.GPUs, t.MemoryGB} }

// AddScaled returns r plus n times other; a negative n subtracts.
func (r Resources) AddScaled(other Resources, n float64) Resources {
	return Resources{r.CPUs + n*other.CPUs, r.GPUs + n*other.GPUs, r.MemoryGB + n*other.MemoryGB}
}

// Scaled returns r multiplied by n.
func (r Resources) Scaled(n float64) Resources { return Resources{}.AddScaled(r, n) }

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPUs <= r.CPUs+epsilon && need.GPUs <= r.GPUs+epsilon && need.MemoryGB <= r.MemoryGB+epsilon
}

// Slots returns how many times need fits into r. It is negative if a needed resource of r is negative.
func (r Resources) Slots(need Resources) int {
	n := min(slotsOfResource(r.CPUs, need.CPUs), slotsOfResource(r.GPUs, need.GPUs), slotsOfResource(r.MemoryGB, need.MemoryGB))
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
	return min(1, max(0, missingFraction(r.CPUs, need.CPUs), missingFraction(r.GPUs, need.GPUs), missingFraction(r.MemoryGB, need.MemoryGB)))
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
	return Resources{min(r.CPUs, other.CPUs), min(r.GPUs, other.GPUs), min(r.MemoryGB, other.MemoryGB)}
}
