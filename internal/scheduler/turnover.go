package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// In a large fleet tasks end all the time, and what ends before a rented machine would be up frees
// capacity sooner and for nothing. Work without an objective that it would miss waits for that
// capacity rather than have more machines rented.
const (
	// turnoverStep and turnoverSteps set how finely and for how long ahead freed capacity is
	// counted, from the owners' estimates.
	turnoverStep  = 10 * time.Second
	turnoverSteps = 12
	// turnoverShare is the part of it that counts. Estimates are often wrong, which mostly evens
	// out over many tasks; the rest is for that and for what does not divide.
	turnoverShare = 0.6
	// turnoverMargin is how long before its slack ends a job must get its capacity.
	turnoverMargin = 30 * time.Second
)

// turnover is the capacity that tasks free when they end, by offer and step.
type turnover [][turnoverSteps]Resources

// countTurnover counts what the tasks of arrays will free. The capacity of a gang is the next gang's.
func (pl *planner) countTurnover() {
	for _, m := range pl.pool.usable {
		for _, t := range m.Tasks {
			if t.Job.Shape != wire.Array || t.Stopping {
				continue
			}
			estimate := t.Job.Estimate()
			after := max(estimate-t.RunTime, estimate/4) // one that runs for longer than estimated may go on
			pl.turnover.add(m.offerIndex, after, ResourcesOf(t.Job.Job), turnoverShare)
		}
	}
}

// add counts a share of resources that come free after a time.
func (t *turnover) add(offer int, after time.Duration, r Resources, share float64) {
	for len(*t) <= offer {
		*t = append(*t, [turnoverSteps]Resources{})
	}
	if step := int(after / turnoverStep); step < turnoverSteps {
		at := &(*t)[offer][step]
		*at = at.AddScaled(r, share)
	}
}

// take uses up so much of what an offer frees within a number of steps, if it is enough, and returns
// the step in which it is.
func (t turnover) consume(offer int, need Resources, steps int) (step int, ok bool) {
	var sum Resources
	for i := range steps {
		sum = sum.AddScaled(t[offer][i], 1)
		if !sum.Fits(need) {
			continue
		}
		// All up to here is used up but for the rest of the last step.
		clear(t[offer][:i])
		t[offer][i] = sum.AddScaled(need, -1)
		return i, true
	}
	return 0, false
}

// takeTurnover takes capacity for a task that comes free in time, if there is any: before a
// machine would boot, or at the latest when the job must start to meet its objective.
func (s *search) takeTurnover() bool {
	pl, j := s.planner, s.job
	if j.Shape != wire.Array || j.Priority == wire.Production {
		return false
	}
	boot := pl.bootTime(j)
	if j.Age > 2*boot {
		return false // what it was to wait for went to others, or its work was stopped
	}
	steps := min(turnoverSteps, int(max(boot, j.timeLeft-turnoverMargin)/turnoverStep))
	for o := range pl.turnover {
		if !s.permitsOffer(o) || !zoneAllowed(j, s.tasksByZone, pl.pool.offers[o].Zone) {
			continue
		}
		if step, ok := pl.turnover.consume(o, s.need, steps); ok {
			pl.turnover.add(o, time.Duration(step)*turnoverStep+j.Estimate(), s.need, 1) // and is free again after
			return true
		}
	}
	return false
}
