// Package throttle bounds the work that can wait by how late the process runs. On a busy processor,
// such work must give way to the answers that renew leases, whatever the size of the machine: the
// limiter measures how late timers fire and needs no configuration.
package throttle

import (
	"context"
	"sync"
	"time"
)

const (
	// sampleInterval is the time between two samples: short against the seconds of a lease.
	sampleInterval = 100 * time.Millisecond
	// lateThreshold is by how much a timer must be late to count. Garbage collection and other processes
	// delay timers by less even on a machine that is not overloaded.
	lateThreshold = 60 * time.Millisecond
	// MinWindow is the smallest window: work that can wait is slowed down, but never stops.
	MinWindow = 2
	// MaxWindow is the widest window, which is also how many direct calls a leader makes at once.
	MaxWindow = 48
)

// Limiter is a window of operations that may be in progress at once. It halves with each timer that
// is late, and grows slowly while timers are on time. It is safe for concurrent use.
type Limiter struct {
	mu     sync.Mutex
	window int
}

// New returns a limiter with half of the widest window.
func New() *Limiter { return &Limiter{window: MaxWindow / 2} }

// Window is how many operations may be in progress.
func (p *Limiter) Window() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.window
}

// Overloaded reports whether timers have been late for a while.
func (p *Limiter) Overloaded() bool { return p.Window() <= 2*MinWindow }

// Observe adjusts the window by how late a timer was.
func (p *Limiter) Observe(lateBy time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lateBy > lateThreshold {
		p.window = max(MinWindow, p.window/2)
	} else {
		p.window = min(MaxWindow, p.window+2)
	}
}

// Run samples until the context ends.
func (p *Limiter) Run(ctx context.Context) error {
	for {
		begun := time.Now()
		t := time.NewTimer(sampleInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		p.Observe(time.Since(begun) - sampleInterval)
	}
}
