package admission

import (
	"context"
	"errors"
	"fmt"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Submit accepts a job once it is in the store. created is false where it was
// known before; it is then as the record says.
func (d *Service) Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, writePatience)
	defer cancel()
	if rec, created, handled, err := d.forwardSubmit(ctx, job); handled {
		return rec, created, err
	}
	rec, created, err = d.SubmitLocally(ctx, job)
	if !errors.Is(err, errRerouted) {
		return rec, created, err
	}
	if rec, created, handled, err := d.forwardSubmit(ctx, job); handled {
		return rec, created, err
	}
	return d.SubmitLocally(ctx, job)
}

// forwardSubmit has another controller accept a job, if one writes it that is not known to be over.
func (d *Service) forwardSubmit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, handled bool, err error) {
	if _, final := d.finalRecord(job.ID); final || d.Forwarder == nil {
		return rec, false, false, nil
	}
	return d.Forwarder.Submit(ctx, job)
}

// SubmitLocally does the same, and writes by itself. A job that was forwarded in vain is looked up
// first as any other: it may have been accepted, or may yet be, which makes it one with two homes.
func (d *Service) SubmitLocally(ctx context.Context, job *wire.Job) (rec store.JobRecord, created bool, err error) {
	ctx, cancel := context.WithTimeout(store.WithPurpose(ctx, store.PurposeSubmissions), writePatience)
	defer cancel()
	read := &barrierRead{follow: d.Follow} // beside the write, which takes as long
	for range 4 {
		// The gate first: once the job was not found, only a submission that is
		// taken before the gate moves can be its first.
		gate := d.View.SubmissionFence().Version
		if _, known, err := d.Find(ctx, job.ID); err != nil {
			return rec, false, err
		} else if known {
			return d.describeResubmission(ctx, job.ID)
		}
		rec, created, err := d.accept(ctx, job, gate, read.begin)
		switch {
		case created && (err != nil || read.age() > slowWrite):
			if err := d.Follow.Barrier(ctx); err != nil {
				return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
			}
			return d.confirmWrite(ctx, job.ID, rec, err == nil)
		case created:
			if err := read.wait(ctx); err != nil {
				return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
			}
			return d.confirmWrite(ctx, job.ID, rec, true)
		case !errors.Is(err, errGateMoved):
			return rec, false, err
		}
		if err := d.Follow.Barrier(ctx); err != nil {
			return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
		}
	}
	return rec, false, ErrRetryLater
}

// slowWrite is how long a write may take beside the read that was asked for before it: what
// happened to the job elsewhere meanwhile is not in that.
const slowWrite = 300 * time.Millisecond

// confirmWrite tells how a job stands that was written just now as mine says. However old the view was
// in which it was not found, another controller may have accepted and ended the job by then, and
// then it is over by its first home, whatever was written here. sure says that the write was answered.
func (d *Service) confirmWrite(ctx context.Context, id string, mine store.JobRecord, acknowledged bool) (store.JobRecord, bool, error) {
	rec, known, err := d.Find(ctx, id)
	switch {
	case err == nil && !known && acknowledged:
		return mine, true, nil // the read was before the write
	case err == nil && !known:
		err = ErrRetryLater // it was not written: another process had taken the same name
	}
	created := rec.Job != nil && rec.Created == mine.Created && rec.Job.Work == mine.Job.Work
	return rec, err == nil && created, err
}

// describeResubmission tells of a job that was submitted before.
func (d *Service) describeResubmission(ctx context.Context, id string) (store.JobRecord, bool, error) {
	rec, err := d.Status(ctx, id)
	if errors.Is(err, ErrUnknownJob) {
		err = ErrRetryLater
	}
	return rec, false, err
}

// accept writes a job that was not found, or refuses it. Where it is written with an error, that
// is errTaken.
func (d *Service) accept(ctx context.Context, job *wire.Job, gate uint64, onSend func()) (rec store.JobRecord, created bool, err error) {
	types := d.MachineTypes()
	if types == nil || !d.Writable() || ctx.Err() != nil { // one that nobody waits for takes no place in the queue
		return rec, false, ErrRetryLater
	}
	if _, over, _, _ := d.View.Size(); over > d.MaxBacklog {
		return rec, false, ErrCompactionBehind
	}
	if why := d.unrunnableReason(job, types); why != "" {
		return d.refuse(ctx, job.ID, &UnrunnableError{why})
	}
	rec = store.JobRecord{Stage: wire.Pending, Tasks: job.Tasks, Created: time.Now().UnixMilli(), Job: job}
	if d.Route != nil {
		rec.Ranges, rec.ShardingGeneration = d.Route(job, types)
	}
	err = d.Intake.Add(ctx, job.ID, rec, gate, onSend)
	switch {
	case errors.Is(err, ErrTooLarge):
		return d.refuse(ctx, job.ID, err)
	case err != nil && !errors.Is(err, errCopyTaken):
		return rec, false, err
	}
	d.Log.Info("job accepted", "job", job.ID, "class", job.Class, "team", job.Team, "tasks", job.Tasks)
	d.OnChange()
	return rec, true, err
}

// refuse refuses a job for ever, unless it is one that was accepted, perhaps elsewhere just
// now, and is sent again with another description.
func (d *Service) refuse(ctx context.Context, id string, why error) (rec store.JobRecord, created bool, err error) {
	if err := d.Follow.Barrier(ctx); err != nil {
		return rec, false, fmt.Errorf("%w: %w", ErrRetryLater, err)
	}
	if _, known, err := d.Find(ctx, id); err != nil {
		return rec, false, err
	} else if known {
		return d.describeResubmission(ctx, id)
	}
	return rec, false, why
}
