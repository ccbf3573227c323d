package leader

import (
	"slices"
	"testing"
)

// TestContention: rounds that are refused become smaller, and grow again once they are taken.
func TestContention(t *testing.T) {
	const allowed = 67
	var c contention
	if got := c.limit(allowed); got != allowed {
		t.Errorf("nothing was refused yet: %d homes of %d", got, allowed)
	}
	for homes, want := 40, []int{20, 10, 8, 8}; len(want) > 0; want = want[1:] {
		c.refused(homes)
		if homes = c.limit(allowed); homes != want[0] {
			t.Errorf("after another refusal: %d homes, not %d", homes, want[0])
		}
	}
	for _, want := range []int{16, 32, 64, allowed} {
		if c.taken(); c.limit(allowed) != want {
			t.Errorf("after another round was taken: %d homes, not %d", c.limit(allowed), want)
		}
	}
	for range 20 {
		c.taken()
	}
	if c != (contention{}) {
		t.Errorf("a bound is left: %+v", c)
	}
}

// TestCompletionQueue: what finished first is stored first, whatever its job's name.
func TestCompletionQueue(t *testing.T) {
	u := completionQueue{}
	u.add("wk-9", 1)
	u.add("wk-1", 2)
	u.add("wk-2", 2)
	u.add("wk-9", 7) // its turn stays
	if got := u.oldestFirst(); !slices.Equal(got, []string{"wk-9", "wk-1", "wk-2"}) {
		t.Errorf("stored in the order %v", got)
	}
	u.remove("wk-1")
	if got := u.oldestFirst(); !slices.Equal(got, []string{"wk-9", "wk-2"}) {
		t.Errorf("stored in the order %v", got)
	}
}
