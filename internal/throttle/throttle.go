// Package throttle bounds what can wait by how late the process is: what takes the processor
// from answers that keep leases must give way, and by itself, whatever the machine.
package throttle

import (
	"context"
	"sync"
	"time"
)

// The time between two looks, how late is too late, and the bounds of the window.
const (
	sampleInterval = 100 * time.Millisecond
	lateThreshold  = 60 * time.Millisecond
	MinWindow      = 2
	MaxWindow      = 48
)

// Limiter is a window of things that may be under way at once. It halves with each timer
// that is late, and grows by little while they are in time.
type Limiter struct {
	mu     sync.Mutex
	window int
}

// New gives a pace with half of the widest window.
func New() *Limiter { return &Limiter{window: MaxWindow / 2} }

// Window is how many things may be under way.
func (p *Limiter) Window() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.window
}

// Overloaded reports whether the process has been late for a while.
func (p *Limiter) Overloaded() bool { return p.Window() <= 2*MinWindow }

// Observe takes in by how much a timer was late.
func (p *Limiter) Observe(lateBy time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lateBy > lateThreshold {
		p.window = max(MinWindow, p.window/2)
	} else {
		p.window = min(MaxWindow, p.window+2)
	}
}

// Run looks until the context ends.
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
