package zonerecovery

import "time"

// Tracker holds the plans of the zones that are recovering, and the capacity that the last scheduling round left for
// the work of machines that are cut off.
type Tracker struct {
	FreeCapacity FreeCapacity
	Unbalanced   bool // services need to be moved, according to the last plan of the scheduler

	plans map[string]*Plan
}

// NewTracker returns a tracker without plans.
func NewTracker() *Tracker { return &Tracker{plans: make(map[string]*Plan)} }

// Recover adds a plan that the store holds. A time in the future, written by a leader whose clock is ahead, is replaced
// by now.
func (t *Tracker) Recover(now time.Time, zone string, p Plan) {
	if p.Since.After(now) {
		p.Since = now
	}
	t.plans[zone] = &p
}

// Plan returns the plan for a zone, or nil if there is none.
func (t *Tracker) Plan(zone string) *Plan { return t.plans[zone] }

// Commit records a plan that the store has committed. A nil plan ends the recovery of the zone.
func (t *Tracker) Commit(zone string, p *Plan) {
	if p == nil {
		delete(t.plans, zone)
		return
	}
	t.plans[zone] = p
}

// Precedes reports whether the recovery of a zone takes precedence over that of another zone, whose services are then
// not spread yet. This is so if the zone has not reached the spreading step, or if its name sorts first.
func (t *Tracker) Precedes(zone, other string) bool {
	p := t.plans[zone]
	return p != nil && (p.Step != StepSpread || zone < other)
}

// OnlySpreading reports whether every recovery has reached the last step. It is true without any recovery.
func (t *Tracker) OnlySpreading() bool {
	for _, p := range t.plans {
		if p.Step != StepSpread {
			return false
		}
	}
	return true
}

// Refilling reports whether work is still returning to some zone. Until then, machines that were requested elsewhere
// for it are not released.
func (t *Tracker) Refilling() bool {
	for _, p := range t.plans {
		if p.Step == StepRefill {
			return true
		}
	}
	return false
}

// Progress describes the recovery of each zone for operators.
func (t *Tracker) Progress() map[string]string {
	out := make(map[string]string, len(t.plans))
	for zone, p := range t.plans {
		out[zone] = p.String()
	}
	return out
}
