// Package admission accepts, cancels and looks up jobs on behalf of all user interfaces. It runs on every
// controller, whether or not that controller leads a shard. A request that can't be served now fails at once;
// none is queued for longer than its user waits.
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
	// writeTimeout bounds one request and each attempt to write. Users wait little longer than this.
	writeTimeout = 3500 * time.Millisecond
	// writeRetryDelay is the pause before a write that got no response is sent again.
	writeRetryDelay = 100 * time.Millisecond
)

// Service accepts, cancels and looks up jobs.
type Service struct {
	Teams     []config.Team
	Intake    *Intake
	Canceller *Canceller
	View      *store.View
	Follower  *store.Follower
	// History finds ended jobs that the view no longer holds.
	History History
	Log     *slog.Logger
	// MachineTypes returns the machine types, or nil while they are not known.
	MachineTypes func() []wire.MachineType
	// Route returns the task ranges of a new job by shard, nil if the fleet is a single shard, and the
	// generation of the sharding.
	Route func(job *wire.Job, types []wire.MachineType) ([]store.ShardRange, uint64)
	// Writable reports whether this controller may accept and cancel jobs now.
	Writable func() bool
	// MaxBacklog bounds the ended jobs that wait to be compacted. Above it no more jobs are accepted.
	MaxBacklog int
	// Forwarder forwards writes to another controller, for fleets where a few controllers write for all.
	// If nil, this controller writes all its jobs itself.
	Forwarder Forwarder
	// OnChange is called after this controller has accepted or cancelled a job.
	OnChange func()
}

// History is the archive of ended jobs.
type History interface {
	// Find looks up an ended job.
	Find(ctx context.Context, id string) (jobblock.Entry, bool, error)
	// Cached is like Find, but does no I/O: it finds only jobs that are in memory.
	Cached(id string) (jobblock.Entry, bool)
}

// Forwarder asks another controller to accept or cancel a job. handled is false if the caller has to do it
// itself: because no other controller writes the job, or because the outcome of the call is unknown.
type Forwarder interface {
	Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, handled bool, err error)
	Cancel(ctx context.Context, id string) (rec store.JobRecord, handled bool, err error)
}

// Find looks up a job in the view and then in the archive. If it finds none, the job did not exist at the
// revision that the view had when Find was called.
func (s *Service) Find(ctx context.Context, id string) (store.JobRecord, bool, error) {
	if rec, known := s.View.Job(id); known {
		return rec, true, nil
	}
	// A job in the archive has ended, whatever else is stored: one unreadable record must not make every
	// lookup of an ended job fail.
	unreadableKey, cause := s.View.UnreadableRecordFor(id)
	e, known, err := s.History.Find(ctx, id)
	switch {
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrHistoryUnavailable, err)
	case !known && unreadableKey != "":
		err = fmt.Errorf("%w: %s may hold the job and was not understood: %w", ErrRetryLater, unreadableKey, cause)
	}
	return store.JobRecord{Stage: e.Stage, Tasks: e.Tasks}, known, err
}

// finalRecord looks up an ended job in memory. It needs no read barrier, since a final record never changes.
func (s *Service) finalRecord(id string) (store.JobRecord, bool) {
	if rec, known := s.View.Job(id); known {
		return rec, rec.Stage.Final()
	}
	e, known := s.History.Cached(id)
	return store.JobRecord{Stage: e.Stage, Tasks: e.Tasks}, known
}

// Status returns a job's record. If memory shows that the job has ended, that is the result. Otherwise Status
// waits for a read barrier, so that its result is never older than what another controller has told a user.
func (s *Service) Status(ctx context.Context, id string) (store.JobRecord, error) {
	if rec, ok := s.finalRecord(id); ok {
		return rec, nil
	}
	if err := s.Follower.Barrier(ctx); err != nil {
		return store.JobRecord{}, fmt.Errorf("%w: %w", ErrRetryLater, err)
	}
	rec, known, err := s.Find(ctx, id)
	if err == nil && !known {
		err = ErrUnknownJob
	}
	return rec, err
}
