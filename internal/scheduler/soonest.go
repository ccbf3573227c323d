package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// soonestMachine finds where capacity will be soonest: where tasks are being stopped already, where
// lesser work can be stopped, on a machine that boots, or on a new one. It returns nil if there is
// none, or if the task waits for capacity that turnover frees.
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
	// A machine that boots was rented for work of its price: what another one is cheaper for leaves
	// it alone, or more would be rented for that work.
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
	if s.job.Shape == wire.Gang && pl.Doubtful[offer] { // most likely the cloud has none: reserve here as well
		if m := pl.soonestToFit(s.need, s.permitsMachine); m != nil {
			return m
		}
	}
	return pl.pool.add(offer, s.job.queuePosition)
}

// deferredMachine finds capacity on a machine that fetches for production: the task waits for
// that, and none is rented for it.
func (s *search) deferredMachine() *Machine {
	for _, m := range s.deferred {
		if m.Free.Fits(s.need) && s.permitsMachine(m) {
			return m
		}
	}
	return nil
}

// stoppingMachine finds a machine that has capacity once what is being stopped has ended.
func (pl *planner) stoppingMachine(need Resources, ok func(*Machine) bool) *Machine {
	for _, m := range pl.pool.stopping {
		if m.freeAfterStops().Fits(need) && ok(m) {
			return m
		}
	}
	return nil
}

// bootingTolerance is by how much a booting machine may cost more than a new one.
const bootingTolerance = 1.001

// bootingMachine finds capacity on a machine that boots, the cheapest first, up to what a task's
// share costs on one that would be rented.
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

// soonestToFit finds the machine that will soonest have capacity for a task of a gang, as its other
// tasks end; small tasks would take every gap before it.
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

// timeUntilFits returns the time until a machine should have so much capacity, according to the
// estimates of its tasks.
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
