package store

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff waits before a failed call is retried. The delay is random, between 0.5 d and 1.5 d
// with a mean of d, so that controllers whose calls failed together do not retry together.
func Backoff(ctx context.Context, d time.Duration) {
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	sleep(ctx, d)
}

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
