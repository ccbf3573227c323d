package admission

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Submit accepts a job, and returns once the state service has stored it. created is false if the job was
// submitted before; rec is then its present record. Another controller may write the job.
func (s *Service) Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if rec, created, handled, err := s.forwardSubmit(ctx, job); handled {
		return rec, created, err
	}
	rec, created, err = s.SubmitLocally(ctx, job)
	if !errors.Is(err, errRerouted) {
		return rec, created, err
	}
	if rec, created, handled, err := s.forwardSubmit(ctx, job); handled {
		return rec, created, err
	}
	return s.SubmitLocally(ctx, job)
}

// forwardSubmit forwards a submission to the controller that writes it, unless there is none or the job is
// known to have ended.
func (s *Service) forwardSubmit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, handled bool, err error) {
	if _, final := s.finalRecord(job.ID); final || s.Forwarder == nil {
		return rec, false, false, nil
	}
	return s.Forwarder.Submit(ctx, job)
}

// SubmitLocally is like Submit, but never forwards the job. A job that could not be forwarded is looked up
// first like any other: the other controller may have accepted it, or may still accept it, in which case the
// job is in two batches.
func (s *Service) SubmitLocally(ctx context.Context, job *wire.Job) (rec store.JobRecord, created bool, err error) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeSubmissions), writeTimeout)
	defer cancel()
	read := &barrierRead{follow: s.Follower} // runs concurrently with the write, and takes about as long
	for range maxSubmitAttempts {
		// The fence is read before the lookup: if the job is not found, only a submission that is applied
		// before the fence advances can be its first.
		fence := s.View.SubmissionFence().Version
		if _, known, err := s.Find(ctx, job.ID); err != nil {
			return rec, false, err
		} else if known {
			return s.describeResubmission(ctx, job.ID)
		}
		rec, created, err := s.accept(ctx, job, fence, read.start)
		switch {
		case created:
			return s.confirmAccepted(ctx, job.ID, rec, err, read)
		case !errors.Is(err, errFenceAdvanced):
			return rec, false, err
		}
		if err := s.Follower.Barrier(ctx); err != nil {
			return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
		}
	}
	return rec, false, ErrRetryLater
}

const (
	// maxSubmitAttempts bounds the attempts to write a submission while the submission fence advances.
	maxSubmitAttempts = 4
	// slowWriteThreshold is the longest time for which a write may rely on the read barrier that was
	// requested when it was sent. The barrier does not show what other controllers did with the job
	// afterwards.
	slowWriteThreshold = 300 * time.Millisecond
)

// confirmAccepted returns the record of a job that accept wrote, once the view shows what happened before the
// write. The concurrent read barrier ensures this, unless the write took long or returned writeErr: then
// another barrier is needed.
func (s *Service) confirmAccepted(ctx context.Context, id string, rec store.JobRecord, writeErr error, read *barrierRead) (store.JobRecord, bool, error) {
	if writeErr != nil || read.age() > slowWriteThreshold {
		if err := s.Follower.Barrier(ctx); err != nil {
			return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
		}
		return s.confirmWrite(ctx, id, rec, writeErr == nil)
	}
	if err := read.wait(ctx); err != nil {
		return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
	}
	return s.confirmWrite(ctx, id, rec, true)
}

// confirmWrite returns the record of a job that was just written as mine. The view in which the job was not
// found may have been stale: if another controller had already accepted and ended the job, its first batch
// decides that it has ended, whatever was written here. acknowledged says whether the write succeeded.
func (s *Service) confirmWrite(ctx context.Context, id string, mine store.JobRecord, acknowledged bool) (store.JobRecord, bool, error) {
	rec, known, err := s.Find(ctx, id)
	switch {
	case err == nil && !known && acknowledged:
		return mine, true, nil // the view does not show the write yet
	case err == nil && !known:
		err = ErrRetryLater // the job was not written: another process had used the same key
	}
	created := rec.Job != nil && rec.Created == mine.Created && rec.Job.Work == mine.Job.Work
	return rec, err == nil && created, err
}

// describeResubmission returns the record of a job that was submitted before.
func (s *Service) describeResubmission(ctx context.Context, id string) (store.JobRecord, bool, error) {
	rec, err := s.Status(ctx, id)
	if errors.Is(err, ErrUnknownJob) {
		err = ErrRetryLater
	}
	return rec, false, err
}

// accept writes a job that was not found, or rejects it. If created is true, the error is nil or
// errEarlierCopyApplied.
func (s *Service) accept(ctx context.Context, job *wire.Job, fence uint64, onSend func()) (rec store.JobRecord, created bool, err error) {
	types := s.MachineTypes()
	if types == nil || !s.Writable() || ctx.Err() != nil { // a job whose caller has gone is not queued
		return rec, false, ErrRetryLater
	}
	if _, ended, _, _ := s.View.Size(); ended > s.MaxBacklog {
		return rec, false, ErrCompactionBehind
	}
	if why := s.unrunnableReason(job, types); why != "" {
		return s.reject(ctx, job.ID, &UnrunnableError{why})
	}
	rec = store.JobRecord{Stage: wire.Pending, Tasks: job.Tasks, Created: time.Now().UnixMilli(), Job: job}
	if s.Route != nil {
		rec.Ranges, rec.ShardingGeneration = s.Route(job, types)
	}
	err = s.Intake.Add(ctx, job.ID, rec, fence, onSend)
	switch {
	case errors.Is(err, ErrJobTooLarge):
		return s.reject(ctx, job.ID, err)
	case err != nil && !errors.Is(err, errEarlierCopyApplied):
		return rec, false, err
	}
	s.Log.Info("job accepted", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
	s.OnChange()
	return rec, true, err
}

// reject rejects a job permanently, for the reason why, unless a job of that ID was accepted before, perhaps
// on another controller a moment ago: then this is a resubmission with another description.
func (s *Service) reject(ctx context.Context, id string, why error) (rec store.JobRecord, created bool, err error) {
	if err := s.Follower.Barrier(ctx); err != nil {
		return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
	}
	if _, known, err := s.Find(ctx, id); err != nil {
		return rec, false, err
	} else if known {
		return s.describeResubmission(ctx, id)
	}
	return rec, false, why
}
