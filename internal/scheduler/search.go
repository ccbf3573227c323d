package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// search looks for machines for the tasks of one job, or for one try of it in one zone. Free
// capacity only shrinks meanwhile, so that what did not fit is not looked at again.
type search struct {
	planner      *planner
	job          *Job
	need         Resources      // of one task
	tasksByZone  map[string]int // of the job, those included that the search has placed
	zone         string         // the only zone to search in, or empty
	maxShareCost float64        // bound for the price of a task's share of a new machine; 0 for none
	spotOnly     bool           // only spot machines that are up
	noPreempt    bool           // nothing is stopped

	// Machines that are up and have capacity; set by scan.
	scanned      bool
	withImage    []candidate // they have the image, or fetch it
	withoutImage []*Machine
	deferred     []*Machine // a fetch would slow down one for which production waits

	// By the number of an offer in machinePool.offers.
	allowedOffers []bool    // offers that the job may use
	costByOffer   []float64 // of a task's share; set by priceOffers
	bootingCursor []int     // booting machines that did not fit

	offersByCost     []int // allowed offers, the cheapest first
	waitsForTurnover bool  // soonestMachine found capacity that comes free, on no machine in particular
}

func (pl *planner) newSearch(j *Job, tasksByZone map[string]int, zone string) *search {
	s := &search{planner: pl, job: j, need: ResourcesOf(j.Job), tasksByZone: tasksByZone, zone: zone}
	s.allowedOffers = make([]bool, len(pl.pool.offers))
	for i, o := range pl.pool.offers {
		s.allowedOffers[i] = s.allows(o)
	}
	return s
}

// allows reports whether the job may use an offer, in the zone that is searched.
func (s *search) allows(o Offer) bool {
	return allowsOffer(s.job, o) && (s.zone == "" || s.zone == o.Zone)
}

// permitsOffer reports whether the job may use an offer, by its number.
func (s *search) permitsOffer(offer int) bool {
	if offer < len(s.allowedOffers) {
		return s.allowedOffers[offer]
	}
	return s.allows(s.planner.pool.offers[offer]) // it has come up since the search began
}

// permitsMachine reports whether one more task may be on a machine, capacity aside.
func (s *search) permitsMachine(m *Machine) bool {
	return s.permitsOffer(m.offerIndex) && !s.job.AvoidMachines[m.ID] && zoneAllowed(s.job, s.tasksByZone, m.Zone)
}

// scan finds the machines that are up and have capacity for a task.
func (s *search) scan() {
	s.scanned = true
	s.priceOffers()
	for _, m := range s.planner.pool.usable {
		if !s.allowedOffers[m.offerIndex] || s.spotOnly && !m.Spot || !m.Free.Fits(s.need) || s.job.AvoidMachines[m.ID] {
			continue
		}
		switch {
		case m.hasImage(s.job.Image):
			s.withImage = append(s.withImage, candidate{m, s.planner.valuation.lost(m, s.need), s.costByOffer[m.offerIndex]})
		case m.defersFetch(s.job):
			s.deferred = append(s.deferred, m)
		default:
			s.withoutImage = append(s.withoutImage, m)
		}
	}
}

// countSlots counts how many tasks have capacity now; it may stop at enough.
func (s *search) countSlots(enough int) int {
	n := 0
	for _, c := range s.withImage {
		n += c.Free.Slots(s.need)
	}
	for _, m := range s.withoutImage {
		if n >= enough {
			break
		}
		n += m.Free.Slots(s.need)
	}
	return n
}

// place occupies a machine for a task.
func (s *search) place(m *Machine) {
	s.planner.occupy(s.job, m)
	if s.job.Shape == wire.Array {
		after := s.job.Estimate()
		if t := s.planner.pool.typeOf(m); t != nil && !m.Usable {
			after += wire.Seconds(t.BootS)
		}
		s.planner.turnover.add(m.offerIndex, after, s.need, turnoverShare)
	}
	s.tasksByZone[m.Zone]++
	if s.scanned {
		s.updateCandidates(m)
	}
}

// updateCandidates takes in that a task was placed on a machine: it has the image now, and less capacity.
func (s *search) updateCandidates(m *Machine) {
	i := slices.IndexFunc(s.withImage, func(c candidate) bool { return c.Machine == m })
	if i < 0 {
		k := slices.Index(s.withoutImage, m)
		if k < 0 {
			return // it was no candidate
		}
		s.withoutImage = slices.Delete(s.withoutImage, k, k+1)
		i = len(s.withImage)
		s.withImage = append(s.withImage, candidate{Machine: m, cost: s.costByOffer[m.offerIndex]})
	}
	if !m.Free.Fits(s.need) {
		s.withImage = slices.Delete(s.withImage, i, i+1)
		return
	}
	s.withImage[i].valueLost = s.planner.valuation.lost(m, s.need)
}
