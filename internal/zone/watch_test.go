package zone

import (
	"testing"
	"time"
)

// TestCutOff checks that a zone counts as cut off by its record, for the settling time after it can be reached again,
// and while the leader alone misses its heartbeats.
func TestCutOff(t *testing.T) {
	start := time.Unix(1e9, 0)
	const settling = 8 * time.Second
	w := NewWatch(start, map[string]Record{"a": {State: Unreachable, Since: start}, "b": {State: Suspected, Since: start}, "c": {State: Recovering, Since: start}})
	now := start.Add(settling - 1)
	for zone, since := range map[string]time.Time{"a": start, "b": start, "c": now} {
		if got, cutOff := w.CutOff(now, zone, settling); !cutOff || !got.Equal(since) {
			t.Errorf("zone %s: cut off %v, since %v", zone, cutOff, got)
		}
	}
	if _, cutOff := w.CutOff(start.Add(settling), "c", settling); cutOff {
		t.Error("a recovering zone is still cut off after the settling time")
	}
	w.SetMissing(start, map[string]bool{"d": true, "e": false})
	w.SetMissing(now, map[string]bool{"d": true, "e": true})
	if got, cutOff := w.CutOff(now, "d", settling); !cutOff || !got.Equal(start) {
		t.Errorf("zone whose heartbeats are missing at this leader: cut off %v, since %v", cutOff, got)
	}
	w.SetMissing(now, nil)
	if _, cutOff := w.CutOff(now, "d", settling); cutOff {
		t.Error("a zone is still cut off although its heartbeats are no longer missing")
	}
}

// TestWake checks that the machines of a zone are called again at most once per interval.
func TestWake(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := NewWatch(now, nil)
	for i, want := range []bool{true, false, false, true, false} {
		if got := w.AllowRetry(now.Add(time.Duration(i)*time.Second), "a", 3*time.Second); got != want {
			t.Errorf("after %d s: Wake returned %v", i, got)
		}
	}
}

// TestOrphans checks that a heartbeat of a released machine counts for its zone until it is too old.
func TestOrphans(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := NewWatch(now, nil)
	w.NoteHeartbeat(now, "a", true)
	w.NoteHeartbeat(now, "b", false)
	observations := map[string]Observation{"a": {Heard: 2}}
	w.AddOrphans(now.Add(time.Second-1), time.Second, observations)
	w.AddOrphans(now.Add(time.Second), time.Second, observations)
	if len(observations) != 1 || observations["a"].Heard != 3 {
		t.Errorf("%+v", observations)
	}
	if e := w.Evidence(Observer{}, false, 3); !e.LastHeartbeat["a"].Equal(now) || !e.LastHeartbeat["b"].Equal(now) {
		t.Errorf("%+v", e)
	}
}

// TestSuspectedZones checks that zones are suspected or unreachable according to their records.
func TestSuspectedZones(t *testing.T) {
	w := NewWatch(time.Unix(1e9, 0), map[string]Record{"a": {State: Unreachable}, "b": {State: Suspected}, "c": {State: Up}})
	if got := w.SuspectedZones(); len(got) != 1 || got[0] != "b" {
		t.Error(got)
	}
	if !w.Unreachable("a") || w.Unreachable("b") || w.Unreachable("x") {
		t.Error("Unreachable does not follow the records")
	}
}
