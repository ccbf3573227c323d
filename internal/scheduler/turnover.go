package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// In a large fleet tasks end all the time, and those that end before a rented machine would be ready
// free capacity sooner and at no cost. Work that would not miss an objective waits for that capacity,
// so that fewer machines are rented.
const (
	// turnoverStep and turnoverSteps are the time resolution and the number of steps of the forecast
	// of freed capacity, which is based on the run time estimates of the jobs' owners.
	turnoverStep  = 10 * time.Second
	turnoverSteps = 12
	// turnoverShare is the fraction of the freed capacity that is counted. Estimates are often wrong,
	// which mostly evens out over many tasks; the remainder allows for that and for fragmentation.
	turnoverShare = 0.6
	// turnoverMargin is how long before the end of its slack a job must get its capacity.
	turnoverMargin = 30 * time.Second
)

// turnover is the capacity that tasks are expected to free when they end, by offer index and time step.
type turnover [][turnoverSteps]Resources

// countTurnover counts the capacity that tasks of arrays will free. The capacity that a gang frees is
// left to the next gang.
func (pl *planner) countTurnover() {
	for _, m := range pl.pool.usable {
		for _, t := range m.Tasks {
			if t.Job.Shape != wire.Array || t.Stopping {
				continue
			}
			estimate := t.Job.Estimate()
			after := max(estimate-t.RunTime, estimate/4) // a task that has exceeded its estimate may run on
			pl.turnover.add(m.offerIndex, after, ResourcesOf(t.Job.Job), turnoverShare)
		}
	}
}

// add counts a fraction of resources that become free after a duration.
func (t *turnover) add(offer int, after time.Duration, r Resources, share float64) {
	for len(*t) <= offer {
		*t = append(*t, [turnoverSteps]Resources{})
	}
	if step := int(after / turnoverStep); step < turnoverSteps {
		freed := &(*t)[offer][step]
		*freed = freed.AddScaled(r, share)
	}
}

// consume deducts need from the capacity that an offer frees within a number of steps, and returns the
// step in which the accumulated capacity suffices. If it does not suffice, nothing is deducted and ok is
// false.
func (t turnover) consume(offer int, need Resources, steps int) (step int, ok bool) {
	var sum Resources
	need = need.withoutTaskCount() // a machine may have more tasks than those that are about to end
	for i := range steps {
		sum = sum.AddScaled(t[offer][i], 1)
		if !sum.Fits(need) {
			continue
		}
		// All steps up to this one are used up, except for the remainder, which stays in this step.
		clear(t[offer][:i])
		t[offer][i] = sum.AddScaled(need, -1)
		return i, true
	}
	return 0, false
}

// takeTurnover claims capacity for a task that will become free in time, and reports whether there was
// any. In time means before a rented machine would have booted or before the job must start to meet its
// objective, whichever is later.
func (s *search) takeTurnover() bool {
	pl, j := s.planner, s.job
	if j.Shape != wire.Array || j.Priority == wire.Production {
		return false
	}
	boot := pl.bootTime(j)
	if j.Age > 2*boot {
		return false // the capacity it waited for went to other jobs, or its tasks were stopped
	}
	steps := min(turnoverSteps, int(max(boot, j.timeLeft-turnoverMargin)/turnoverStep))
	for o := range pl.turnover {
		if !s.permitsOffer(o) || !zoneAllowed(j, s.tasksByZone, pl.pool.offers[o].Zone) {
			continue
		}
		if step, ok := pl.turnover.consume(o, s.need, steps); ok {
			pl.turnover.add(o, time.Duration(step)*turnoverStep+j.Estimate(), s.need, 1) // free again once this task has ended
			return true
		}
	}
	return false
}
