package zone

import (
	"slices"
	"time"
)

// Change is the next record of a zone, which counts once the store has taken it.
type Change struct {
	Zone     string
	Record   Record
	Previous State
	Reason   string
}

// Tracker holds the record of each zone that has one; any other zone is up.
type Tracker struct {
	records map[string]Record
	probes  map[string]probe
}

// New begins with the records that the store holds. A time in the future, which a leader with another
// clock wrote, counts as now.
func New(now time.Time, records map[string]Record) *Tracker {
	z := &Tracker{records: make(map[string]Record), probes: make(map[string]probe)}
	for name, r := range records {
		if r.Since.After(now) {
			r.Since = now
		}
		z.records[name] = r
	}
	return z
}

// Record returns the record of a zone.
func (z *Tracker) Record(zone string) Record {
	if r, ok := z.records[zone]; ok {
		return r
	}
	return Record{State: Up}
}

// Records returns every record. The map is the caller's.
func (z *Tracker) Records() map[string]Record {
	out := make(map[string]Record, len(z.records))
	for name, r := range z.records {
		out[name] = r
	}
	return out
}

// Next returns the changes that are due by the evidence, without making them.
func (z *Tracker) Next(now time.Time, e *Evidence) []Change {
	names := make(map[string]bool)
	for name := range z.records {
		names[name] = true
	}
	for name := range e.Own.Observations {
		names[name] = true
	}
	var out []Change
	for name := range names {
		r := z.Record(name)
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

// next returns the state that follows.
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
	case !e.canJudge(zone) || own.mostlyMissing(): // a suspicion ends only by evidence against it
	case r.State == Suspected:
		if r.Outages > 0 {
			return Recovering // whose stable period begins again
		}
		return Up
	case r.State == Recovering && now.Sub(r.Since) >= r.StablePeriod():
		return Up
	}
	return r.State
}

// Commit applies changes that the store has taken.
func (z *Tracker) Commit(changes []Change) {
	for _, c := range changes {
		z.records[c.Zone] = c.Record
		if c.Record.Outages <= 1 { // repeated outages don't bring probes forward
			delete(z.probes, c.Zone)
		}
	}
}
