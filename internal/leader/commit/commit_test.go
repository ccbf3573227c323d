package commit

import (
	"slices"
	"testing"
)

// TestConflictBackoff: rounds that are refused become smaller, and grow again once they are committed.
func TestConflictBackoff(t *testing.T) {
	const allowed = 67
	var c ConflictBackoff
	if got := c.Limit(allowed); got != allowed {
		t.Errorf("nothing was refused yet: %d batches of %d", got, allowed)
	}
	for batches, want := 40, []int{20, 10, 8, 8}; len(want) > 0; want = want[1:] {
		c.Refused(batches)
		if batches = c.Limit(allowed); batches != want[0] {
			t.Errorf("after another refusal: %d batches, not %d", batches, want[0])
		}
	}
	for _, want := range []int{16, 32, 64, allowed} {
		if c.Committed(); c.Limit(allowed) != want {
			t.Errorf("after another round was committed: %d batches, not %d", c.Limit(allowed), want)
		}
	}
	for range 20 {
		c.Committed()
	}
	if c != (ConflictBackoff{}) {
		t.Errorf("a bound is left: %+v", c)
	}
}

// TestCompletionQueue: what finished first is stored first, whatever its job's name.
func TestCompletionQueue(t *testing.T) {
	u := CompletionQueue{}
	u.Add("wk-9", 1)
	u.Add("wk-1", 2)
	u.Add("wk-2", 2)
	u.Add("wk-9", 7) // its turn stays
	if got := u.OldestFirst(); !slices.Equal(got, []string{"wk-9", "wk-1", "wk-2"}) {
		t.Errorf("stored in the order %v", got)
	}
	u.Remove("wk-1")
	if got := u.OldestFirst(); !slices.Equal(got, []string{"wk-9", "wk-2"}) {
		t.Errorf("stored in the order %v", got)
	}
}
