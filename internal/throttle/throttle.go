// Package throttle limits the concurrency of deferrable work while the process is starved of CPU time. On a busy
// processor such work must yield to the responses that renew leases. The limiter measures how late timers fire, so it
// works on machines of any size without configuration.
package throttle

import (
	"context"
	"sync"
	"time"
)

const (
	// sampleInterval is the time between two samples. It is short compared to a lease, which lasts seconds.
	sampleInterval = 100 * time.Millisecond
	// lateThreshold is the delay above which a timer counts as late. Garbage collection and other processes cause
	// shorter delays even on a machine that is not overloaded.
	lateThreshold = 60 * time.Millisecond
	// MinWindow is the smallest window: deferrable work is slowed down, but never stopped.
	MinWindow = 2
	// MaxWindow is the largest window. It is also the number of direct calls that a leader makes concurrently.
	MaxWindow = 48
)

// Limiter bounds the number of concurrent operations by a window. The window is halved by each timer that is late and
// grows slowly while timers are on time. A Limiter is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	window int
}

// New returns a limiter whose window is half of MaxWindow.
func New() *Limiter { return &Limiter{window: MaxWindow / 2} }

// Window returns how many operations may be in progress.
func (l *Limiter) Window() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.window
}

// Overloaded reports whether the window is nearly at its minimum, since several timers were late.
func (l *Limiter) Overloaded() bool { return l.Window() <= 2*MinWindow }

// Observe adjusts the window according to the delay of a timer.
func (l *Limiter) Observe(lateBy time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lateBy > lateThreshold {
		l.window = max(MinWindow, l.window/2)
	} else {
		l.window = min(MaxWindow, l.window+2)
	}
}

// Run observes timer delays until the context is done.
func (l *Limiter) Run(ctx context.Context) error {
	for {
		start := time.Now()
		timer := time.NewTimer(sampleInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		l.Observe(time.Since(start) - sampleInterval)
	}
}
