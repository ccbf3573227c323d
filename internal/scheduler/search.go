package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// search looks for machines for the tasks of one job, or for one attempt to place it in one zone. Free capacity only
// shrinks during a search, so that a machine on which a task did not fit is not examined again.
type search struct {
	planner      *planner
	job          *Job
	need         Resources      // needs of one task
	tasksByZone  map[string]int // number of the job's tasks by zone, including those that the search has placed
	zone         string         // the only zone to search in, or empty
	maxShareCost float64        // maximum price of a task's share of a new machine; 0 for no limit
	spotOnly     bool           // use only running spot machines
	noPreempt    bool           // preempt no work

	// Running machines that have capacity; set by scan.
	scanned      bool
	withImage    []candidate // machines that have the image or are fetching it
	withoutImage []*Machine
	deferred     []*Machine // machines on which a fetch would slow down one that a production task waits for

	// Indexed by the position of an offer in machinePool.offers.
	allowedOffers []bool    // whether the job may use the offer
	costByOffer   []float64 // price of a task's share of a machine; set by priceOffers
	bootingCursor []int     // number of leading booting machines on which a task did not fit

	offersByCost     []int // indices of the allowed offers, the cheapest first
	waitsForTurnover bool  // soonestMachine found capacity that ending tasks will free, on no specific machine
}

func (pl *planner) newSearch(j *Job, tasksByZone map[string]int, zone string) *search {
	s := &search{planner: pl, job: j, need: ResourcesOf(j.Job), tasksByZone: tasksByZone, zone: zone}
	s.allowedOffers = make([]bool, len(pl.pool.offers))
	for i, o := range pl.pool.offers {
		s.allowedOffers[i] = s.allows(o)
	}
	return s
}

// allows reports whether the job may use an offer and the offer is in the searched zone.
func (s *search) allows(o Offer) bool {
	return allowsOffer(s.job, o) && (s.zone == "" || s.zone == o.Zone)
}

// permitsOffer is allows for the offer at an index of machinePool.offers.
func (s *search) permitsOffer(offer int) bool {
	if offer < len(s.allowedOffers) {
		return s.allowedOffers[offer]
	}
	return s.allows(s.planner.pool.offers[offer]) // the offer was added after the search began
}

// permitsMachine reports whether one more task may be placed on a machine, regardless of its capacity.
func (s *search) permitsMachine(m *Machine) bool {
	return s.permitsOffer(m.offerIndex) && !s.job.avoids(m.ID) && zoneAllowed(s.job, s.tasksByZone, m.Zone)
}

// scan finds the running machines that have capacity for a task.
func (s *search) scan() {
	s.scanned = true
	s.priceOffers()
	for _, m := range s.planner.pool.usable {
		if !s.allowedOffers[m.offerIndex] || s.spotOnly && !m.Spot || !m.Free.Fits(s.need) || s.job.avoids(m.ID) {
			continue
		}
		switch {
		case m.hasImage(s.job.Image):
			s.withImage = append(s.withImage, candidate{m, s.planner.valuation.lossFromPlacing(m, s.need), s.costByOffer[m.offerIndex]})
		case m.defersFetch(s.job):
			s.deferred = append(s.deferred, m)
		default:
			s.withoutImage = append(s.withoutImage, m)
		}
	}
}

// countSlots counts the tasks for which there is capacity now. It may stop counting at enough.
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

// place occupies capacity on a machine for a task and updates the search.
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

// updateCandidates updates the lists of machines after a task was placed on m, which now has less capacity and will
// have the image.
func (s *search) updateCandidates(m *Machine) {
	i := slices.IndexFunc(s.withImage, func(c candidate) bool { return c.Machine == m })
	if i < 0 {
		at := slices.Index(s.withoutImage, m)
		if at < 0 {
			return // m was not a candidate
		}
		s.withoutImage = slices.Delete(s.withoutImage, at, at+1)
		i = len(s.withImage)
		s.withImage = append(s.withImage, candidate{Machine: m, cost: s.costByOffer[m.offerIndex]})
	}
	if !m.Free.Fits(s.need) {
		s.withImage = slices.Delete(s.withImage, i, i+1)
		return
	}
	s.withImage[i].valueLost = s.planner.valuation.lossFromPlacing(m, s.need)
}
