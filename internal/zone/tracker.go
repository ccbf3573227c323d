package zone

import (
	"slices"
	"time"
)

// Change is a new record of a zone. It takes effect once the store has committed it.
type Change struct {
	Zone     string
	Record   Record
	Previous State
	Reason   string
}

// Tracker holds the records of zones. A zone without a record is up.
type Tracker struct {
	records map[string]Record
	probes  map[string]probe
}

// New returns a tracker with the records that the store holds. A time in the future, written by a leader whose clock is
// ahead, is replaced by now.
func New(now time.Time, records map[string]Record) *Tracker {
	t := &Tracker{records: make(map[string]Record), probes: make(map[string]probe)}
	for name, r := range records {
		if r.Since.After(now) {
			r.Since = now
		}
		t.records[name] = r
	}
	return t
}

// Record returns the record of a zone.
func (t *Tracker) Record(zone string) Record {
	if r, ok := t.records[zone]; ok {
		return r
	}
	return Record{State: Up}
}

// Records returns a copy of all records by zone.
func (t *Tracker) Records() map[string]Record {
	out := make(map[string]Record, len(t.records))
	for name, r := range t.records {
		out[name] = r
	}
	return out
}

// Next returns the changes that follow from the evidence, sorted by zone, without applying them.
func (t *Tracker) Next(now time.Time, e *Evidence) []Change {
	names := make(map[string]bool)
	for name := range t.records {
		names[name] = true
	}
	for name := range e.Own.Observations {
		names[name] = true
	}
	var out []Change
	for name := range names {
		r := t.Record(name)
		to := r.next(now, name, e)
		if to == r.State {
			continue
		}
		next := Record{to, r.Number + 1, now, r.Outages}
		if r.State == Up && now.Sub(r.Since) >= outageMemory {
			next.Outages = 0
		}
		if to == Unreachable {
			next.Outages++
		}
		out = append(out, Change{name, next, r.State, e.summary(name)})
	}
	slices.SortFunc(out, func(a, b Change) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return out
}

// next returns the state that follows from the evidence.
func (r Record) next(now time.Time, zone string, e *Evidence) State {
	if r.State == Unreachable {
		if e.recovered(zone, r) {
			return Recovering
		}
		return Unreachable
	}
	own := e.Own.Observations[zone]
	switch {
	case e.canJudge(zone) && own.unreachable() && e.majorityUnreachable(zone):
		return Unreachable
	case r.State != Suspected && e.canJudge(zone) && own.unreachable():
		return Suspected
	case !e.canJudge(zone) || own.mostlyMissing(): // there is no evidence that the zone is reachable: the state stays
	case r.State == Suspected:
		if r.Outages > 0 {
			return Recovering // the stable period starts again
		}
		return Up
	case r.State == Recovering && now.Sub(r.Since) >= r.StablePeriod():
		return Up
	}
	return r.State
}

// Commit applies changes that the store has committed.
func (t *Tracker) Commit(changes []Change) {
	for _, c := range changes {
		t.records[c.Zone] = c.Record
		if c.Record.Outages <= 1 { // after repeated outages the probe interval is not reset
			delete(t.probes, c.Zone)
		}
	}
}
