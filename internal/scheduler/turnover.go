package scheduler

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Room that comes free is counted by offer and by when, in steps of a few
// seconds, from the owners' estimates. These are often wrong, which mostly
// evens out over many tasks; a part is left out for that and for what does not
// divide.
const (
	turnoverSteps = 12
	turnoverStep  = 10 * time.Second
	turnoverShare = 0.6
)

// turnover is the room that comes free, by offer and step.
type turnover [][turnoverSteps]Resources

func (pl *planner) countTurnover() {
	for _, m := range pl.usable {
		for _, t := range m.Tasks {
			if t.Job.Shape != wire.Array || t.Stopping {
				continue // the room of a gang is the next gang's
			}
			e := t.Job.Estimate()
			pl.addTurnover(m.offerIndex, max(e-t.RunTime, e/4), ResourcesOf(t.Job.Job), turnoverShare)
		}
	}
}

// addTurnover counts room that comes free after a time.
func (pl *planner) addTurnover(offer int, after time.Duration, a Resources, share float64) {
	for len(pl.turnover) <= offer {
		pl.turnover = append(pl.turnover, [turnoverSteps]Resources{})
	}
	if step := int(after / turnoverStep); step < turnoverSteps {
		t := &pl.turnover[offer][step]
		*t = t.AddScaled(a, share)
	}
}

// takeTurnover takes room for a task that comes free in time, if there is any: before a
// machine would boot, or at the latest when the job must start to meet its aim.
func (s *search) takeTurnover() bool {
	pl, j := s.planner, s.job
	if j.Shape != wire.Array || j.Priority == wire.Production {
		return false
	}
	const spare = 30 * time.Second
	boot := pl.bootTime(j)
	if j.Age > 2*boot {
		return false // what it was to wait for went to others, or its work was stopped
	}
	steps := min(turnoverSteps, int(max(boot, j.timeLeft-spare)/turnoverStep))
	for o := range pl.turnover {
		if !s.permitsOffer(o) || !zoneAllowed(j, s.tasksByZone, pl.offers[o].Zone) {
			continue
		}
		var sum Resources
		for i := range steps {
			if sum = sum.AddScaled(pl.turnover[o][i], 1); !sum.Fits(s.need) {
				continue
			}
			// All up to here is used up but for the rest of the last step.
			for k := range i {
				pl.turnover[o][k] = Resources{}
			}
			pl.turnover[o][i] = sum.AddScaled(s.need, -1)
			pl.addTurnover(o, time.Duration(i)*turnoverStep+j.Estimate(), s.need, 1) // and is free again after
			return true
		}
	}
	return false
}
