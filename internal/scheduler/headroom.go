package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// A class whose jobs must start in less time than a machine takes to boot needs capacity before the
// jobs are submitted. This headroom is sized from recent arrivals: as many tasks as arrive while a
// machine boots. Work without such an objective does not use the headroom, scale-in does not return
// it, and missing headroom is rented. All this applies only while the cloud has machines available: in
// a full fleet, idle headroom would help nobody.

// Arrivals are counted in several windows, and the forecast is their median, so that the jobs of a
// cluster's first minute, or of a burst that is over, have little influence.
const (
	arrivalWindows = 6
	arrivalWindow  = 15 * time.Second
)

// arrivals counts the recently submitted tasks of a class.
type arrivals struct {
	tasksByWindow [arrivalWindows]float64 // tasks submitted in each window, the latest window first
	newestJob     *Job                    // template for the jobs that are expected next
}

// expectedTasks forecasts how many tasks will be submitted within a duration.
func (a *arrivals) expectedTasks(within time.Duration) int {
	sorted := a.tasksByWindow
	slices.Sort(sorted[:])
	median := (sorted[arrivalWindows/2-1] + sorted[arrivalWindows/2]) / 2
	return int(median * within.Seconds() / arrivalWindow.Seconds())
}

// add counts the tasks of a job that was submitted in the given window; window 0 is the latest.
func (a *arrivals) add(j *Job, window, tasks int) {
	a.tasksByWindow[window] += float64(tasks)
	if a.newestJob == nil || j.Age < a.newestJob.Age {
		a.newestJob = j
	}
}

// mustLeaveHeadroom reports whether a job must not use headroom.
func (pl *planner) mustLeaveHeadroom(j *Job) bool {
	if j.Priority == wire.Production || j.reservationTurn > 0 && j.Shape != wire.Array {
		return false
	}
	return !pl.needsHeadroom(j)
}

// needsHeadroom reports whether an objective requires a job to start sooner than a rented machine
// would be ready: boot time with a margin of one half, and the image fetch.
func (pl *planner) needsHeadroom(j *Job) bool {
	boot := pl.bootTime(j)
	return slices.ContainsFunc(pl.Objectives, func(o Objective) bool {
		return o.Kind == StartWithin && o.Class == j.Class && o.Within < boot*3/2+pl.fetchTime(j)
	})
}

// reserveHeadroom reserves capacity for the tasks that are expected to be submitted while a machine boots.
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

// bootTime returns the shortest boot time of the machine types that can be rented for a job, or 0 if
// none can be rented.
func (pl *planner) bootTime(j *Job) time.Duration { return pl.bootTimeIn(j, "") }

// bootTimeIn is like bootTime for a single zone, or for any zone if zone is empty.
func (pl *planner) bootTimeIn(j *Job, zone string) time.Duration {
	var shortest time.Duration
	for i := range pl.Types {
		machineType := &pl.Types[i]
		boot := wire.Seconds(machineType.BootS)
		if shortest > 0 && boot >= shortest || !capacityOf(machineType).Fits(ResourcesOf(j.Job)) {
			continue
		}
		if pl.rentableIn(zone, j, machineType) {
			shortest = boot
		}
	}
	return shortest
}

// rentableIn reports whether a machine of a type can be rented for a job in a zone, or in any zone if
// zone is empty.
func (pl *planner) rentableIn(zone string, j *Job, machineType *wire.MachineType) bool {
	for _, offeredZone := range machineType.Zones {
		if zone != "" && offeredZone != zone {
			continue
		}
		for _, spot := range []bool{true, false} {
			offer := Offer{machineType.Name, offeredZone, spot}
			if allowsOffer(j, offer) && !pl.Unavailable[offer] && !pl.Doubtful[offer] {
				return true
			}
		}
	}
	return false
}

// maxHeadroomPriceRatio limits the price of headroom, as a multiple of the price of the cheapest capacity.
const maxHeadroomPriceRatio = 1.5

// reserveHeadroomForClass reserves capacity for a number of tasks like those of the template job,
// alternating between zones. It uses free capacity first, then booting machines, then machines to rent.
func (pl *planner) reserveHeadroomForClass(template *Job, tasks int) {
	if tasks <= 0 {
		return
	}
	j := &Job{Job: &wire.Job{}, TasksByZone: map[string]int{}, Waiting: make([]int, tasks)}
	*j.Job = *template.Job
	j.Image, j.OneZone, j.Spread = "", false, false
	s := pl.newSearch(j, j.TasksByZone, "")
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
			pl.headroomByClass[template.Class]++
		}
		s.place(m)
	}
}

// cheapestSharePrice returns the lowest price of one task's share of a machine, over all offers that
// the job may use; it is infinite if there are none.
func (pl *planner) cheapestSharePrice(j *Job) float64 {
	cheapest := math.Inf(1)
	for i := range pl.Types {
		t := &pl.Types[i]
		slotsPerMachine := float64(capacityOf(t).Slots(ResourcesOf(j.Job)))
		if slotsPerMachine <= 0 {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				if allowsOffer(j, Offer{t.Name, zone, spot}) {
					cheapest = min(cheapest, priceOf(t, spot)/slotsPerMachine)
				}
			}
		}
	}
	return cheapest
}

// headroomMachine picks a machine with free capacity in the zone that has the least headroom so far;
// among those, the machine with the fewest free GPUs.
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
	for _, c := range s.withImage { // machines that already hold headroom
		if best == nil || s.tasksByZone[c.Zone] <= s.tasksByZone[best.Zone] {
			best = c.Machine
		}
	}
	return best
}

// bootingOrNewMachine finds capacity on a booting machine, or else adds a machine to rent; nil if
// neither is possible.
func (s *search) bootingOrNewMachine() *Machine {
	offer, cost := s.cheapestOffer()
	m := s.bootingMachine(cost)
	if m == nil && !math.IsInf(cost, 1) {
		m = s.planner.pool.add(offer, len(s.planner.Jobs)) // headroom ranks behind all submitted jobs
	}
	return m
}
