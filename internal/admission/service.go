// Package admission accepts, cancels and looks up jobs, whichever interface they come by, on every
// controller, whether it leads a shard or not. What can't be done now is refused at once; nothing
// is queued for longer than its user waits.
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

const (
	// writePatience bounds how long a write may take: users wait little longer.
	writePatience = 3500 * time.Millisecond
	// writeRetryDelay is the pause before a write without an answer is sent again.
	writeRetryDelay = 100 * time.Millisecond
)

// Service accepts and cancels jobs.
type Service struct {
	Teams     []config.Team
	Intake    *Intake
	Canceller *Canceller
	View      *store.View
	Follow    *store.Follower
	// History finds ended jobs that the view no longer holds.
	History History
	Log     *slog.Logger
	// MachineTypes returns the machine types, nil while they are not known.
	MachineTypes func() []wire.MachineType
	// Route returns which shards run which tasks of a new job, nothing where the fleet is one shard,
	// and the generation of the sharding.
	Route func(job *wire.Job, types []wire.MachineType) ([]store.ShardRange, uint64)
	// Writable reports whether jobs may be accepted and cancelled here.
	Writable func() bool
	// MaxBacklog is how many ended jobs may wait to be compacted before no more jobs are accepted.
	MaxBacklog int
	// Forwarder has another controller write, where few controllers write for all; nil for none.
	Forwarder Forwarder
	// OnChange is called after a job was accepted or cancelled here.
	OnChange func()
}

// History is the archive of ended jobs.
type History interface {
	// Find looks an ended job up.
	Find(ctx context.Context, id string) (jobblock.Entry, bool, error)
	// Cached is Find without I/O.
	Cached(id string) (jobblock.Entry, bool)
}

// Forwarder has another controller accept and cancel jobs. handled is false where that is to be done
// here: no other controller writes the job, or the outcome of the call is not known.
type Forwarder interface {
	Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, handled bool, err error)
	Cancel(ctx context.Context, id string) (rec store.JobRecord, handled bool, err error)
}

// Find looks a job up in the view and in the archive. A job that it does not find was not known at
// the view's revision when it was called.
func (s *Service) Find(ctx context.Context, id string) (store.JobRecord, bool, error) {
	if rec, known := s.View.Job(id); known {
		return rec, true, nil
	}
	// What is in the archive is final, whatever else there is: one record that can't be read must not
	// make every question about ended jobs fail.
	doubt, why := s.View.UnreadableRecordFor(id)
	e, known, err := s.History.Find(ctx, id)
	switch {
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrHistoryUnavailable, err)
	case !known && doubt != "":
		err = fmt.Errorf("%w: %s may hold the job and was not understood: %w", ErrRetryLater, doubt, why)
	}
	return store.JobRecord{Stage: e.Stage, Tasks: e.Tasks}, known, err
}

// finalRecord looks for an ended job in memory: its record never changes, and needs no barrier.
func (s *Service) finalRecord(id string) (store.JobRecord, bool) {
	if rec, known := s.View.Job(id); known {
		return rec, rec.Stage.Final()
	}
	e, known := s.History.Cached(id)
	return store.JobRecord{Stage: e.Stage, Tasks: e.Tasks}, known
}

// Status returns a job's record. That of an ended job comes from memory; any other needs a read
// barrier, so that no answer is older than what another controller may have said.
func (s *Service) Status(ctx context.Context, id string) (store.JobRecord, error) {
	if rec, ok := s.finalRecord(id); ok {
		return rec, nil
	}
	if err := s.Follow.Barrier(ctx); err != nil {
		return store.JobRecord{}, fmt.Errorf("%w: %w", ErrRetryLater, err)
	}
	rec, known, err := s.Find(ctx, id)
	if err == nil && !known {
		err = ErrUnknownJob
	}
	return rec, err
}
