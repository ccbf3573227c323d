package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// A class whose jobs must start sooner than a machine boots needs capacity that is there before
// they come. How much is derived from recent arrivals: as much as arrives while a machine boots. That
// headroom is left alone by work that has no such objective, is not returned, and is rented where
// it lacks, but only while the cloud has machines to give: in a full fleet, idle headroom serves nobody.

// Arrivals are counted in several windows, of which the median is the forecast, so that the
// jobs of a fleet's first minute, or of a burst that is over, count little.
const (
	arrivalWindows = 6
	arrivalWindow  = 15 * time.Second
)

// arrivals counts the recent arrivals of a class.
type arrivals struct {
	tasksByWindow [arrivalWindows]float64 // in each window, the latest first
	newestJob     *Job                    // stands for those to come
}

// expected returns how many tasks come within a time.
func (a *arrivals) expectedTasks(within time.Duration) int {
	sorted := a.tasksByWindow
	slices.Sort(sorted[:])
	median := (sorted[arrivalWindows/2-1] + sorted[arrivalWindows/2]) / 2
	return int(median * within.Seconds() / arrivalWindow.Seconds())
}

// add counts a job that came so many windows ago.
func (a *arrivals) add(j *Job, window, tasks int) {
	a.tasksByWindow[window] += float64(tasks)
	if a.newestJob == nil || j.Age < a.newestJob.Age {
		a.newestJob = j
	}
}

// sparesHeadroom reports whether a job must leave headroom alone.
func (pl *planner) sparesHeadroom(j *Job) bool {
	if j.Priority == wire.Production || j.reservationTurn > 0 && j.Shape != wire.Array {
		return false
	}
	return !pl.needsHeadroom(j)
}

// needsHeadroom reports whether a job must start sooner than a machine for it boots.
func (pl *planner) needsHeadroom(j *Job) bool {
	boot := pl.bootTime(j)
	return slices.ContainsFunc(pl.Objectives, func(o Objective) bool {
		return o.Kind == StartWithin && o.Class == j.Class && o.Within < boot*3/2+pl.fetchTime(j)
	})
}

// reserveHeadroom reserves capacity for what is about to come.
func (pl *planner) reserveHeadroom() {
	byClass := make(map[string]*arrivals)
	for _, j := range pl.Jobs {
		window := int(j.Age / arrivalWindow)
		if j.Age < 0 || window >= arrivalWindows || !pl.needsHeadroom(j) {
			continue
		}
		if byClass[j.Class] == nil {
			byClass[j.Class] = &arrivals{}
		}
		tasks := j.Tasks
		if pl.Sharded {
			tasks = j.LocalTasks
		}
		byClass[j.Class].add(j, window, tasks)
	}
	for _, class := range slices.Sorted(maps.Keys(byClass)) {
		a := byClass[class]
		pl.reserveHeadroomForClass(a.newestJob, a.expectedTasks(pl.bootTime(a.newestJob)))
	}
}

// bootTime returns how long a machine for a job takes to boot, at least; 0 where none can be rented.
func (pl *planner) bootTime(j *Job) time.Duration { return pl.bootTimeIn(j, "") }

// bootTimeIn returns the same for one zone.
func (pl *planner) bootTimeIn(j *Job, zone string) time.Duration {
	var least time.Duration
	for i := range pl.Types {
		machineType := &pl.Types[i]
		boot := wire.Seconds(machineType.BootS)
		if least > 0 && boot >= least || !capacityOf(machineType).Fits(ResourcesOf(j.Job)) {
			continue
		}
		if pl.rentableIn(zone, j, machineType) {
			least = boot
		}
	}
	return least
}

// rentableIn reports whether a machine of a type can be rented for a job in a zone, or anywhere if none is named.
func (pl *planner) rentableIn(zone string, j *Job, machineType *wire.MachineType) bool {
	for _, offered := range machineType.Zones {
		if zone != "" && offered != zone {
			continue
		}
		for _, spot := range []bool{true, false} {
			offer := Offer{machineType.Name, offered, spot}
			if allowsOffer(j, offer) && !pl.Unavailable[offer] && !pl.Doubtful[offer] {
				return true
			}
		}
	}
	return false
}

// maxHeadroomPriceRatio is by how much idle headroom may cost more than the cheapest capacity.
const maxHeadroomPriceRatio = 1.5

// reserveHeadroomForClass occupies capacity for so many tasks like those of a job, zone by zone in turn:
// where it is free, or boots, and else on machines to be rented.
func (pl *planner) reserveHeadroomForClass(like *Job, tasks int) {
	if tasks <= 0 {
		return
	}
	j := &Job{Job: &wire.Job{}, InZone: map[string]int{}, Waiting: make([]int, tasks)}
	*j.Job = *like.Job
	j.Image, j.OneZone, j.Spread = "", false, false
	s := pl.newSearch(j, j.InZone, "")
	s.maxShareCost = maxHeadroomPriceRatio * pl.cheapestSharePrice(j)
	s.scan()
	for range tasks {
		m := s.headroomMachine()
		if m == nil {
			m = s.bootingOrNewMachine()
		}
		if m == nil {
			return
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

// cheapestSharePrice returns the price of a task's share of the cheapest machine for it.
func (pl *planner) cheapestSharePrice(j *Job) float64 {
	least := math.Inf(1)
	for i := range pl.Types {
		t := &pl.Types[i]
		full := float64(capacityOf(t).Slots(ResourcesOf(j.Job)))
		if full <= 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				if allowsOffer(j, Offer{t.Name, zone, spot}) {
					least = min(least, priceOf(t, spot)/full)
				}
			}
		}
	}
	return least
}

// headroomMachine picks capacity in the zone in which the least headroom is, on the machine with
// the least capacity to spare.
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
	for _, c := range s.withImage { // those that have some headroom already
		if best == nil || s.tasksByZone[c.Zone] <= s.tasksByZone[best.Zone] {
			best = c.Machine
		}
	}
	return best
}

// bootingOrNewMachine finds capacity on a machine that boots, or on a new one.
func (s *search) bootingOrNewMachine() *Machine {
	offer, cost := s.cheapestOffer()
	m := s.bootingMachine(cost)
	if m == nil && !math.IsInf(cost, 1) {
		m = s.planner.pool.add(offer, len(s.planner.Jobs)) // for what is yet to come: behind all jobs
	}
	return m
}
