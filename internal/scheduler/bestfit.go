package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// candidate is a machine that has a job's image, with what placing a task there costs.
type candidate struct {
	*Machine
	valueLost float64 // value of free capacity that the task takes, see valuation.lost
	cost      float64 // price of the task's share of a machine of this offer
}

// bestFit picks the machine for a task: one that has the image or is fetching it, else the emptiest machine of a zone.
// Among machines with the image it picks the one where the least value is lost, and among zones the one whose emptiest
// machine is the fullest. It returns nil if no machine has capacity now.
func (s *search) bestFit() *Machine {
	if !s.scanned {
		s.scan()
	}
	if s.job.SpreadRule != nil {
		return s.bestFitForSpread()
	}
	best := -1
	for i, c := range s.withImage {
		if zoneAllowed(s.job, s.tasksByZone, c.Zone) && (best < 0 || betterCandidate(s.job, c, s.withImage[best])) {
			best = i
		}
	}
	if best >= 0 {
		return s.withImage[best].Machine
	}
	return s.bestFitWithoutImage()
}

// bestFitWithoutImage picks a machine for a task whose image must be fetched: the emptiest machine of one of the
// zones.
func (s *search) bestFitWithoutImage() (pick *Machine) {
	emptiest := make(map[string]*Machine)
	for _, m := range s.withoutImage {
		if known := emptiest[m.Zone]; known == nil || emptierMachine(s.job, m, known) {
			emptiest[m.Zone] = m
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(emptiest)) {
		m := emptiest[zone]
		if zoneAllowed(s.job, s.tasksByZone, zone) && (pick == nil || s.betterZone(m, pick)) {
			pick = m
		}
	}
	return pick
}

// betterZone reports whether m is preferred to pick, a machine in another zone.
func (s *search) betterZone(m, pick *Machine) bool {
	here, there := s.tasksByZone[m.Zone], s.tasksByZone[pick.Zone]
	return pick.reservedForOther(s.job) && !m.reservedForOther(s.job) ||
		here < there && s.job.Spread ||
		here == there && fullerMachine(s.job, m, pick)
}

// costTolerance is the difference, as a fraction of their sum, up to which two costs count as equal.
const costTolerance = 1e-6

// costsDiffer reports whether two costs differ by more than rounding errors.
func costsDiffer(a, b float64) bool { return math.Abs(a-b) > costTolerance*(a+b) }

// betterCandidate reports whether a is preferred to b.
func betterCandidate(j *Job, a, b candidate) bool {
	if ra, rb := a.reservedForOther(j), b.reservedForOther(j); ra != rb {
		return rb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if ea, eb := a.empty(), b.empty(); ea != eb {
		return eb // prefer the used machine: an empty one may be released
	}
	if fa, fb := a.isFetching(j.Image), b.isFetching(j.Image); j.Priority == wire.Production && fa != fb {
		return fb
	}
	if costsDiffer(a.cost, b.cost) {
		return a.cost < b.cost // so that expensive machines become empty first
	}
	if costsDiffer(a.valueLost, b.valueLost) {
		return a.valueLost < b.valueLost
	}
	return fullerMachine(j, a.Machine, b.Machine)
}

// fullerMachine reports whether a is preferred to b when the emptier machine is to stay free: spot machines first if
// the job may use them, then the machine with less free capacity.
func fullerMachine(j *Job, a, b *Machine) bool {
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	return cmp.Or(cmp.Compare(a.Free.GPUs, b.Free.GPUs), cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.ID, b.ID)) < 0
}

// emptierMachine reports whether a is preferred to b for a task whose image must be fetched: machines that are not
// reserved for another job first, then spot machines if the job may use them, then for production machines without
// other fetches, then the machine with more free capacity.
func emptierMachine(j *Job, a, b *Machine) bool {
	if ra, rb := a.reservedForOther(j), b.reservedForOther(j); ra != rb {
		return rb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if fa, fb := a.hasNoFetches(), b.hasNoFetches(); j.Priority == wire.Production && fa != fb {
		return fa
	}
	return fullerMachine(j, b, a)
}
