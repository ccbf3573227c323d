package admission

import (
	"context"
	"fmt"

	"amberdeal.example/amberdeal/internal/store"
)

// maxCancelAttempts bounds the attempts to cancel a job whose record changes concurrently.
const maxCancelAttempts = 8

// Cancel marks a job as cancelled unless it has ended already, and returns its record. Another controller
// may write the cancellation.
func (s *Service) Cancel(ctx context.Context, id string) (store.JobRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, final := s.finalRecord(id); !final && s.Forwarder != nil {
		if rec, handled, err := s.Forwarder.Cancel(ctx, id); handled {
			return rec, err
		}
	}
	return s.CancelLocally(ctx, id)
}

// CancelLocally is like Cancel, but never forwards the request.
func (s *Service) CancelLocally(ctx context.Context, id string) (store.JobRecord, error) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeCancellations), writeTimeout)
	defer cancel()
	if rec, ok := s.finalRecord(id); ok {
		return rec, nil
	}
	if _, known := s.View.LiveJob(id); !known {
		if err := s.Follower.Barrier(ctx); err != nil {
			return store.JobRecord{}, fmt.Errorf("%w: %w", ErrRetryLater, err)
		}
	}
	for range maxCancelAttempts {
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
		cancelled, err := s.Canceller.Cancel(ctx, id)
		switch {
		case err != nil:
			return rec, fmt.Errorf("%w: %w", ErrRetryLater, err)
		case cancelled != nil:
			s.Log.Info("job cancelled", "job", id)
			s.OnChange()
			return *cancelled, nil
		}
	}
	return store.JobRecord{}, ErrRetryLater
}
