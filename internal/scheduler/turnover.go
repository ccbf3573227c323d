package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// In a large fleet tasks end all the time, and what ends before a rented machine
// would be up makes room sooner and for nothing. Work without an aim that this
// would miss waits for that room rather than have more machines rented.

// Room that comes free is counted by offer and by when, in steps of a few
// seconds, from the owners' estimates. These are often wrong, which mostly
// evens out over many tasks; a part is left out for that and for what does not
// divide.
const (
	turnSteps = 12
	turnStep  = 10 * time.Second
	turnShare = 0.6
)

// turnover is the room that comes free, by offer and step.
type turnover [][turnSteps]Amount

func (pl *planner) countTurnover() {
	for _, m := range pl.usable {
		for _, t := range m.Tasks {
			if t.Job.Shape != wire.Array || t.Stopping {
				continue // the room of a gang is the next gang's
			}
			e := t.Job.Estimate()
			pl.turn(m.offer, max(e-t.Ran, e/4), Of(t.Job.Job), turnShare)
		}
	}
}

// turn counts room that comes free after a time.
func (pl *planner) turn(offer int, after time.Duration, a Amount, share float64) {
	for len(pl.turns) <= offer {
		pl.turns = append(pl.turns, [turnSteps]Amount{})
	}
	if step := int(after / turnStep); step < turnSteps {
		t := &pl.turns[offer][step]
		*t = t.Plus(a, share)
	}
}

// soon takes room for a task that comes free in time, if there is any: before a
// machine would boot, or at the latest when the job must start to meet its aim.
func (s *search) soon() bool {
	pl, j := s.pl, s.j
	if j.Shape != wire.Array || j.Priority == wire.Production {
		return false
	}
	const spare = 30 * time.Second
	boot := pl.boot(j)
	if j.Age > 2*boot {
		return false // what it was to wait for went to others, or its work was stopped
	}
	steps := min(turnSteps, int(max(boot, j.left-spare)/turnStep))
	for o := range pl.turns {
		if !s.permits(o) || !zoneOpen(j, s.in, pl.offers[o].Zone) {
			continue
		}
		var sum Amount
		for i := range steps {
			if sum = sum.Plus(pl.turns[o][i], 1); !sum.Fits(s.need) {
				continue
			}
			// All up to here is used up but for the rest of the last step.
			for k := range i {
				pl.turns[o][k] = Amount{}
			}
			pl.turns[o][i] = sum.Plus(s.need, -1)
			pl.turn(o, time.Duration(i)*turnStep+j.Estimate(), s.need, 1) // and is free again after
			return true
		}
	}
	return false
}
