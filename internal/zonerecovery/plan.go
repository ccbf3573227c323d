package zonerecovery

import (
	"fmt"
	"time"
)

// Step is a step of the recovery of a zone. Its text is part of the stored format.
type Step string

// The steps of a recovery, in order. After the last one the plan is deleted.
const (
	StepRetain   Step = "kept"   // the zone is cut off; machines are retained if their work would not run sooner elsewhere
	StepRefill   Step = "fill"   // the zone is reachable and work returns; machines requested elsewhere are kept
	StepRefilled Step = "home"   // it runs about as much work as before; idle machines elsewhere are released
	StepSpread   Step = "spread" // services are spread over the zones again
)

// Plan is the stored state of the recovery of a zone. The next leader continues with its step. The actions of a step
// depend on observations alone, so nothing is done twice after a failover.
type Plan struct {
	Step   Step
	Number uint64    // number of the zone's record when the recovery began
	Since  time.Time // when the step began
	Work   float64   // work that ran in the zone when it was cut off, in GPUs
}

// Observation holds what the leader observes of a zone. It determines the next step.
type Observation struct {
	Unreachable   bool
	Number        uint64  // number of the zone's record
	Work          float64 // work that runs in the zone or may run there, in GPUs
	HasQueued     bool    // some work could not be placed
	OtherZoneBusy bool    // another zone is unreachable or suspected, or its recovery takes precedence
	Unbalanced    bool    // services need to be moved to spread them over the zones

	SettleTime  time.Duration // time in which all machines of a zone send a heartbeat
	BootTime    time.Duration // boot time of machines in the zone
	IdleTimeout time.Duration // time after which an idle machine is released
}

// refilledShare is the fraction of its former work at which a zone counts as refilled. It is less than 1, since some
// tasks end in the meantime and others start elsewhere.
const refilledShare = 0.95

// maxSpreadTime bounds the last step. Services that could not be spread by then stay where they are.
const maxSpreadTime = 5 * time.Minute

// Next returns the next plan for a zone: p itself if nothing changes, or nil if there is none. If the zone is cut off
// again, its recovery starts over from any step, and work that had not returned yet still counts.
func Next(now time.Time, p *Plan, o Observation) *Plan {
	nextStep := func(step Step) *Plan { return &Plan{step, p.Number, now, p.Work} }
	switch {
	case p == nil && o.Unreachable:
		return &Plan{StepRetain, o.Number, now, o.Work}
	case p == nil:
		return nil
	case o.Unreachable && o.Number > p.Number && p.Step != StepRetain:
		work := o.Work
		if p.Step == StepRefill {
			work = max(work, p.Work)
		}
		return &Plan{StepRetain, o.Number, now, work}
	case o.Unreachable:
		return p
	}
	switch since := now.Sub(p.Since); p.Step {
	case StepRetain:
		return nextStep(StepRefill)
	case StepRefill:
		refilled := o.Work >= refilledShare*p.Work || !o.HasQueued
		// Work that has not returned after twice the boot time is not expected to return.
		if since >= o.SettleTime && refilled || since >= o.SettleTime+2*o.BootTime {
			return nextStep(StepRefilled)
		}
	case StepRefilled:
		switch {
		case since < 2*o.IdleTimeout:
		case o.Unbalanced && !o.OtherZoneBusy:
			return nextStep(StepSpread)
		case !o.Unbalanced:
			return nil
		}
	case StepSpread:
		if !o.Unbalanced || o.OtherZoneBusy || since >= maxSpreadTime {
			return nil
		}
	default:
		return nil // a step of another version of the program
	}
	return p
}

// String describes the plan for operators.
func (p *Plan) String() string {
	return fmt.Sprintf("%s, %.0f GPUs were at work", p.Step, p.Work)
}
