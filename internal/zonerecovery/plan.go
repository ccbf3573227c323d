package zonerecovery

import (
	"fmt"
	"time"
)

// Step is how far the return of a zone has come.
type Step string

// The steps of a return, in order. After the last there is no plan.
const (
	Kept   Step = "kept"   // the zone is cut off: what would not run sooner elsewhere is kept there
	Fill   Step = "fill"   // it is back, and work goes to it: nothing rented elsewhere is given back yet
	Home   Step = "home"   // as much is at work there as before: what is idle elsewhere is given back
	Spread Step = "spread" // services are spread over the zones anew
)

// Plan is the return of a zone as the store holds it. The next holder goes on with its step:
// what a step does follows from what is seen, and is there or not, so that none is taken twice.
type Plan struct {
	Step   Step
	Number uint64 // of the zone's record with which it began
	Since  time.Time
	Work   float64 // that was done there when it was cut off, in GPUs
}

// Seen is what there is to judge a step by.
type Seen struct {
	Dark   bool
	Number uint64  // of the zone's record
	Work   float64 // that is done there, or may be
	Waits  bool    // work waits that found no room
	Busy   bool    // another zone is cut off, or in doubt, or further behind with its return
	Uneven bool    // services are to be moved

	Settle time.Duration // until all machines of a zone are heard
	Boot   time.Duration // of machines there
	Idle   time.Duration // after which an idle machine is given back
}

// enough is the part of the work that was done there from which on a zone is home: tasks end
// meanwhile, and others begin elsewhere.
const enough = 0.95

// spreadTime bounds how long services are spread after a return.
const spreadTime = 5 * time.Minute

// Next gives the plan that follows, or none. A zone that is cut off again begins anew, whatever
// step it had come to, and with the work that was to come back to it then.
func Next(now time.Time, p *Plan, s Seen) *Plan {
	to := func(step Step) *Plan { return &Plan{step, p.Number, now, p.Work} }
	switch {
	case p == nil && s.Dark:
		return &Plan{Kept, s.Number, now, s.Work}
	case p == nil:
		return nil
	case s.Dark && s.Number > p.Number && p.Step != Kept:
		work := s.Work
		if p.Step == Fill {
			work = max(work, p.Work)
		}
		return &Plan{Kept, s.Number, now, work}
	case s.Dark:
		return p
	}
	switch since := now.Sub(p.Since); p.Step {
	case Kept:
		return to(Fill)
	case Fill:
		full := s.Work >= enough*p.Work || !s.Waits
		// What does not come back in the time in which machines boot is not to be had.
		if since >= s.Settle && full || since >= s.Settle+2*s.Boot {
			return to(Home)
		}
	case Home:
		switch {
		case since < 2*s.Idle:
		case s.Uneven && !s.Busy:
			return to(Spread)
		case !s.Uneven:
			return nil
		}
	case Spread:
		if !s.Uneven || s.Busy || since >= spreadTime {
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
