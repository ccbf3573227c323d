package throttle

import (
	"testing"
	"time"
)

// TestLimiter checks that the window shrinks at once when timers are late, and grows back slowly.
func TestLimiter(t *testing.T) {
	l := New()
	for range 20 {
		l.Observe(0)
	}
	if l.Window() != MaxWindow || l.Overloaded() {
		t.Errorf("timers on time: window %d", l.Window())
	}
	for range 4 {
		l.Observe(time.Second)
	}
	if !l.Overloaded() {
		t.Errorf("not overloaded after four late timers: window %d", l.Window())
	}
	for range 9 {
		l.Observe(time.Second)
	}
	if l.Window() != MinWindow {
		t.Errorf("window %d after thirteen late timers, want MinWindow", l.Window())
	}
	l.Observe(time.Millisecond)
	if l.Window() > MaxWindow/4 {
		t.Errorf("window %d after one timer on time: it grows too fast", l.Window())
	}
}
