package scheduler

import (
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// search looks for machines for the tasks of one job, or for one try of it in
// one zone. Room only shrinks meanwhile, so that what did not fit is not looked
// at again.
type search struct {
	planner       *planner
	job           *Job
	need          Resources
	tasksByZone   map[string]int // tasks by zone
	zone          string         // the only one, or empty
	maxShareCost  float64        // price of a task's share of a new machine, 0 for none
	allowedOffers []bool         // by offer

	spotOnly     bool
	scanned      bool
	withImage    []candidate // with the image and room
	withoutImage []*Machine  // with room
	deferred     []*Machine  // with room, where an image comes that this one's would slow down

	costByOffer      []float64 // by offer
	offersByCost     []int     // offers, the cheapest first
	bootingCursor    []int     // by offer, the booting machines that did not fit
	noPreempt        bool
	waitsForTurnover bool // next has found room that comes free, on no machine in particular
}

func (pl *planner) newSearch(j *Job, in map[string]int, zone string) *search {
	s := &search{planner: pl, job: j, need: ResourcesOf(j.Job), tasksByZone: in, zone: zone, allowedOffers: make([]bool, len(pl.offers))}
	for i, o := range pl.offers {
		s.allowedOffers[i] = allowsOffer(j, o) && (zone == "" || zone == o.Zone)
	}
	return s
}

// permitsOffer reports whether the job may use an offer.
func (s *search) permitsOffer(offer int) bool {
	if offer < len(s.allowedOffers) {
		return s.allowedOffers[offer]
	}
	o := s.planner.offers[offer] // new since the search began
	return allowsOffer(s.job, o) && (s.zone == "" || s.zone == o.Zone)
}

// permitsMachine reports whether one more task may be on a machine, room aside.
func (s *search) permitsMachine(m *Machine) bool {
	return s.permitsOffer(m.offerIndex) && !s.job.AvoidMachines[m.ID] && zoneAllowed(s.job, s.tasksByZone, m.Zone)
}

func (s *search) scan() {
	s.scanned = true
	s.priceOffers()
	for _, m := range s.planner.usable {
		if !s.allowedOffers[m.offerIndex] || s.spotOnly && !m.Spot || !m.Free.Fits(s.need) || s.job.AvoidMachines[m.ID] {
			continue
		}
		if m.hasImage(s.job.Image) {
			s.withImage = append(s.withImage, candidate{m, s.planner.valueLost(m, s.need), s.costByOffer[m.offerIndex]})
		} else if m.defersFetch(s.job) {
			s.deferred = append(s.deferred, m)
		} else {
			s.withoutImage = append(s.withoutImage, m)
		}
	}
}

// countSlots counts how many tasks have room now, up to a number.
func (s *search) countSlots(most int) int {
	n := 0
	for _, c := range s.withImage {
		n += c.Free.Slots(s.need)
	}
	for _, m := range s.withoutImage {
		if n >= most {
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
		if t := s.planner.types[m.Type]; t != nil && !m.Usable {
			after += wire.Seconds(t.BootS)
		}
		s.planner.addTurnover(m.offerIndex, after, s.need, turnoverShare)
	}
	s.tasksByZone[m.Zone]++
	if !s.scanned {
		return
	}
	i := slices.IndexFunc(s.withImage, func(c candidate) bool { return c.Machine == m })
	if i < 0 {
		if k := slices.Index(s.withoutImage, m); k >= 0 {
			s.withoutImage = slices.Delete(s.withoutImage, k, k+1)
			i, s.withImage = len(s.withImage), append(s.withImage, candidate{Machine: m, cost: s.costByOffer[m.offerIndex]})
		}
	}
	switch {
	case i < 0:
	case m.Free.Fits(s.need):
		s.withImage[i].valueLost = s.planner.valueLost(m, s.need)
	default:
		s.withImage = slices.Delete(s.withImage, i, i+1)
	}
}
