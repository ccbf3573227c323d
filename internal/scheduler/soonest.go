package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// next finds where room will be soonest: where tasks are stopping already,
// where lesser work can be stopped, on a machine that boots, or on a new one.
func (s *search) next() *Machine {
	pl := s.pl
	if m := s.pacedRoom(); m != nil {
		return m
	}
	if m := pl.stoppingRoom(s.need, s.ok); m != nil {
		return m
	}
	if !s.noPreempt {
		if m := pl.preempt(s.j, s.need, s.ok); m != nil {
			return m
		}
		s.noPreempt = true
	}
	// A machine that boots was rented for work of its price: what another one
	// is cheaper for leaves it alone, or more would be rented for that work.
	offer, cost := s.offer()
	if m := s.bootingRoom(cost); m != nil {
		return m
	}
	if s.later = s.soon(); s.later {
		return nil
	}
	if math.IsInf(cost, 1) {
		if m := s.bootingRoom(cost); m != nil || s.j.Shape != wire.Gang {
			return m
		}
		return pl.reserve(s.need, s.ok)
	}
	if s.j.Shape == wire.Gang && pl.Doubted[offer] { // most likely there is none: hold room here as well
		if held := pl.reserve(s.need, s.ok); held != nil {
			return held
		}
	}
	return pl.rentFor(s.j, offer)
}

// bootingRoom finds room on a machine that boots, the cheapest first, up to
// what a task's share costs on one that would be rented.
func (s *search) bootingRoom(most float64) *Machine {
	s.price()
	for _, o := range s.cheap {
		if s.costs[o] > most*1.001 {
			return nil
		}
		list := s.pl.booting[o]
		for i := s.boot[o]; i < len(list); i++ {
			switch m := list[i]; {
			case m.Free.Fits(s.need) && s.ok(m):
				return m
			case i == s.boot[o]:
				s.boot[o]++
			}
		}
	}
	return nil
}

// price reckons what a task costs on each offer that has come up since it was
// last called.
func (s *search) price() {
	for o := len(s.costs); o < len(s.pl.offers); o++ {
		cost := math.Inf(1)
		if t := s.pl.types[s.pl.offers[o].Type]; t != nil && s.permits(o) {
			cost = s.pl.cost(s.j, t, s.pl.offers[o].Spot)
		}
		s.costs, s.boot = append(s.costs, cost), append(s.boot, 0)
		if s.permits(o) {
			at, _ := slices.BinarySearchFunc(s.cheap, cost, func(i int, c float64) int { return cmp.Or(cmp.Compare(s.costs[i], c), -1) })
			s.cheap = slices.Insert(s.cheap, at, o)
		}
	}
}

// reserve holds the machine that will soonest have room for a task of a gang,
// as its other tasks end; small tasks would take every gap before it.
func (pl *planner) reserve(need Amount, ok func(*Machine) bool) *Machine {
	var best *Machine
	soonest := time.Duration(math.MaxInt64)
	for _, m := range pl.usable {
		if pl.effort <= 0 {
			break
		}
		if !ok(m) {
			continue
		}
		pl.effort--
		if t := pl.roomIn(need, m); t < soonest {
			best, soonest = m, t
		}
	}
	return best
}

// roomIn tells after how long a machine should have room, as far as the
// estimates of its tasks can tell.
func (pl *planner) roomIn(need Amount, m *Machine) time.Duration {
	tasks := slices.Clone(m.Tasks)
	slices.SortStableFunc(tasks, func(a, b Task) int { return cmp.Compare(a.left(), b.left()) })
	room, after := m.Free, time.Duration(0)
	for _, t := range tasks {
		if room.Fits(need) {
			break
		}
		room, after = room.Plus(Of(t.Job.Job), 1), t.left()
	}
	if !room.Fits(need) {
		return math.MaxInt64
	}
	return after
}
