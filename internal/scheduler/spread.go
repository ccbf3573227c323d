package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// SpreadRule is how the services of a class are spread over the zones, by their operators.
type SpreadRule struct {
	Even    bool     // the counts of two zones differ by one at most, where there is room
	Survive float64  // the share of the replicas that is to survive the loss of any one zone
	Zones   []string // the only ones, or none for any
}

func (r *SpreadRule) permitsZone(zone string) bool {
	return len(r.Zones) == 0 || slices.Contains(r.Zones, zone)
}

// maxPerZone is how many replicas of a service may be in one zone, so that enough survive the loss of
// it: one at least.
func (r *SpreadRule) maxPerZone(tasks int) int {
	return max(1, int(math.Floor(float64(tasks)*(1-r.Survive)+1e-6)))
}

// excess tells how bad it is to have so many replicas in a zone: by evenness first, then by what
// would not survive.
func (r *SpreadRule) excess(j *Job, in int) (much, many int) {
	if r.Survive > 0 {
		much = max(0, in-r.maxPerZone(j.Tasks))
	}
	if r.Even {
		many = in
	}
	return much, many
}

// bestFitEvenly picks the machine for a replica of a service with a rule: in the zone that has the
// fewest of it, where there is room; there, one with the image before the roomiest.
func (s *search) bestFitEvenly() *Machine {
	best := make(map[string]candidate)
	for _, c := range s.withImage {
		if b, known := best[c.Zone]; zoneAllowed(s.job, s.tasksByZone, c.Zone) && (!known || betterCandidate(s.job, c, b)) {
			best[c.Zone] = c
		}
	}
	for _, m := range s.withoutImage {
		b, known := best[m.Zone]
		if known && b.hasImage(s.job.Image) || !zoneAllowed(s.job, s.tasksByZone, m.Zone) {
			continue
		}
		if !known || emptierMachine(s.job, m, b.Machine) {
			best[m.Zone] = candidate{Machine: m}
		}
	}
	pick := ""
	for _, zone := range slices.Sorted(maps.Keys(best)) {
		if pick == "" || s.spreadsBetter(best[zone].Machine, best[pick].Machine) {
			pick = zone
		}
	}
	return best[pick].Machine
}

func (s *search) spreadsBetter(a, b *Machine) bool {
	muchA, manyA := s.job.SpreadRule.excess(s.job, s.tasksByZone[a.Zone]+1)
	muchB, manyB := s.job.SpreadRule.excess(s.job, s.tasksByZone[b.Zone]+1)
	here := func(m *Machine) int {
		if m.hasImage(s.job.Image) {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(muchA, muchB), cmp.Compare(manyA, manyB), cmp.Compare(here(a), here(b))) < 0
}

// rebalanceServices mends services that are uneven: one replica is stopped, and starts where it is missing.
// It can't run twice, so that it is away meanwhile: one of a service at the most, few in all,
// and none while production waits anywhere.
func (pl *planner) rebalanceServices() {
	var ruled []*Job
	for _, j := range pl.Jobs {
		if j.SpreadRule != nil {
			ruled = append(ruled, j)
		}
	}
	if len(ruled) == 0 || pl.Sharded {
		return
	}
	type replica struct {
		on    *Machine
		index int
	}
	run, away := make(map[*Job][]replica), make(map[*Job]bool)
	for _, m := range pl.Machines {
		for i, t := range m.Tasks {
			if t.Job.SpreadRule != nil && t.RunTime > 0 && !t.Stopping && m.Usable {
				run[t.Job] = append(run[t.Job], replica{m, i})
			}
		}
	}
	left := pl.MaxMoves
	for _, j := range ruled {
		if len(run[j]) < j.Tasks {
			away[j], left = true, left-1
		}
	}
	for _, j := range ruled {
		if away[j] || j.Shape != wire.Service {
			continue
		}
		s := pl.newSearch(j, j.InZone, "")
		s.scan()
		to := s.bestFitEvenly()
		if to == nil {
			continue
		}
		var from *replica
		for i, r := range run[j] {
			if from == nil || j.InZone[r.on.Zone] > j.InZone[from.on.Zone] {
				from = &run[j][i]
			}
		}
		much, many := j.SpreadRule.excess(j, j.InZone[from.on.Zone])
		muchTo, manyTo := j.SpreadRule.excess(j, j.InZone[to.Zone]+1)
		if much <= muchTo && (muchTo > much || many <= manyTo) {
			continue
		}
		pl.plan.SpreadViolated = true
		if pl.productionWaits || left <= 0 {
			return
		}
		left--
		t := &from.on.Tasks[from.index]
		t.Stopping = true
		pl.plan.Stops = append(pl.plan.Stops, Stop{Job: j, TaskIndex: t.Index, Machine: from.on.ID, Reason: "its service is spread to " + to.Zone})
		pl.occupy(j, to)
	}
}
