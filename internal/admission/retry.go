package admission

import (
	"context"
	"errors"

	"amberdeal.example/amberdeal/internal/store"
)

// commitUntilAnswered sends a transaction repeatedly until it gets a response, all its callers have gone, or
// the context ends. The transaction's conditions must ensure that at most one copy is applied.
func commitUntilAnswered(ctx context.Context, send func(ctx context.Context) (uint64, error), hasWaiters func() bool) (revision uint64, err error) {
	for {
		wait, cancel := context.WithTimeout(ctx, writeTimeout)
		revision, err = send(wait)
		cancel()
		if !errors.Is(err, store.ErrUnknownOutcome) || ctx.Err() != nil || !hasWaiters() {
			return revision, err
		}
		store.Backoff(ctx, writeRetryDelay)
	}
}
