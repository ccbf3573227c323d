package throttle

import (
	"testing"
	"time"
)

// TestPace gives way at once to a process that is late, and comes back slowly.
func TestPace(t *testing.T) {
	p := New()
	for range 20 {
		p.Take(0)
	}
	if p.Window() != Most || p.Late() {
		t.Errorf("in time: %d", p.Window())
	}
	for range 4 {
		p.Take(time.Second)
	}
	if !p.Late() {
		t.Errorf("after four late timers: %d", p.Window())
	}
	for range 9 {
		p.Take(time.Second)
	}
	if p.Window() != Least {
		t.Errorf("it stops whole: %d", p.Window())
	}
	p.Take(time.Millisecond)
	if p.Window() > Most/4 {
		t.Errorf("back at once: %d", p.Window())
	}
}
