package zonerecovery

import (
	"fmt"
	"time"
)

// Step is how far the return of a zone has come.
type Step string

// The steps of a return, in order. After the last there is no plan.
const (
	StepRetain   Step = "kept"   // the zone is cut off: what would not run sooner elsewhere is kept there
	StepRefill   Step = "fill"   // it is back, and work goes to it: nothing rented elsewhere is given back yet
	StepRefilled Step = "home"   // as much is at work there as before: what is idle elsewhere is given back
	StepSpread   Step = "spread" // services are spread over the zones anew
)

// Plan is the return of a zone as the store holds it. The next holder goes on with its step:
// what a step does follows from what is seen, and is there or not, so that none is taken twice.
type Plan struct {
	Step   Step
	Number uint64 // of the zone's record with which it began
	Since  time.Time
	Work   float64 // that was done there when it was cut off, in GPUs
}

// Observation is what there is to judge a step by.
type Observation struct {
	Unreachable   bool
	Number        uint64  // of the zone's record
	Work          float64 // that is done there, or may be
	HasQueued     bool    // work waits that found no room
	OtherZoneBusy bool    // another zone is cut off, or in doubt, or further behind with its return
	Unbalanced    bool    // services are to be moved

	SettleTime  time.Duration // until all machines of a zone are heard
	BootTime    time.Duration // of machines there
	IdleTimeout time.Duration // after which an idle machine is given back
}

// refilledShare is the part of the work that was done there from which on a zone is home: tasks end
// meanwhile, and others begin elsewhere.
const refilledShare = 0.95

// maxSpreadTime bounds how long services are spread after a return.
const maxSpreadTime = 5 * time.Minute

// Next gives the plan that follows, or none. A zone that is cut off again begins anew, whatever
// step it had come to, and with the work that was to come back to it then.
func Next(now time.Time, p *Plan, s Observation) *Plan {
	to := func(step Step) *Plan { return &Plan{step, p.Number, now, p.Work} }
	switch {
	case p == nil && s.Unreachable:
		return &Plan{StepRetain, s.Number, now, s.Work}
	case p == nil:
		return nil
	case s.Unreachable && s.Number > p.Number && p.Step != StepRetain:
		work := s.Work
		if p.Step == StepRefill {
			work = max(work, p.Work)
		}
		return &Plan{StepRetain, s.Number, now, work}
	case s.Unreachable:
		return p
	}
	switch since := now.Sub(p.Since); p.Step {
	case StepRetain:
		return to(StepRefill)
	case StepRefill:
		full := s.Work >= refilledShare*p.Work || !s.HasQueued
		// What does not come back in the time in which machines boot is not to be had.
		if since >= s.SettleTime && full || since >= s.SettleTime+2*s.BootTime {
			return to(StepRefilled)
		}
	case StepRefilled:
		switch {
		case since < 2*s.IdleTimeout:
		case s.Unbalanced && !s.OtherZoneBusy:
			return to(StepSpread)
		case !s.Unbalanced:
			return nil
		}
	case StepSpread:
		if !s.Unbalanced || s.OtherZoneBusy || since >= maxSpreadTime {
			return nil
		}
	default:
		return nil // of another version
	}
	return p
}

// String tells of a plan, for people.
func (p *Plan) String() string {
	return fmt.Sprintf("%s, %.0f GPUs were at work", p.Step, p.Work)
}
