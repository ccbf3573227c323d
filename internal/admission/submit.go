package admission

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Submit accepts a job, and returns once it is in the state service. created is false where the job
// was submitted before; it is then as the record says.
func (s *Service) Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, writePatience)
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

// forwardSubmit has another controller accept a job, if one writes it and it is not known to have ended.
func (s *Service) forwardSubmit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, handled bool, err error) {
	if _, final := s.finalRecord(job.ID); final || s.Forwarder == nil {
		return rec, false, false, nil
	}
	return s.Forwarder.Submit(ctx, job)
}

// SubmitLocally is Submit without forwarding. A job whose forwarding failed is looked up first like
// any other: it may have been accepted, or may yet be, and then it is in two batches.
func (s *Service) SubmitLocally(ctx context.Context, job *wire.Job) (rec store.JobRecord, created bool, err error) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeSubmissions), writePatience)
	defer cancel()
	read := &barrierRead{follow: s.Follow} // runs beside the write, which takes as long
	for range submitAttempts {
		// The fence is read first: once the job was not found, only a submission that is applied
		// before the fence moves can be its first.
		fence := s.View.SubmissionFence().Version
		if _, known, err := s.Find(ctx, job.ID); err != nil {
			return rec, false, err
		} else if known {
			return s.describeResubmission(ctx, job.ID)
		}
		rec, created, err := s.accept(ctx, job, fence, read.begin)
		switch {
		case created:
			return s.confirmAccepted(ctx, job.ID, rec, err, read)
		case !errors.Is(err, errFenceMoved):
			return rec, false, err
		}
		if err := s.Follow.Barrier(ctx); err != nil {
			return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
		}
	}
	return rec, false, ErrRetryLater
}

const (
	// submitAttempts bounds how often a submission is tried while the submission fence moves.
	submitAttempts = 4
	// slowWrite is how long a write may take beside the read that was begun before it. The read does
	// not show what happened to the job on other controllers meanwhile.
	slowWrite = 300 * time.Millisecond
)

// confirmAccepted returns the record of a job that accept wrote, once the view shows what came before the
// write. The read that was begun beside the write shows it, unless the write took long or failed with writeErr.
func (s *Service) confirmAccepted(ctx context.Context, id string, rec store.JobRecord, writeErr error, read *barrierRead) (store.JobRecord, bool, error) {
	if writeErr != nil || read.age() > slowWrite {
		if err := s.Follow.Barrier(ctx); err != nil {
			return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
		}
		return s.confirmWrite(ctx, id, rec, writeErr == nil)
	}
	if err := read.wait(ctx); err != nil {
		return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
	}
	return s.confirmWrite(ctx, id, rec, true)
}

// confirmWrite returns the record of a job that was just written as mine. However old the view was in
// which the job was not found, another controller may have accepted and ended it by then, and then
// it has ended by its first batch, whatever was written here. acknowledged says that the write was
// answered.
func (s *Service) confirmWrite(ctx context.Context, id string, mine store.JobRecord, acknowledged bool) (store.JobRecord, bool, error) {
	rec, known, err := s.Find(ctx, id)
	switch {
	case err == nil && !known && acknowledged:
		return mine, true, nil // the read was before the write
	case err == nil && !known:
		err = ErrRetryLater // it was not written: another process had used the same key
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

// accept writes a job that was not found, or refuses it. Where created comes with an error, that is
// errCopyTaken.
func (s *Service) accept(ctx context.Context, job *wire.Job, fence uint64, onSend func()) (rec store.JobRecord, created bool, err error) {
	types := s.MachineTypes()
	if types == nil || !s.Writable() || ctx.Err() != nil { // a job whose user has gone takes no place in the queue
		return rec, false, ErrRetryLater
	}
	if _, ended, _, _ := s.View.Size(); ended > s.MaxBacklog {
		return rec, false, ErrCompactionBehind
	}
	if why := s.unrunnableReason(job, types); why != "" {
		return s.refuse(ctx, job.ID, &UnrunnableError{why})
	}
	rec = store.JobRecord{Stage: wire.Pending, Tasks: job.Tasks, Created: time.Now().UnixMilli(), Job: job}
	if s.Route != nil {
		rec.Ranges, rec.ShardingGeneration = s.Route(job, types)
	}
	err = s.Intake.Add(ctx, job.ID, rec, fence, onSend)
	switch {
	case errors.Is(err, ErrTooLarge):
		return s.refuse(ctx, job.ID, err)
	case err != nil && !errors.Is(err, errCopyTaken):
		return rec, false, err
	}
	s.Log.Info("job accepted", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
	s.OnChange()
	return rec, true, err
}

// refuse refuses a job for ever, unless it was accepted before, perhaps on another controller just
// now, and is sent again with another description.
func (s *Service) refuse(ctx context.Context, id string, why error) (rec store.JobRecord, created bool, err error) {
	if err := s.Follow.Barrier(ctx); err != nil {
		return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
	}
	if _, known, err := s.Find(ctx, id); err != nil {
		return rec, false, err
	} else if known {
		return s.describeResubmission(ctx, id)
	}
	return rec, false, why
}
