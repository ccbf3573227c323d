// Package admission is where jobs come in, whichever interface they come by: it looks
// them up, accepts and cancels them, on every controller, whoever holds the fleet.
// What can't be done now is refused at once; nothing is ever held back.
package admission

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/scheduler"
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

// What can become of a call, beside ErrFull and ErrTooLarge.
var (
	// ErrRetryLater means that it can't be done now; come back.
	ErrRetryLater = errors.New("not now, come back")
	// ErrCompactionBehind is an ErrLater for a longer while.
	ErrCompactionBehind = fmt.Errorf("%w: folding has fallen behind", ErrRetryLater)
	// ErrHistoryUnavailable is an ErrLater that another controller may not give: this one does not come
	// by what it needs.
	ErrHistoryUnavailable = fmt.Errorf("%w: the history can't be read", ErrRetryLater)
	// ErrUnknownJob means that nobody has submitted the job.
	ErrUnknownJob = errors.New("no such job")
)

// UnrunnableError says why a job can never run.
type UnrunnableError struct{ Reason string }

func (e *UnrunnableError) Error() string { return e.Reason }

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

// barrierRead is a read that is begun as a job is sent to the state service. What happened to the job
// elsewhere before that is in it.
type barrierRead struct {
	follow *store.Follower

	mu    sync.Mutex
	begun time.Time
	done  func(ctx context.Context) error
}

func (r *barrierRead) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun, r.done = time.Now(), r.follow.RequestBarrier()
}

// age tells how long ago it was begun.
func (r *barrierRead) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.begun)
}

// wait waits until what was read is in the view.
func (r *barrierRead) wait(ctx context.Context) error {
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	return done(ctx)
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

// unrunnableReason says why a job can never run, or nothing.
func (d *Service) unrunnableReason(j *wire.Job, types []wire.MachineType) string {
	var team *config.Team
	for i := range d.Teams {
		if d.Teams[i].Name == j.Team {
			team = &d.Teams[i]
		}
	}
	if team == nil {
		return "unknown team"
	}
	n := 1.0
	if j.Shape != wire.Array {
		n = float64(j.Tasks)
	}
	limit := scheduler.Resources{CPUs: math.Inf(1), GPUs: math.Inf(1), MemoryGB: math.Inf(1)}
	if team.CPUsMax > 0 {
		limit.CPUs = team.CPUsMax
	}
	if team.GPUsMax > 0 {
		limit.GPUs = team.GPUsMax
	}
	if !limit.Fits(scheduler.Resources{}.AddScaled(scheduler.ResourcesOf(j), n)) {
		return "over the team's limit"
	}
	zones := make(map[string]bool) // in which a task may run
	for _, t := range types {
		size := scheduler.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
		if !size.Fits(scheduler.ResourcesOf(j)) || len(j.Types) > 0 && !slices.Contains(j.Types, t.Name) {
			continue
		}
		for _, zone := range t.Zones {
			if j.Zone == "" || j.Zone == zone {
				zones[zone] = true
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "no allowed machine type is large enough"
	case j.Shape == wire.Gang && j.Spread && j.Tasks > 1 && (j.OneZone || len(zones) == 1):
		return "all its tasks would have to be in one zone, which may hold half of them"
	}
	return ""
}
