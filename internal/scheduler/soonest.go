package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// soonestMachine finds the machine that will have capacity soonest: one where only a fetch must be waited for, one
// where tasks are already being stopped, one where work can be preempted, a booting machine, or a new one. It returns
// nil if there is none, or if the task waits for capacity that ending tasks will free.
func (s *search) soonestMachine() *Machine {
	pl := s.planner
	if m := s.deferredMachine(); m != nil {
		return m
	}
	if m := pl.stoppingMachine(s.need, s.permitsMachine); m != nil {
		return m
	}
	if !s.noPreempt {
		if m := pl.preempt(s.job, s.need, s.permitsMachine); m != nil {
			return m
		}
		s.noPreempt = true
	}
	// A booting machine was rented for work for which it is the cheapest. A job for which a new machine of another
	// offer is cheaper must not take it, or another machine would be rented for that work.
	offer, cost := s.cheapestOffer()
	if m := s.bootingMachine(cost); m != nil {
		return m
	}
	s.waitsForTurnover = s.takeTurnover()
	if s.waitsForTurnover {
		return nil
	}
	if math.IsInf(cost, 1) {
		if s.job.Shape != wire.Gang {
			return nil
		}
		return pl.soonestToFit(s.need, s.permitsMachine)
	}
	if s.job.Shape == wire.Gang && pl.Doubtful[offer] { // the cloud most likely has none: reserve on a running machine
		if m := pl.soonestToFit(s.need, s.permitsMachine); m != nil {
			return m
		}
	}
	return pl.pool.add(offer, s.job.queuePosition)
}

// deferredMachine finds capacity on a machine that is fetching an image for production. The task waits until the fetch
// is done, and no machine is rented for it.
func (s *search) deferredMachine() *Machine {
	for _, m := range s.deferred {
		if m.Free.Fits(s.need) && s.permitsMachine(m) {
			return m
		}
	}
	return nil
}

// stoppingMachine finds a machine that will have capacity once the tasks that are being stopped have ended.
func (pl *planner) stoppingMachine(need Resources, ok func(*Machine) bool) *Machine {
	for _, m := range pl.pool.stopping {
		if m.freeAfterStops().Fits(need) && ok(m) {
			return m
		}
	}
	return nil
}

// bootingTolerance is the factor by which a booting machine may cost more than a new one.
const bootingTolerance = 1.001

// bootingMachine finds capacity on a booting machine, the cheapest first. maxCost is the cost of a task's share of the
// machine that would be rented otherwise.
func (s *search) bootingMachine(maxCost float64) *Machine {
	s.priceOffers()
	for _, o := range s.offersByCost {
		if s.costByOffer[o] > maxCost*bootingTolerance {
			return nil
		}
		list := s.planner.pool.booting[o]
		for i := s.bootingCursor[o]; i < len(list); i++ {
			switch m := list[i]; {
			case m.Free.Fits(s.need) && s.permitsMachine(m):
				return m
			case i == s.bootingCursor[o]:
				s.bootingCursor[o]++
			}
		}
	}
	return nil
}

// soonestToFit finds the running machine that will have capacity for a task of a gang soonest, as the machine's tasks
// end. Without a reservation there, smaller tasks would take each piece of capacity as it is freed.
func (pl *planner) soonestToFit(need Resources, ok func(*Machine) bool) *Machine {
	var best *Machine
	soonest := time.Duration(math.MaxInt64)
	for _, m := range pl.pool.usable {
		if pl.searchBudget <= 0 {
			break
		}
		if !ok(m) {
			continue
		}
		pl.searchBudget--
		if t := m.timeUntilFits(need); t < soonest {
			best, soonest = m, t
		}
	}
	return best
}

// timeUntilFits returns the time until the machine should have the needed capacity, according to the estimates of its
// tasks.
func (m *Machine) timeUntilFits(need Resources) time.Duration {
	tasks := slices.Clone(m.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(a.remaining(), b.remaining()) })
	free, after := m.Free, time.Duration(0)
	for _, t := range tasks {
		if free.Fits(need) {
			break
		}
		free = free.AddScaled(ResourcesOf(t.Job.Job), 1)
		after = t.remaining()
	}
	if !free.Fits(need) {
		return math.MaxInt64
	}
	return after
}
