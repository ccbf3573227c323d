package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// What comes first where much has to start at once, as after a zone has returned: among
// production, one replica of every service before the second of any, then by how far each
// is below its replicas. And images are fetched for these before others.

// compareProduction compares production jobs by how much of each waits, and then by how soon the image
// could be there, as far as that differs by much.
func (pl *planner) compareProduction(a, b *Job) int {
	if a.Priority != wire.Production || b.Priority != wire.Production {
		return 0
	}
	missing := func(j *Job) float64 {
		if j.Shape != wire.Service {
			return float64(min(1, len(j.Waiting)))
		}
		return float64(len(j.Waiting)) / float64(j.Tasks)
	}
	return cmp.Or(cmp.Compare(missing(b), missing(a)), cmp.Compare(pl.fetchTime(a)/fetchTimeStep, pl.fetchTime(b)/fetchTimeStep))
}

// fetchTimeStep is the step in which fetches differ by much: that of weights, which take longer
// than a machine boots.
const fetchTimeStep = 30 * time.Second

// launchFirstReplicas launches one replica of every service that has none, where there is room, before
// the others of any. Where tiers are set, these are the services of the first one.
func (pl *planner) launchFirstReplicas() {
	for _, j := range pl.Jobs {
		if j.Priority != wire.Production || pl.tiering != nil && j.tier > 0 {
			return // these come first in the order
		}
		if j.Shape == wire.Service && j.Active+j.RemoteTasks == 0 && len(j.Waiting) > 1 && pl.Teams[j.Team] != nil {
			pl.beginJob(j, false)
			j.launchedEarly = 1 - len(pl.newSearch(j, j.InZone, "").launchNow(j.Waiting[:1]))
		}
	}
}

// Fetch is an image that is on its way to a machine.
type Fetch struct {
	Image         string
	ForProduction bool // production waits for it
}

// AddFetch notes an image that is on its way to a machine.
func (m *Machine) AddFetch(image string, top bool) {
	for i := range m.Fetches {
		if m.Fetches[i].Image == image {
			m.Fetches[i].ForProduction = m.Fetches[i].ForProduction || top
			return
		}
	}
	m.Fetches = append(m.Fetches, Fetch{image, top})
}

func containsFetch(list []Fetch, image string) bool {
	return slices.ContainsFunc(list, func(f Fetch) bool { return f.Image == image })
}

// fetchesNothing reports whether nothing is being fetched to a machine: what comes there has its whole
// rate.
func (m *Machine) fetchesNothing() bool { return len(m.Fetches)+len(m.plannedFetches) == 0 }

// isFetching reports whether an image is still on its way to a machine.
func (m *Machine) isFetching(image string) bool {
	return containsFetch(m.Fetches, image) || containsFetch(m.plannedFetches, image)
}

// defersFetch reports whether a machine is not to begin with the image of a job: it may share its
// rate among all that it fetches, and production waits for one of these.
func (m *Machine) defersFetch(j *Job) bool {
	top := func(f Fetch) bool { return f.ForProduction }
	return j.Priority != wire.Production && (slices.ContainsFunc(m.Fetches, top) || slices.ContainsFunc(m.plannedFetches, top))
}

// deferredMachine finds room on a machine that fetches for production: the task waits for that, and
// none is rented for it.
func (s *search) deferredMachine() *Machine {
	for _, m := range s.deferred {
		if m.Free.Fits(s.need) && s.permitsMachine(m) {
			return m
		}
	}
	return nil
}

// OfferAllowed reports whether the tasks of a job may ever be on machines of an offer.
func OfferAllowed(j *wire.Job, o Offer) bool { return allowsOffer(&Job{Job: j}, o) }

// sumSpareCapacity sums what is left on machines that are up.
func (pl *planner) sumSpareCapacity() {
	for _, m := range pl.usable {
		if m.Usable {
			pl.plan.SpareCapacity = pl.plan.SpareCapacity.AddScaled(m.Free, 1)
		}
	}
}
