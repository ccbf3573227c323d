package admission

import (
	"context"
	"errors"

	"amberdeal.example/amberdeal/internal/store"
)

// commitUntilAnswered sends a transaction until it is answered, all its users have gone, or the
// context ends. The transaction's conditions must be such that one copy at most is applied.
func commitUntilAnswered(ctx context.Context, send func(ctx context.Context) (uint64, error), hasWaiters func() bool) (revision uint64, err error) {
	for {
		wait, cancel := context.WithTimeout(ctx, writePatience)
		revision, err = send(wait)
		cancel()
		if !errors.Is(err, store.ErrUnknownOutcome) || ctx.Err() != nil || !hasWaiters() {
			return revision, err
		}
		store.Backoff(ctx, writeRetryDelay)
	}
}
