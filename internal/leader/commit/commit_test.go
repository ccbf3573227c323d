package commit

import (
	"slices"
	"testing"
)

// TestConflictBackoff checks that the limit shrinks when rounds are refused, and grows again when they are committed.
func TestConflictBackoff(t *testing.T) {
	const allowed = 67
	var c ConflictBackoff
	if got := c.Limit(allowed); got != allowed {
		t.Errorf("limit before any refusal: %d batches, not %d", got, allowed)
	}
	for batches, want := 40, []int{20, 10, 8, 8}; len(want) > 0; want = want[1:] {
		c.Refused(batches)
		if batches = c.Limit(allowed); batches != want[0] {
			t.Errorf("limit after another refusal: %d batches, not %d", batches, want[0])
		}
	}
	for _, want := range []int{16, 32, 64, allowed} {
		if c.Committed(); c.Limit(allowed) != want {
			t.Errorf("limit after another committed round: %d batches, not %d", c.Limit(allowed), want)
		}
	}
	for range 20 {
		c.Committed()
	}
	if c != (ConflictBackoff{}) {
		t.Errorf("the bound is not removed: %+v", c)
	}
}

// TestCompletionQueue checks that jobs are stored in the order in which their tasks finished, not by name.
func TestCompletionQueue(t *testing.T) {
	q := CompletionQueue{}
	q.Add("wk-9", 1)
	q.Add("wk-1", 2)
	q.Add("wk-2", 2)
	q.Add("wk-9", 7) // keeps its position
	if got := q.OldestFirst(); !slices.Equal(got, []string{"wk-9", "wk-1", "wk-2"}) {
		t.Errorf("stored in the order %v", got)
	}
	q.Remove("wk-1")
	if got := q.OldestFirst(); !slices.Equal(got, []string{"wk-9", "wk-2"}) {
		t.Errorf("stored in the order %v", got)
	}
}
