package scheduler

import (
	"math"

	"amberdeal.example/amberdeal/wire"
)

// Resources is what a task takes or a machine has.
type Resources struct{ CPUs, GPUs, MemoryGB float64 }

// ResourcesOf is what one task of a job takes.
func ResourcesOf(j *wire.Job) Resources { return Resources{j.CPUs, j.GPUs, j.MemoryGB} }

// AddScaled adds, n times.
func (a Resources) AddScaled(b Resources, n float64) Resources {
	return Resources{a.CPUs + n*b.CPUs, a.GPUs + n*b.GPUs, a.MemoryGB + n*b.MemoryGB}
}

// Fits reports whether b fits into a.
func (a Resources) Fits(b Resources) bool {
	const dust = 1e-6
	return b.CPUs <= a.CPUs+dust && b.GPUs <= a.GPUs+dust && b.MemoryGB <= a.MemoryGB+dust
}

// Slots is how many times b fits into a.
func (a Resources) Slots(b Resources) int {
	n := math.Inf(1)
	for _, p := range [][2]float64{{a.CPUs, b.CPUs}, {a.GPUs, b.GPUs}, {a.MemoryGB, b.MemoryGB}} {
		if p[1] > 0 {
			n = min(n, math.Floor(p[0]/p[1]+1e-6))
		}
	}
	return int(min(n, wire.MaxTasks))
}

func (a Resources) min(b Resources) Resources {
	return Resources{min(a.CPUs, b.CPUs), min(a.GPUs, b.GPUs), min(a.MemoryGB, b.MemoryGB)}
}

// shortfall is the part of an amount that is not there, of whatever it lacks most.
func (a Resources) shortfall(need Resources) float64 {
	most := 0.0
	for _, p := range [][2]float64{{a.CPUs, need.CPUs}, {a.GPUs, need.GPUs}, {a.MemoryGB, need.MemoryGB}} {
		if p[1] > 0 {
			most = max(most, 1-p[0]/p[1])
		}
	}
	return min(most, 1)
}
