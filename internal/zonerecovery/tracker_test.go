package zonerecovery

import (
	"testing"
	"time"
)

// TestTracker checks which steps concurrent recoveries allow each other, and that a stored time in the future is
// replaced by now.
func TestTracker(t *testing.T) {
	now := time.Unix(1e9, 0)
	tracker := NewTracker()
	if !tracker.OnlySpreading() || tracker.Refilling() || tracker.Plan("a") != nil {
		t.Error("wrong state without plans")
	}
	tracker.Recover(now, "a", Plan{Step: StepRefill, Since: now.Add(time.Hour)})
	if !tracker.Plan("a").Since.Equal(now) {
		t.Error("a time in the future is not replaced by now")
	}
	tracker.Commit("b", &Plan{Step: StepSpread, Since: now})
	if tracker.OnlySpreading() || !tracker.Refilling() || !tracker.Precedes("a", "b") || tracker.Precedes("b", "a") {
		t.Error("wrong state while zone a refills and zone b spreads")
	}
	tracker.Commit("a", &Plan{Step: StepSpread, Since: now})
	if !tracker.OnlySpreading() || tracker.Refilling() || !tracker.Precedes("a", "b") || tracker.Precedes("b", "a") {
		t.Error("wrong state while both zones spread: a comes first")
	}
	tracker.Commit("a", nil)
	if got := tracker.Progress(); len(got) != 1 || got["b"] == "" {
		t.Error(got)
	}
}
