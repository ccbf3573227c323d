package zone

import "time"

// Watch is what a leader knows of zones: the tracked records, and the evidence by which they change.
// It is not safe for concurrent use.
type Watch struct {
	*Tracker
	observers     map[string]Observer
	lastHeartbeat map[string]time.Time // of any machine of a zone
	lastOrphan    map[string]time.Time // of one that the fleet no longer has
	missingSince  map[string]time.Time // zones of which hardly a machine sends heartbeats here
	wokenAt       map[string]time.Time // see Wake
}

// NewWatch begins with the records that the store holds.
func NewWatch(now time.Time, records map[string]Record) *Watch {
	return &Watch{Tracker: New(now, records), lastHeartbeat: make(map[string]time.Time), lastOrphan: make(map[string]time.Time),
		missingSince: make(map[string]time.Time), wokenAt: make(map[string]time.Time)}
}

// SetObservers records what the peers from which heartbeats arrive observe.
func (w *Watch) SetObservers(o map[string]Observer) { w.observers = o }

// NoteHeartbeat records a heartbeat from a zone. An orphan, which is of a machine that was released
// or is unknown, shows as well that the zone can be reached.
func (w *Watch) NoteHeartbeat(now time.Time, zone string, orphan bool) {
	w.lastHeartbeat[zone] = now
	if orphan {
		w.lastOrphan[zone] = now
	}
}

// AddOrphans adds to observations one connected machine for each zone of which an orphan sent a
// heartbeat lately.
func (w *Watch) AddOrphans(now time.Time, maxAge time.Duration, to map[string]Observation) {
	for name, at := range w.lastOrphan {
		if now.Sub(at) < maxAge {
			o := to[name]
			o.Heard++
			to[name] = o
		}
	}
}

// Evidence combines what the leader observes with what its peers do.
func (w *Watch) Evidence(own Observer, cannotJudge bool, controllers int) *Evidence {
	return &Evidence{Own: own, LastHeartbeat: w.lastHeartbeat, CannotJudge: cannotJudge, Peers: w.observers, Controllers: controllers}
}

// Unreachable reports whether a zone is unreachable by its record.
func (w *Watch) Unreachable(zone string) bool { return w.Record(zone).State == Unreachable }

// SuspectedZones lists the zones that are suspected.
func (w *Watch) SuspectedZones() []string {
	var out []string
	for name, r := range w.records {
		if r.State == Suspected {
			out = append(out, name)
		}
	}
	return out
}

// SetMissing records of which zones hardly a machine sends heartbeats to this leader.
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

// CutOff tells since when a zone is cut off, if it is or may be, or was until just now: it takes
// the settling time after a zone is back until all of its machines have sent a heartbeat or could
// not be called. What this leader alone misses is enough to treat a zone as cut off before
// several controllers have judged it, or where they can't.
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

// Wake reports whether all missing machines of a zone are to be called anew because one of them has
// sent a heartbeat again. It does so once in an interval.
func (w *Watch) Wake(now time.Time, zone string, interval time.Duration) bool {
	if now.Sub(w.wokenAt[zone]) < interval {
		return false
	}
	w.wokenAt[zone] = now
	return true
}
