package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// candidate is a machine that has a job's image, with what a task of it takes there.
type candidate struct {
	*Machine
	valueLost float64 // see valuation.lost
	cost      float64 // of the task's share, by the machine's offer
}

// bestFit picks the machine for a task: one that has the image or fetches it, else the emptiest
// of a zone. Among those with the image it takes the one on which the least value is lost, and
// among zones the one whose emptiest machine is the fullest.
func (s *search) bestFit() *Machine {
	if !s.scanned {
		s.scan()
	}
	if s.job.SpreadRule != nil {
		return s.bestFitEvenly()
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
	return s.emptiestOfAZone()
}

// emptiestOfAZone picks a machine for a task that must fetch its image.
func (s *search) emptiestOfAZone() (pick *Machine) {
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

// betterZone reports whether a machine is to be taken rather than that of another zone.
func (s *search) betterZone(m, pick *Machine) bool {
	here, there := s.tasksByZone[m.Zone], s.tasksByZone[pick.Zone]
	return pick.reservedForOther(s.job) && !m.reservedForOther(s.job) ||
		here < there && s.job.Spread ||
		here == there && fuller(s.job, m, pick)
}

// sameWithin is how much two costs may differ and still count as equal, as a part of their sum.
const sameWithin = 1e-6

// differs reports whether two costs differ by more than rounding.
func differs(a, b float64) bool { return math.Abs(a-b) > sameWithin*(a+b) }

// betterCandidate reports whether a is to be taken rather than b.
func betterCandidate(j *Job, a, b candidate) bool {
	if ra, rb := a.reservedForOther(j), b.reservedForOther(j); ra != rb {
		return rb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if ea, eb := a.empty(), b.empty(); ea != eb {
		return eb // an empty machine may be returned
	}
	if fa, fb := a.isFetching(j.Image), b.isFetching(j.Image); j.Priority == wire.Production && fa != fb {
		return fb
	}
	if differs(a.cost, b.cost) {
		return a.cost < b.cost // so that the expensive ones become empty first
	}
	if differs(a.valueLost, b.valueLost) {
		return a.valueLost < b.valueLost
	}
	return fuller(j, a.Machine, b.Machine)
}

// fuller reports whether a is to be taken rather than b so that others stay free: spot machines
// first where the job may use them, then the one with less capacity.
func fuller(j *Job, a, b *Machine) bool {
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	return cmp.Or(cmp.Compare(a.Free.GPUs, b.Free.GPUs), cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.ID, b.ID)) < 0
}

// emptierMachine reports whether a is to be taken rather than b for a task that must fetch its
// image: spot machines first here too, then the one with more capacity.
func emptierMachine(j *Job, a, b *Machine) bool {
	if ra, rb := a.reservedForOther(j), b.reservedForOther(j); ra != rb {
		return rb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if fa, fb := a.fetchesNothing(), b.fetchesNothing(); j.Priority == wire.Production && fa != fb {
		return fa
	}
	return fuller(j, b, a)
}
