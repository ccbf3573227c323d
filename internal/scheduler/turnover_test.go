package scheduler

import (
	"testing"
	"time"
)

// TestTurnover checks that freed capacity is consumed only once, in the step in which it suffices, and
// that the remainder stays available.
func TestTurnover(t *testing.T) {
	var freed turnover
	freed.add(1, 5*time.Second, Resources{CPUs: 10}, 0.5)
	freed.add(1, 25*time.Second, Resources{CPUs: 4}, 1)
	freed.add(1, turnoverSteps*turnoverStep, Resources{CPUs: 99}, 1) // too late to count
	if _, ok := freed.consume(1, Resources{CPUs: 6}, 2); ok {
		t.Error("6 CPUs are free within 20 s, want later")
	}
	if step, ok := freed.consume(1, Resources{CPUs: 6}, turnoverSteps); !ok || step != 2 {
		t.Errorf("6 CPUs: got step %d, ok %v; want step 2", step, ok)
	}
	if step, ok := freed.consume(1, Resources{CPUs: 3}, turnoverSteps); !ok || step != 2 {
		t.Errorf("3 more CPUs: got step %d, ok %v; want step 2", step, ok)
	}
	if _, ok := freed.consume(1, Resources{CPUs: 1}, turnoverSteps); ok {
		t.Error("another CPU is free although all capacity has been consumed")
	}
}
