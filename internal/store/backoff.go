package store

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff waits before a failed call is made again: for d on average, between half and
// three halves of it, so that controllers that failed together do not retry together.
func Backoff(ctx context.Context, d time.Duration) {
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	sleep(ctx, d)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
