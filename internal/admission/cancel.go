package admission

import (
	"context"
	"fmt"

	"amberdeal.example/amberdeal/internal/store"
)

// Cancel marks a job as cancelled before it says so, and tells how it stands.
func (d *Service) Cancel(ctx context.Context, id string) (store.JobRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, writePatience)
	defer cancel()
	if _, final := d.finalRecord(id); !final && d.Forwarder != nil {
		if rec, handled, err := d.Forwarder.Cancel(ctx, id); handled {
			return rec, err
		}
	}
	return d.CancelLocally(ctx, id)
}

// CancelLocally does the same, and writes by itself.
func (d *Service) CancelLocally(ctx context.Context, id string) (store.JobRecord, error) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeCancellations), writePatience)
	defer cancel()
	if rec, ok := d.finalRecord(id); ok {
		return rec, nil
	}
	if _, known := d.View.Live(id); !known {
		if err := d.Follow.Barrier(ctx); err != nil {
			return store.JobRecord{}, fmt.Errorf("%w: %w", ErrRetryLater, err)
		}
	}
	for range 8 {
		rec, known, err := d.Find(ctx, id)
		switch {
		case err != nil:
			return rec, err
		case !known:
			return rec, ErrUnknownJob
		case rec.Stage.Final():
			return rec, nil
		case !d.Writable(), ctx.Err() != nil:
			return rec, ErrRetryLater
		}
		end, err := d.Canceller.Cancel(ctx, id)
		switch {
		case err != nil:
			return rec, fmt.Errorf("%w: %w", ErrRetryLater, err)
		case end != nil:
			d.Log.Info("job cancelled", "job", id)
			d.OnChange()
			return *end, nil
		}
	}
	return store.JobRecord{}, ErrRetryLater
}
