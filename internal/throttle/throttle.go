// Package pace bounds what can wait by how late the process is: what takes the processor
// from answers that keep leases must give way, and by itself, whatever the machine.
package throttle

import (
	"context"
	"sync"
	"time"
)

// The time between two looks, how late is too late, and the bounds of the window.
const (
	every = 100 * time.Millisecond
	late  = 60 * time.Millisecond
	Least = 2
	Most  = 48
)

// Pace is a window of things that may be under way at once. It halves with each timer
// that is late, and grows by little while they are in time.
type Pace struct {
	mu     sync.Mutex
	window int
}

// New gives a pace with half of the widest window.
func New() *Pace { return &Pace{window: Most / 2} }

// Window is how many things may be under way.
func (p *Pace) Window() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.window
}

// Late reports whether the process has been late for a while.
func (p *Pace) Late() bool { return p.Window() <= 2*Least }

// Take takes in by how much a timer was late.
func (p *Pace) Take(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if by > late {
		p.window = max(Least, p.window/2)
	} else {
		p.window = min(Most, p.window+2)
	}
}

// Run looks until the context ends.
func (p *Pace) Run(ctx context.Context) error {
	for {
		begun := time.Now()
		t := time.NewTimer(every)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-t.C:
		}
		p.Take(time.Since(begun) - every)
	}
}
