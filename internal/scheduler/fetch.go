package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// Fetch is an image that is on its way to a machine.
type Fetch struct {
	Image         string
	ForProduction bool // production waits for it
}

// AddFetch notes an image that is on its way to a machine.
func (m *Machine) AddFetch(image string, forProduction bool) {
	for i := range m.Fetches {
		if m.Fetches[i].Image == image {
			m.Fetches[i].ForProduction = m.Fetches[i].ForProduction || forProduction
			return
		}
	}
	m.Fetches = append(m.Fetches, Fetch{image, forProduction})
}

func containsFetch(list []Fetch, image string) bool {
	return slices.ContainsFunc(list, func(f Fetch) bool { return f.Image == image })
}

// fetchesNothing reports whether no image is on its way to a machine: a new one gets the
// machine's whole fetch rate.
func (m *Machine) fetchesNothing() bool { return len(m.Fetches)+len(m.plannedFetches) == 0 }

// isFetching reports whether an image is still on its way to a machine.
func (m *Machine) isFetching(image string) bool {
	return containsFetch(m.Fetches, image) || containsFetch(m.plannedFetches, image)
}

// defersFetch reports whether a machine is not to begin with the image of a job yet: all fetches
// may share the machine's rate, and production waits for one that is under way.
func (m *Machine) defersFetch(j *Job) bool {
	forProduction := func(f Fetch) bool { return f.ForProduction }
	return j.Priority != wire.Production &&
		(slices.ContainsFunc(m.Fetches, forProduction) || slices.ContainsFunc(m.plannedFetches, forProduction))
}
