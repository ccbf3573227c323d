package store

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff is a jittered back-off after a call that failed.
func Backoff(ctx context.Context, d time.Duration) {
	d = d/2 + time.Duration(rand.Int64N(int64(d)))
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
