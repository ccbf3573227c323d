package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// soonestMachine finds where room will be soonest: where tasks are stopping already,
// where lesser work can be stopped, on a machine that boots, or on a new one.
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
	// A machine that boots was rented for work of its price: what another one
	// is cheaper for leaves it alone, or more would be rented for that work.
	offer, cost := s.cheapestOffer()
	if m := s.bootingMachine(cost); m != nil {
		return m
	}
	if s.waitsForTurnover = s.takeTurnover(); s.waitsForTurnover {
		return nil
	}
	if math.IsInf(cost, 1) {
		if m := s.bootingMachine(cost); m != nil || s.job.Shape != wire.Gang {
			return m
		}
		return pl.soonestToFit(s.need, s.permitsMachine)
	}
	if s.job.Shape == wire.Gang && pl.Doubtful[offer] { // most likely there is none: hold room here as well
		if held := pl.soonestToFit(s.need, s.permitsMachine); held != nil {
			return held
		}
	}
	return pl.addMachineFor(s.job, offer)
}

// deferredMachine finds room on a machine that fetches for production: the task waits for that, and
// none is rented for it.
func (s *search) deferredMachine() *Machine {
	for _, m := range s.deferred {
		if m.Free.Fits(s.need) && s.permitsMachine(m) {
			return m
		}
	}
	return nil
}

// stoppingMachine finds a machine that has room once what is stopping is gone.
func (pl *planner) stoppingMachine(need Resources, ok func(*Machine) bool) *Machine {
	for _, m := range pl.stoppingMachines {
		if m.Free.AddScaled(m.stopping, 1).Fits(need) && ok(m) {
			return m
		}
	}
	return nil
}

// bootingMachine finds room on a machine that boots, the cheapest first, up to
// what a task's share costs on one that would be rented.
func (s *search) bootingMachine(most float64) *Machine {
	s.priceOffers()
	for _, o := range s.offersByCost {
		if s.costByOffer[o] > most*1.001 {
			return nil
		}
		list := s.planner.booting[o]
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

// soonestToFit holds the machine that will soonest have room for a task of a gang,
// as its other tasks end; small tasks would take every gap before it.
func (pl *planner) soonestToFit(need Resources, ok func(*Machine) bool) *Machine {
	var best *Machine
	soonest := time.Duration(math.MaxInt64)
	for _, m := range pl.usable {
		if pl.searchBudget <= 0 {
			break
		}
		if !ok(m) {
			continue
		}
		pl.searchBudget--
		if t := pl.timeUntilFits(need, m); t < soonest {
			best, soonest = m, t
		}
	}
	return best
}

// timeUntilFits tells after how long a machine should have room, as far as the
// estimates of its tasks can tell.
func (pl *planner) timeUntilFits(need Resources, m *Machine) time.Duration {
	tasks := slices.Clone(m.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(a.remaining(), b.remaining()) })
	room, after := m.Free, time.Duration(0)
	for _, t := range tasks {
		if room.Fits(need) {
			break
		}
		room, after = room.AddScaled(ResourcesOf(t.Job.Job), 1), t.remaining()
	}
	if !room.Fits(need) {
		return math.MaxInt64
	}
	return after
}
