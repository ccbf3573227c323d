package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// Fetch is an image that a machine is fetching.
type Fetch struct {
	Image         string
	ForProduction bool // a production task waits for the image
}

// AddFetch records that the machine is fetching an image, once per image.
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

// hasNoFetches reports whether the machine fetches no image now and will fetch none for this plan, so that a
// new fetch gets the machine's whole bandwidth.
func (m *Machine) hasNoFetches() bool { return len(m.Fetches)+len(m.plannedFetches) == 0 }

// isFetching reports whether the machine is fetching an image, or will for this plan.
func (m *Machine) isFetching(image string) bool {
	return containsFetch(m.Fetches, image) || containsFetch(m.plannedFetches, image)
}

// defersFetch reports whether the machine must not start to fetch a job's image yet: fetches may share the machine's
// bandwidth, and a production task waits for one that is in progress.
func (m *Machine) defersFetch(j *Job) bool {
	forProduction := func(f Fetch) bool { return f.ForProduction }
	return j.Priority != wire.Production &&
		(slices.ContainsFunc(m.Fetches, forProduction) || slices.ContainsFunc(m.plannedFetches, forProduction))
}
