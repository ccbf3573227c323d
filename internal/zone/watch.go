package zone

import "time"

// Watch holds what a leader knows about zones: their records, and the evidence by which they change. It is not safe for
// concurrent use.
type Watch struct {
	*Tracker
	observers     map[string]Observer
	lastHeartbeat map[string]time.Time // last heartbeat of any machine, by zone
	lastOrphan    map[string]time.Time // last heartbeat of a machine that was released or is unknown, by zone
	missingSince  map[string]time.Time // since when hardly any heartbeats from a zone reach this leader
	lastRetry     map[string]time.Time // when Wake last returned true, by zone
}

// NewWatch returns a Watch with the records that the store holds.
func NewWatch(now time.Time, records map[string]Record) *Watch {
	return &Watch{Tracker: New(now, records), lastHeartbeat: make(map[string]time.Time), lastOrphan: make(map[string]time.Time),
		missingSince: make(map[string]time.Time), lastRetry: make(map[string]time.Time)}
}

// SetObservers sets the observations of the peers from which heartbeats arrive.
func (w *Watch) SetObservers(o map[string]Observer) { w.observers = o }

// NoteHeartbeat records a heartbeat from a zone. An orphan is a machine that was released or is unknown: its heartbeat
// also shows that the zone can be reached.
func (w *Watch) NoteHeartbeat(now time.Time, zone string, orphan bool) {
	w.lastHeartbeat[zone] = now
	if orphan {
		w.lastOrphan[zone] = now
	}
}

// AddOrphans counts one more machine with a recent heartbeat in each zone from which an orphan sent a heartbeat less
// than maxAge ago.
func (w *Watch) AddOrphans(now time.Time, maxAge time.Duration, observations map[string]Observation) {
	for name, at := range w.lastOrphan {
		if now.Sub(at) < maxAge {
			o := observations[name]
			o.Heard++
			observations[name] = o
		}
	}
}

// Evidence combines the leader's observations with those of its peers.
func (w *Watch) Evidence(own Observer, cannotJudge bool, controllers int) *Evidence {
	return &Evidence{Own: own, LastHeartbeat: w.lastHeartbeat, CannotJudge: cannotJudge, Peers: w.observers, Controllers: controllers}
}

// Unreachable reports whether a zone is unreachable according to its record.
func (w *Watch) Unreachable(zone string) bool { return w.Record(zone).State == Unreachable }

// SuspectedZones lists the zones that are suspected according to their records.
func (w *Watch) SuspectedZones() []string {
	var out []string
	for name, r := range w.records {
		if r.State == Suspected {
			out = append(out, name)
		}
	}
	return out
}

// SetMissing records the zones from which hardly any machine sends heartbeats to this leader.
func (w *Watch) SetMissing(now time.Time, zones map[string]bool) {
	for name := range w.missingSince {
		if !zones[name] {
			delete(w.missingSince, name)
		}
	}
	for name, missing := range zones {
		if _, known := w.missingSince[name]; missing && !known {
			w.missingSince[name] = now
		}
	}
}

// CutOff reports whether a zone is, may be or was until recently cut off, and since when. A recovering zone counts as
// cut off for the settling time, in which each of its machines either sends a heartbeat or turns out not to answer
// calls. Heartbeats that are missing at this leader alone are enough to treat a zone as cut off before several
// controllers have judged it, or where they cannot.
func (w *Watch) CutOff(now time.Time, zone string, settling time.Duration) (since time.Time, cutOff bool) {
	switch r := w.Record(zone); {
	case r.State == Unreachable, r.State == Suspected:
		return r.Since, true
	case r.State == Recovering && now.Sub(r.Since) < settling:
		return now, true
	}
	since, cutOff = w.missingSince[zone]
	return since, cutOff
}

// AllowRetry reports whether all missing machines of a zone should be called again now that one of them has sent a
// heartbeat. It returns true, and records that, at most once per interval.
func (w *Watch) AllowRetry(now time.Time, zone string, interval time.Duration) bool {
	if now.Sub(w.lastRetry[zone]) < interval {
		return false
	}
	w.lastRetry[zone] = now
	return true
}
