package scheduler

import (
	"testing"
	"time"
)

// TestTurnover: what tasks free is used once, in the step in which it is enough, and what is left
// of it stays.
func TestTurnover(t *testing.T) {
	var turn turnover
	turn.add(1, 5*time.Second, Resources{CPUs: 10}, 0.5)
	turn.add(1, 25*time.Second, Resources{CPUs: 4}, 1)
	turn.add(1, turnoverSteps*turnoverStep, Resources{CPUs: 99}, 1) // too late to count
	if _, ok := turn.consume(1, Resources{CPUs: 6}, 2); ok {
		t.Error("6 CPUs are there after 20 s")
	}
	if step, ok := turn.consume(1, Resources{CPUs: 6}, turnoverSteps); !ok || step != 2 {
		t.Errorf("6 CPUs are there in step %d: %v", step, ok)
	}
	if step, ok := turn.consume(1, Resources{CPUs: 3}, turnoverSteps); !ok || step != 2 {
		t.Errorf("3 more are there in step %d: %v", step, ok)
	}
	if _, ok := turn.consume(1, Resources{CPUs: 1}, turnoverSteps); ok {
		t.Error("something is left")
	}
}
