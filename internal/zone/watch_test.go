package zone

import (
	"testing"
	"time"
)

// TestCutOff: a zone is cut off by its record, for a while after it can be reached again, or by what the
// leader alone misses.
func TestCutOff(t *testing.T) {
	begun := time.Unix(1e9, 0)
	const settling = 8 * time.Second
	w := NewWatch(begun, map[string]Record{"a": {State: Unreachable, Since: begun}, "b": {State: Suspected, Since: begun}, "c": {State: Recovering, Since: begun}})
	now := begun.Add(settling - 1)
	for zone, since := range map[string]time.Time{"a": begun, "b": begun, "c": now} {
		if got, cutOff := w.CutOff(now, zone, settling); !cutOff || !got.Equal(since) {
			t.Errorf("%s is cut off: %v, since %v", zone, cutOff, got)
		}
	}
	if _, cutOff := w.CutOff(begun.Add(settling), "c", settling); cutOff {
		t.Error("a zone that can be reached stays cut off")
	}
	w.SetMissing(begun, map[string]bool{"d": true, "e": false})
	w.SetMissing(now, map[string]bool{"d": true, "e": true})
	if got, cutOff := w.CutOff(now, "d", settling); !cutOff || !got.Equal(begun) {
		t.Errorf("by what is missing here: %v, since %v", cutOff, got)
	}
	w.SetMissing(now, nil)
	if _, cutOff := w.CutOff(now, "d", settling); cutOff {
		t.Error("although nothing is missing any more")
	}
}

// TestWake: the machines of a zone are called anew once in an interval.
func TestWake(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := NewWatch(now, nil)
	for i, want := range []bool{true, false, false, true, false} {
		if got := w.Wake(now.Add(time.Duration(i)*time.Second), "a", 3*time.Second); got != want {
			t.Errorf("after %d s: %v", i, got)
		}
	}
}

// TestOrphans: a heartbeat of a machine that was released counts for its zone for a while.
func TestOrphans(t *testing.T) {
	now := time.Unix(1e9, 0)
	w := NewWatch(now, nil)
	w.NoteHeartbeat(now, "a", true)
	w.NoteHeartbeat(now, "b", false)
	seen := map[string]Observation{"a": {Heard: 2}}
	w.AddOrphans(now.Add(time.Second-1), time.Second, seen)
	w.AddOrphans(now.Add(time.Second), time.Second, seen)
	if len(seen) != 1 || seen["a"].Heard != 3 {
		t.Errorf("%+v", seen)
	}
	if e := w.Evidence(Observer{}, false, 3); !e.LastHeartbeat["a"].Equal(now) || !e.LastHeartbeat["b"].Equal(now) {
		t.Errorf("%+v", e)
	}
}

// TestSuspectedZones lists those whose record says so.
func TestSuspectedZones(t *testing.T) {
	w := NewWatch(time.Unix(1e9, 0), map[string]Record{"a": {State: Unreachable}, "b": {State: Suspected}, "c": {State: Up}})
	if got := w.SuspectedZones(); len(got) != 1 || got[0] != "b" {
		t.Error(got)
	}
	if !w.Unreachable("a") || w.Unreachable("b") || w.Unreachable("x") {
		t.Error("unreachable zones")
	}
}
