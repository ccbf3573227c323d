package zonerecovery

import (
	"testing"
	"time"
)

// TestTracker: what several recoveries together allow, and a time of a clock that is ahead.
func TestTracker(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := NewTracker()
	if !r.OnlySpreading() || r.Refilling() || r.Plan("a") != nil {
		t.Error("without plans")
	}
	r.Recover(now, "a", Plan{Step: StepRefill, Since: now.Add(time.Hour)})
	if !r.Plan("a").Since.Equal(now) {
		t.Error("a time in the future counts")
	}
	r.Commit("b", &Plan{Step: StepSpread, Since: now})
	if r.OnlySpreading() || !r.Refilling() || !r.Before("a", "b") || r.Before("b", "a") {
		t.Error("a refills while b spreads")
	}
	r.Commit("a", &Plan{Step: StepSpread, Since: now})
	if !r.OnlySpreading() || r.Refilling() || !r.Before("a", "b") || r.Before("b", "a") {
		t.Error("both spread, a first")
	}
	r.Commit("a", nil)
	if got := r.Progress(); len(got) != 1 || got["b"] == "" {
		t.Error(got)
	}
}
