package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// A class whose jobs are to start sooner than a machine boots needs room that is
// there before they come. How much is told by how many came of late: what comes
// while a machine boots. That room is kept from work that has no such aim, is
// not returned, and is rented where it lacks, but only while the cloud has
// machines to give: in a full fleet, room that stands empty serves nobody.

// The past that tells how much comes: the middle one of several spans, so that
// the jobs of a fleet's first minute, or of a burst that is over, count little.
const (
	spans = 6
	span  = 15 * time.Second
)

// demand is what comes of a class.
type demand struct {
	tasks [spans]float64 // by age
	last  *Job           // the newest one, which stands for those to come
}

// expected gives how many tasks come within a time.
func (d *demand) expected(within time.Duration) int {
	sorted := d.tasks
	slices.Sort(sorted[:])
	middle := (sorted[spans/2-1] + sorted[spans/2]) / 2
	return int(middle * within.Seconds() / span.Seconds())
}

// headroom holds room for what is about to come.
func (pl *planner) headroom() {
	classes := make(map[string]*demand)
	for _, j := range pl.Jobs {
		i := int(j.Age / span)
		if j.Age < 0 || i >= spans || !pl.hasty(j) {
			continue
		}
		d := classes[j.Class]
		if d == nil {
			d = &demand{}
			classes[j.Class] = d
		}
		if !pl.Parts {
			d.tasks[i] += float64(j.Tasks)
		} else {
			d.tasks[i] += float64(j.Mine)
		}
		if d.last == nil || cmp.Compare(j.Age, d.last.Age) < 0 {
			d.last = j
		}
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		d := classes[class]
		pl.hold(d.last, d.expected(pl.boot(d.last)))
	}
}

// hasty reports whether a job is to start sooner than a machine for it boots.
func (pl *planner) hasty(j *Job) bool {
	boot := pl.boot(j)
	return slices.ContainsFunc(pl.Aims, func(o Objective) bool {
		return o.Kind == StartWithin && o.Class == j.Class && o.Within < boot*3/2+pl.fetch(j)
	})
}

// boot is how long a machine for a job takes to boot, at the least; 0 where
// none can be rented.
func (pl *planner) boot(j *Job) time.Duration { return pl.bootIn(j, "") }

// bootIn is the same for one zone.
func (pl *planner) bootIn(j *Job, zone string) time.Duration {
	var least time.Duration
	for i := range pl.Types {
		t := &pl.Types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := Offer{t.Name, z, spot}
				b := wire.Seconds(t.BootS)
				if (least == 0 || b < least) && (zone == "" || z == zone) && allowed(j, o) && !pl.Refused[o] && !pl.Doubted[o] && (Amount{t.CPUs, t.GPUs, t.MemoryGB}).Fits(Of(j.Job)) {
					least = b
				}
			}
		}
	}
	return least
}

// hold occupies room for so many tasks like those of a job, zone by zone in
// turn: where it is free, or boots, and else on machines to be rented.
func (pl *planner) hold(like *Job, tasks int) {
	if tasks <= 0 {
		return
	}
	j := &Job{Job: &wire.Job{}, InZone: map[string]int{}, Waiting: make([]int, tasks)}
	*j.Job = *like.Job
	j.Image, j.OneZone, j.Spread = "", false, false
	s := pl.search(j, j.InZone, "")
	s.limit = dear * pl.cheapest(j)
	s.scan()
	for range tasks {
		m := s.emptiest()
		if m == nil {
			if m = s.coming(); m == nil {
				return
			}
		}
		if m.Usable {
			if pl.heldFor == nil {
				pl.heldFor = make(map[string]int)
			}
			pl.heldFor[like.Class]++
		}
		s.take(m)
	}
}

// dear is by how much room that stands ready may cost more than the cheapest.
const dear = 1.5

// cheapest is the price of the cheapest machine for a task, for its share.
func (pl *planner) cheapest(j *Job) float64 {
	least := math.Inf(1)
	for i := range pl.Types {
		t := &pl.Types[i]
		full := float64((Amount{t.CPUs, t.GPUs, t.MemoryGB}).Slots(Of(j.Job)))
		for _, zone := range t.Zones {
			if full > 0 && allowed(j, Offer{t.Name, zone, false}) {
				least = min(least, t.Price/full)
			}
			if full > 0 && allowed(j, Offer{t.Name, zone, true}) {
				least = min(least, t.SpotPrice/full)
			}
		}
	}
	return least
}

// emptiest picks room in the zone of which the least is held, on the machine
// with the least room to spare.
func (s *search) emptiest() *Machine {
	var best *Machine
	for _, m := range s.others {
		if m.keptFrom(s.j) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(s.in[m.Zone], s.in[best.Zone]), cmp.Compare(m.Free.GPUs, best.Free.GPUs)) < 0 {
			best = m
		}
	}
	for _, c := range s.holders { // those in use by what is held already
		if best == nil || s.in[c.Zone] <= s.in[best.Zone] {
			best = c.Machine
		}
	}
	return best
}

// coming finds room on a machine that boots, or on a new one.
func (s *search) coming() *Machine {
	offer, cost := s.offer()
	m := s.bootingRoom(cost)
	if m == nil && !math.IsInf(cost, 1) {
		m = s.pl.hypothetical(offer)
	}
	return m
}
