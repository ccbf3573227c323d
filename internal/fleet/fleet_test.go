package fleet

import (
	"testing"
	"time"
)

// TestHolds keeps the most recently used images that fit the cache: counting
// on one that has been dropped would make a task wait for its fetch.
func TestHolds(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := New(1, now, time.Minute, 0, 0).Know(now, "n-1", "g4", "a", false)
	m.Use(now, "old", 20)
	m.Use(now.Add(time.Second), "mid", 20)
	m.Use(now.Add(2*time.Second), "new", 20)
	if h := m.Holds(50); len(h) != 2 || !h["new"] || !h["mid"] {
		t.Errorf("holds %v", h)
	}
	m.Use(now.Add(3*time.Second), "old", 20)
	if h := m.Holds(50); len(h) != 2 || !h["old"] || !h["new"] {
		t.Errorf("holds %v after old was used again", h)
	}
}
