package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// The past that tells how much comes: the middle one of several spans, so that
// the jobs of a fleet's first minute, or of a burst that is over, count little.
const (
	arrivalWindows = 6
	arrivalWindow  = 15 * time.Second
)

// arrivals is what comes of a class.
type arrivals struct {
	tasks  [arrivalWindows]float64 // by age
	newest *Job                    // the newest one, which stands for those to come
}

// expected gives how many tasks come within a time.
func (d *arrivals) expected(within time.Duration) int {
	sorted := d.tasks
	slices.Sort(sorted[:])
	middle := (sorted[arrivalWindows/2-1] + sorted[arrivalWindows/2]) / 2
	return int(middle * within.Seconds() / arrivalWindow.Seconds())
}

// reserveHeadroom holds room for what is about to come.
func (pl *planner) reserveHeadroom() {
	classes := make(map[string]*arrivals)
	for _, j := range pl.Jobs {
		i := int(j.Age / arrivalWindow)
		if j.Age < 0 || i >= arrivalWindows || !pl.needsHeadroom(j) {
			continue
		}
		d := classes[j.Class]
		if d == nil {
			d = &arrivals{}
			classes[j.Class] = d
		}
		if !pl.Sharded {
			d.tasks[i] += float64(j.Tasks)
		} else {
			d.tasks[i] += float64(j.LocalTasks)
		}
		if d.newest == nil || cmp.Compare(j.Age, d.newest.Age) < 0 {
			d.newest = j
		}
	}
	for _, class := range slices.Sorted(maps.Keys(classes)) {
		d := classes[class]
		pl.holdHeadroom(d.newest, d.expected(pl.bootTime(d.newest)))
	}
}

// needsHeadroom reports whether a job is to start sooner than a machine for it boots.
func (pl *planner) needsHeadroom(j *Job) bool {
	boot := pl.bootTime(j)
	return slices.ContainsFunc(pl.Objectives, func(o Objective) bool {
		return o.Kind == StartWithin && o.Class == j.Class && o.Within < boot*3/2+pl.fetchTime(j)
	})
}

// bootTime is how long a machine for a job takes to boot, at the least; 0 where
// none can be rented.
func (pl *planner) bootTime(j *Job) time.Duration { return pl.bootTimeIn(j, "") }

// bootTimeIn is the same for one zone.
func (pl *planner) bootTimeIn(j *Job, zone string) time.Duration {
	var least time.Duration
	for i := range pl.Types {
		t := &pl.Types[i]
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := Offer{t.Name, z, spot}
				b := wire.Seconds(t.BootS)
				if (least == 0 || b < least) && (zone == "" || z == zone) && allowsOffer(j, o) && !pl.Unavailable[o] && !pl.Doubtful[o] && (Resources{t.CPUs, t.GPUs, t.MemoryGB}).Fits(ResourcesOf(j.Job)) {
					least = b
				}
			}
		}
	}
	return least
}

// holdHeadroom occupies room for so many tasks like those of a job, zone by zone in
// turn: where it is free, or boots, and else on machines to be rented.
func (pl *planner) holdHeadroom(like *Job, tasks int) {
	if tasks <= 0 {
		return
	}
	j := &Job{Job: &wire.Job{}, InZone: map[string]int{}, Waiting: make([]int, tasks)}
	*j.Job = *like.Job
	j.Image, j.OneZone, j.Spread = "", false, false
	s := pl.newSearch(j, j.InZone, "")
	s.maxShareCost = maxHeadroomPriceRatio * pl.cheapestShare(j)
	s.scan()
	for range tasks {
		m := s.headroomMachine()
		if m == nil {
			if m = s.upcomingMachine(); m == nil {
				return
			}
		}
		if m.Usable {
			if pl.headroomByClass == nil {
				pl.headroomByClass = make(map[string]int)
			}
			pl.headroomByClass[like.Class]++
		}
		s.place(m)
	}
}

// maxHeadroomPriceRatio is by how much room that stands ready may cost more than the cheapest.
const maxHeadroomPriceRatio = 1.5

// cheapestShare is the price of the cheapest machine for a task, for its share.
func (pl *planner) cheapestShare(j *Job) float64 {
	least := math.Inf(1)
	for i := range pl.Types {
		t := &pl.Types[i]
		full := float64((Resources{t.CPUs, t.GPUs, t.MemoryGB}).Slots(ResourcesOf(j.Job)))
		for _, zone := range t.Zones {
			if full > 0 && allowsOffer(j, Offer{t.Name, zone, false}) {
				least = min(least, t.Price/full)
			}
			if full > 0 && allowsOffer(j, Offer{t.Name, zone, true}) {
				least = min(least, t.SpotPrice/full)
			}
		}
	}
	return least
}

// headroomMachine picks room in the zone of which the least is held, on the machine
// with the least room to spare.
func (s *search) headroomMachine() *Machine {
	var best *Machine
	for _, m := range s.withoutImage {
		if m.reservedForOther(s.job) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(s.tasksByZone[m.Zone], s.tasksByZone[best.Zone]), cmp.Compare(m.Free.GPUs, best.Free.GPUs)) < 0 {
			best = m
		}
	}
	for _, c := range s.withImage { // those in use by what is held already
		if best == nil || s.tasksByZone[c.Zone] <= s.tasksByZone[best.Zone] {
			best = c.Machine
		}
	}
	return best
}

// upcomingMachine finds room on a machine that boots, or on a new one.
func (s *search) upcomingMachine() *Machine {
	offer, cost := s.cheapestOffer()
	m := s.bootingMachine(cost)
	if m == nil && !math.IsInf(cost, 1) {
		m = s.planner.addMachine(offer)
	}
	return m
}
