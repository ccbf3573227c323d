package admission

import (
	"context"
	"fmt"

	"amberdeal.example/amberdeal/internal/store"
)

// cancelAttempts bounds how often a cancellation is tried while the job's record changes.
const cancelAttempts = 8

// Cancel marks a job as cancelled, if it has not ended, and returns its record.
func (s *Service) Cancel(ctx context.Context, id string) (store.JobRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, writePatience)
	defer cancel()
	if _, final := s.finalRecord(id); !final && s.Forwarder != nil {
		if rec, handled, err := s.Forwarder.Cancel(ctx, id); handled {
			return rec, err
		}
	}
	return s.CancelLocally(ctx, id)
}

// CancelLocally is Cancel without forwarding.
func (s *Service) CancelLocally(ctx context.Context, id string) (store.JobRecord, error) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeCancellations), writePatience)
	defer cancel()
	if rec, ok := s.finalRecord(id); ok {
		return rec, nil
	}
	if _, known := s.View.Live(id); !known {
		if err := s.Follow.Barrier(ctx); err != nil {
			return store.JobRecord{}, fmt.Errorf("%w: %w", ErrRetryLater, err)
		}
	}
	for range cancelAttempts {
		rec, known, err := s.Find(ctx, id)
		switch {
		case err != nil:
			return rec, err
		case !known:
			return rec, ErrUnknownJob
		case rec.Stage.Final():
			return rec, nil
		case !s.Writable(), ctx.Err() != nil:
			return rec, ErrRetryLater
		}
		end, err := s.Canceller.Cancel(ctx, id)
		switch {
		case err != nil:
			return rec, fmt.Errorf("%w: %w", ErrRetryLater, err)
		case end != nil:
			s.Log.Info("job cancelled", "job", id)
			s.OnChange()
			return *end, nil
		}
	}
	return store.JobRecord{}, ErrRetryLater
}
