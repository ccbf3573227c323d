package throttle

import (
	"testing"
	"time"
)

// TestLimiter gives way at once to a process that is late, and comes back slowly.
func TestLimiter(t *testing.T) {
	p := New()
	for range 20 {
		p.Observe(0)
	}
	if p.Window() != MaxWindow || p.Overloaded() {
		t.Errorf("in time: %d", p.Window())
	}
	for range 4 {
		p.Observe(time.Second)
	}
	if !p.Overloaded() {
		t.Errorf("after four late timers: %d", p.Window())
	}
	for range 9 {
		p.Observe(time.Second)
	}
	if p.Window() != MinWindow {
		t.Errorf("it stops whole: %d", p.Window())
	}
	p.Observe(time.Millisecond)
	if p.Window() > MaxWindow/4 {
		t.Errorf("back at once: %d", p.Window())
	}
}
