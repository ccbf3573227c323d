package zonerecovery

import (
	"fmt"
	"time"
)

// Step is how far the recovery of a zone has come. Its text is stored.
type Step string

// The steps of a recovery, in order. After the last one there is no plan.
const (
	StepRetain   Step = "kept"   // the zone is cut off: machines whose work would not run sooner elsewhere are retained
	StepRefill   Step = "fill"   // it can be reached, and work returns: nothing requested elsewhere is given back yet
	StepRefilled Step = "home"   // it runs as much work as before: what is idle elsewhere is given back
	StepSpread   Step = "spread" // services are spread over the zones again
)

// Plan is the recovery of a zone as the store holds it. The next leader continues with its step. What
// a step does follows from observations alone, so that nothing is done twice after a failover.
type Plan struct {
	Step   Step
	Number uint64 // of the zone's record with which it began
	Since  time.Time
	Work   float64 // that ran there when the zone was cut off, in GPUs
}

// Observation is what the next step is decided by.
type Observation struct {
	Unreachable   bool
	Number        uint64  // of the zone's record
	Work          float64 // that runs there, or may run, in GPUs
	HasQueued     bool    // some work could not be placed
	OtherZoneBusy bool    // another zone is cut off, suspected, or further behind with its recovery
	Unbalanced    bool    // services are to be moved

	SettleTime  time.Duration // until all machines of a zone have sent a heartbeat
	BootTime    time.Duration // that machines there take to boot
	IdleTimeout time.Duration // after which an idle machine is given back
}

// refilledShare is the part of its former work with which a zone counts as refilled. It is less than all,
// since tasks end meanwhile and others begin elsewhere.
const refilledShare = 0.95

// maxSpreadTime bounds the last step: services that could not be spread by then stay where they are.
const maxSpreadTime = 5 * time.Minute

// Next returns the plan that follows, or nil for none. A zone that is cut off again starts over from
// any step, with the work that was to return to it.
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
		// Work that has not returned after twice the boot time will not.
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
		return nil // a step of another version
	}
	return p
}

// String describes a plan for people.
func (p *Plan) String() string {
	return fmt.Sprintf("%s, %.0f GPUs were at work", p.Step, p.Work)
}
