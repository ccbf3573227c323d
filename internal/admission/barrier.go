package admission

import (
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// barrierRead is a read that is begun as a job is sent to the state service. It shows what happened
// to the job on other controllers before that.
type barrierRead struct {
	follow *store.Follower

	mu    sync.Mutex
	begun time.Time
	done  func(ctx context.Context) error
}

// begin begins the read.
func (r *barrierRead) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun, r.done = time.Now(), r.follow.RequestBarrier()
}

// age returns how long ago it was begun.
func (r *barrierRead) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.begun)
}

// wait waits until what was read is in the view.
func (r *barrierRead) wait(ctx context.Context) error {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	return done(ctx)
}
