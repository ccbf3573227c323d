package zonerecovery

import "time"

// Tracker holds the plans of the zones that come back into use, and what the last scheduling round
// left for the work of machines that are cut off.
type Tracker struct {
	FreeCapacity FreeCapacity
	Unbalanced   bool // services are to be moved, by the last plan of the scheduler

	plans map[string]*Plan
}

// NewTracker returns a tracker without plans.
func NewTracker() *Tracker { return &Tracker{plans: make(map[string]*Plan)} }

// Recover adds a plan that the store holds. A time of another clock that is yet to come counts as
// now.
func (t *Tracker) Recover(now time.Time, zone string, p Plan) {
	if p.Since.After(now) {
		p.Since = now
	}
	t.plans[zone] = &p
}

// Plan returns the plan for a zone, or nil.
func (t *Tracker) Plan(zone string) *Plan { return t.plans[zone] }

// Commit records a plan that the store has taken; nil ends the recovery of the zone.
func (t *Tracker) Commit(zone string, p *Plan) {
	if p == nil {
		delete(t.plans, zone)
		return
	}
	t.plans[zone] = p
}

// Before reports whether the recovery of a zone goes before that of another, which then does not
// spread its services yet: it has not come that far, or its name is first.
func (t *Tracker) Before(zone, other string) bool {
	p := t.plans[zone]
	return p != nil && (p.Step != StepSpread || zone < other)
}

// OnlySpreading reports whether every recovery has come to the last step, or there is none.
func (t *Tracker) OnlySpreading() bool {
	for _, p := range t.plans {
		if p.Step != StepSpread {
			return false
		}
	}
	return true
}

// Refilling reports whether work is still away from a zone to which it returns: what was requested
// elsewhere for it is not given back before.
func (t *Tracker) Refilling() bool {
	for _, p := range t.plans {
		if p.Step == StepRefill {
			return true
		}
	}
	return false
}

// Progress describes the recovery of each zone for people.
func (t *Tracker) Progress() map[string]string {
	out := make(map[string]string, len(t.plans))
	for zone, p := range t.plans {
		out[zone] = p.String()
	}
	return out
}
