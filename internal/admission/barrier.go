package admission

import (
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// barrierRead is a read barrier that is requested when a job is sent to the state service. Once it has
// completed, the view shows what other controllers had done with the job before that.
type barrierRead struct {
	follow *store.Follower

	mu           sync.Mutex
	startedAt    time.Time
	awaitBarrier func(ctx context.Context) error
}

// start requests the barrier, in place of any earlier one.
func (r *barrierRead) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt, r.awaitBarrier = time.Now(), r.follow.RequestBarrier()
}

// age returns the time since the barrier was requested.
func (r *barrierRead) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.startedAt)
}

// wait blocks until the view holds what the barrier has read.
func (r *barrierRead) wait(ctx context.Context) error {
	r.mu.Lock()
	awaitBarrier := r.awaitBarrier
	r.mu.Unlock()
	return awaitBarrier(ctx)
}
