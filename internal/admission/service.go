// Package admission is where jobs come in, whichever interface they come by: it looks
// them up, accepts and cancels them, on every controller, whoever holds the fleet.
// What can't be done now is refused at once; nothing is ever held back.
package admission

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// writePatience bounds how long a write may take.
const writePatience = 3500 * time.Millisecond

// Service accepts and cancels jobs.
type Service struct {
	Teams     []config.Team
	Intake    *Intake
	Canceller *Canceller
	View      *store.View
	Follow    *store.Follower
	// History finds jobs that are over and that the view holds no more.
	History History
	Log     *slog.Logger
	// MachineTypes gives the machine types, nil while they are not known.
	MachineTypes func() []wire.MachineType
	// Route gives the shares of a new job, none where the fleet is one part, and the number of
	// the grouping that they are of.
	Route func(job *wire.Job, types []wire.MachineType) ([]store.ShardRange, uint64)
	// Writable says whether jobs may be accepted and cancelled here.
	Writable func() bool
	// MaxBacklog is how many jobs may be over and not folded before no more are
	// accepted.
	MaxBacklog int
	// Forwarder has another controller write, where few of them write for all; nil stands for none.
	Forwarder Forwarder
	// OnChange is called after a change of the jobs that was made here.
	OnChange func()
}

// History is where jobs that are over are kept for ever.
type History interface {
	Find(ctx context.Context, id string) (jobblock.Entry, bool, error)
	// Cached looks no further than memory.
	Cached(id string) (jobblock.Entry, bool)
}

// Forwarder has another controller accept and cancel jobs. Told is false where that is to be done
// here: no other writes the job, or what became of the call is not known.
type Forwarder interface {
	Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, told bool, err error)
	Cancel(ctx context.Context, id string) (rec store.JobRecord, told bool, err error)
}

// Find looks a job up in the view and in the history. What it does not find was
// not known at the view's revision when it was called.
func (d *Service) Find(ctx context.Context, id string) (store.JobRecord, bool, error) {
	if rec, known := d.View.Job(id); known {
		return rec, true, nil
	}
	// What is in the history is final, whatever else there is: one record that nobody
	// understands must not leave all questions about jobs that are over in vain.
	doubt, why := d.View.UnreadableRecordFor(id)
	e, known, err := d.History.Find(ctx, id)
	switch {
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrHistoryUnavailable, err)
	case !known && doubt != "":
		err = fmt.Errorf("%w: %s may hold the job and was not understood: %w", ErrRetryLater, doubt, why)
	}
	return store.JobRecord{Stage: e.Stage, Tasks: e.Tasks}, known, err
}

// finalRecord looks for a final stage in memory: it never changes, and needs no
// barrier.
func (d *Service) finalRecord(id string) (store.JobRecord, bool) {
	if rec, known := d.View.Job(id); known {
		return rec, rec.Stage.Final()
	}
	e, known := d.History.Cached(id)
	return store.JobRecord{Stage: e.Stage, Tasks: e.Tasks}, known
}

// Status tells how a job stands. A final stage is told from memory; anything else
// needs a read barrier, so that no answer is older than what another controller
// may have said.
func (d *Service) Status(ctx context.Context, id string) (store.JobRecord, error) {
	if rec, ok := d.finalRecord(id); ok {
		return rec, nil
	}
	if err := d.Follow.Barrier(ctx); err != nil {
		return store.JobRecord{}, fmt.Errorf("%w: %w", ErrRetryLater, err)
	}
	rec, known, err := d.Find(ctx, id)
	if err == nil && !known {
		err = ErrUnknownJob
	}
	return rec, err
}
