package admission

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Intake writes new jobs to the state service. Because the state service limits the changes per second, all
// queued jobs that fit are written together, in one batch record. A job is never held back to fill a batch:
// it only waits for the writes ahead of it.
type Intake struct {
	Client *store.Client
	Name   string // unique to this incarnation of the controller
	// MaxBytes bounds the size of a batch record.
	MaxBytes int
	// MaxQueue bounds the number of queued jobs.
	MaxQueue int
	// Prioritized reports whether a job is queued ahead of the others. If nil, no job is.
	Prioritized func(j *wire.Job) bool

	mu      sync.Mutex
	queue   []*submission
	wake    chan struct{}
	batches int // number of batches written, for unique keys
}

// submission is a job that waits to be written.
type submission struct {
	job    string
	record store.JobRecord
	fence  uint64 // version of the submission fence, read before the job was looked up and not found
	size   int
	ctx    context.Context // of the caller
	done   chan error

	prioritized bool
	onSend      func() // called before each attempt to send the job; may be nil
}

const (
	// defaultMaxQueue bounds the queue when each controller writes its own jobs. Users give up on a request
	// that gets no response soon, so a longer queue would only write jobs that nobody waits for.
	defaultMaxQueue = 400
	// maxBatchBytes bounds a batch record. The record is rewritten whenever one of its jobs ends, and has to
	// fit into one transaction together with a ledger segment.
	maxBatchBytes = 16 << 10
	// batchOverheadBytes is the size of a batch record apart from its jobs.
	batchOverheadBytes = 100
)

// NewIntake returns an Intake. It writes nothing until Run is called.
func NewIntake(c *store.Client, name string, maxBytes int) *Intake {
	return &Intake{Client: c, Name: name, MaxBytes: min(maxBytes, maxBatchBytes), MaxQueue: defaultMaxQueue, wake: make(chan struct{}, 1)}
}

// Add queues a job and blocks until it is written or known not to be written. fence is the version that the
// submission fence had before the job was looked up and not found. onSend, which may be nil, is called before
// each attempt to send the job to the state service.
func (in *Intake) Add(ctx context.Context, id string, rec store.JobRecord, fence uint64, onSend func()) error {
	e := &submission{
		job:         id,
		record:      rec,
		fence:       fence,
		size:        store.JobRecordBytes(&rec),
		ctx:         ctx,
		done:        make(chan error, 1),
		prioritized: in.Prioritized != nil && in.Prioritized(rec.Job),
		onSend:      onSend,
	}
	if e.size > in.MaxBytes-batchOverheadBytes {
		return ErrJobTooLarge
	}
	in.mu.Lock()
	full := !in.enqueue(e)
	in.mu.Unlock()
	if full {
		return ErrQueueFull
	}
	select {
	case in.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return ctx.Err() // the job may still be written
	}
}

// enqueue queues a job and reports whether there was room for it. Prioritized jobs go ahead of all others. If
// the queue is full, a prioritized job displaces the last job that isn't, so other jobs never crowd it out.
func (in *Intake) enqueue(e *submission) bool {
	at := len(in.queue)
	if e.prioritized {
		if at = slices.IndexFunc(in.queue, func(o *submission) bool { return !o.prioritized }); at < 0 {
			at = len(in.queue)
		}
	}
	if len(in.queue) >= in.MaxQueue {
		if at == len(in.queue) {
			return false
		}
		last := in.queue[len(in.queue)-1]
		last.done <- ErrQueueFull
		in.queue = in.queue[:len(in.queue)-1]
	}
	in.queue = slices.Insert(in.queue, at, e)
	return true
}

// Reroute fails all queued jobs that are not being written with errRerouted, so that they can be forwarded.
func (in *Intake) Reroute() {
	in.mu.Lock()
	waiting := in.queue
	in.queue = nil
	in.mu.Unlock()
	finish(waiting, errRerouted)
}

// Run writes queued jobs until the context ends.
func (in *Intake) Run(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeSubmissions)
	for {
		group := in.nextBatch()
		if len(group) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-in.wake:
			}
			continue
		}
		in.commit(ctx, group)
	}
}

// nextBatch dequeues the jobs to write together next, which all have the same fence. A job whose caller has
// gone is dropped. A second submission of the same job stays queued for a later batch.
func (in *Intake) nextBatch() []*submission {
	in.mu.Lock()
	defer in.mu.Unlock()
	var group, rest []*submission
	bytes, seen := batchOverheadBytes, make(map[string]bool)
	for _, e := range in.queue {
		switch {
		case e.ctx.Err() != nil:
		case seen[e.job] || len(rest) > 0 || bytes+e.size > in.MaxBytes || len(group) > 0 && e.fence != group[0].fence:
			rest = append(rest, e)
		default:
			seen[e.job] = true
			bytes += e.size
			group = append(group, e)
		}
	}
	in.queue = rest
	return group
}

// commit writes a batch. A write that gets no response is sent again: its key is unique and must be absent, so
// at most one copy is applied, and none once the submission fence has advanced.
func (in *Intake) commit(ctx context.Context, group []*submission) {
	in.batches++
	key := store.BatchKey(fmt.Sprintf("%s-%d", in.Name, in.batches))
	rec := store.BatchRecord{Jobs: make(map[string]store.JobRecord, len(group))}
	for _, e := range group {
		rec.Jobs[e.job] = e.record
	}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: key}, {Key: store.SubmissionFenceKey, Version: group[0].fence}},
		Then: []wire.Operation{{Put: key, Value: rec}},
	}
	send := func(ctx context.Context) (uint64, error) {
		return in.Client.TxnBeforeSend(ctx, txn, func() { notifySending(group) })
	}
	_, err := commitUntilAnswered(ctx, send, func() bool { return hasWaiters(group) })
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		err = errFenceAdvanced
		if slices.Contains(conflict.Keys, key) {
			err = errEarlierCopyApplied
		}
	}
	finish(group, err)
}

// notifySending calls the onSend callbacks of a batch.
func notifySending(group []*submission) {
	for _, e := range group {
		if e.onSend != nil {
			e.onSend()
		}
	}
}

// finish gives the same result to the callers of all given jobs.
func finish(group []*submission, err error) {
	for _, e := range group {
		e.done <- err
	}
}

// hasWaiters reports whether the caller of any job in a batch still waits.
func hasWaiters(group []*submission) bool {
	for _, e := range group {
		if e.ctx.Err() == nil {
			return true
		}
	}
	return false
}
