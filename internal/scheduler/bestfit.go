package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// candidate is a machine with what placing a task there spoils.
type candidate struct {
	*Machine
	valueLost float64
	cost      float64 // of a task's share, by the offer
}

// bestFit picks the machine for a task: one that holds the image or fetches
// it, else the roomiest of a zone. Among holders the one is taken whose room is
// spoilt least, and among zones the one whose roomiest machine is the fullest.
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
	roomiest := make(map[string]*Machine)
	for _, m := range s.withoutImage {
		if r := roomiest[m.Zone]; r == nil || emptierMachine(s.job, m, r) {
			roomiest[m.Zone] = m
		}
	}
	var pick *Machine
	for _, zone := range slices.Sorted(maps.Keys(roomiest)) {
		m := roomiest[zone]
		if zoneAllowed(s.job, s.tasksByZone, zone) && (pick == nil || pick.reservedForOther(s.job) && !m.reservedForOther(s.job) || s.tasksByZone[zone] < s.tasksByZone[pick.Zone] && s.job.Spread || s.tasksByZone[zone] == s.tasksByZone[pick.Zone] && fuller(s.job, m, pick)) {
			pick = m
		}
	}
	return pick
}

// betterCandidate reports whether a is to be taken rather than b.
func betterCandidate(j *Job, a, b candidate) bool {
	if ka, kb := a.reservedForOther(j), b.reservedForOther(j); ka != kb {
		return kb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if ea, eb := a.empty(), b.empty(); ea != eb {
		return eb // an empty machine may be returned
	}
	if ca, cb := a.isFetching(j.Image), b.isFetching(j.Image); j.Priority == wire.Production && ca != cb {
		return cb
	}
	if math.Abs(a.cost-b.cost) > 1e-6*(a.cost+b.cost) {
		return a.cost < b.cost // so that the dear ones fall empty first
	}
	if math.Abs(a.valueLost-b.valueLost) > 1e-6*(a.valueLost+b.valueLost) {
		return a.valueLost < b.valueLost
	}
	return fuller(j, a.Machine, b.Machine)
}

// fuller reports whether a is the better of two machines for keeping others
// free: cheap ones first where the job may, then the one with less room.
func fuller(j *Job, a, b *Machine) bool {
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	return cmp.Or(cmp.Compare(a.Free.GPUs, b.Free.GPUs), cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.ID, b.ID)) < 0
}

// emptierMachine reports whether a is the better of two machines for a task that must
// fetch its image: cheap ones first here too, then the one with more room.
func emptierMachine(j *Job, a, b *Machine) bool {
	if ka, kb := a.reservedForOther(j), b.reservedForOther(j); ka != kb {
		return kb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if ca, cb := a.fetchesNothing(), b.fetchesNothing(); j.Priority == wire.Production && ca != cb {
		return ca
	}
	return fuller(j, b, a)
}
