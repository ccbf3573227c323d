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

// Intake writes new jobs. The state service limits the changes a second, so that jobs which wait
// already go into one record together. No job waits for others longer than the write ahead of it
// takes.
type Intake struct {
	Client *store.Client
	Name   string // unique to this incarnation of the controller
	// MaxBytes bounds a value of the state service.
	MaxBytes int
	// MaxQueue bounds the jobs that wait.
	MaxQueue int
	// Prioritized reports whether a job goes before others that wait; nil for none.
	Prioritized func(j *wire.Job) bool

	mu      sync.Mutex
	queue   []*submission
	wake    chan struct{}
	batches int // that were written
}

// submission is a job that waits to be written.
type submission struct {
	job    string
	record store.JobRecord
	fence  uint64 // the version of the submission fence when the job was not found
	size   int
	ctx    context.Context // of its user
	done   chan error

	prioritized bool
	onSend      func() // is called each time before it is sent; nil for nothing
}

const (
	// maxQueue bounds the jobs that wait where each controller writes by itself. Users give up on a
	// job that is not answered soon, so that more jobs would only be written in vain.
	maxQueue = 400
	// maxBatch bounds the bytes of a batch, which is written again when one of its jobs ends, beside
	// a slot of the ledger in the same transaction.
	maxBatch = 16 << 10
	// batchOverhead is what a batch takes beside its jobs, in bytes.
	batchOverhead = 100
)

// NewIntake returns an intake, whose Run does the writing.
func NewIntake(c *store.Client, name string, maxBytes int) *Intake {
	return &Intake{Client: c, Name: name, MaxBytes: min(maxBytes, maxBatch), MaxQueue: maxQueue, wake: make(chan struct{}, 1)}
}

// Add waits until a job is written, or it is known that it won't be. fence is the version that the
// submission fence had before the job was looked up and not found. onSend is called each time
// before the job is sent to the state service.
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
	if e.size > in.MaxBytes-batchOverhead {
		return ErrTooLarge
	}
	in.mu.Lock()
	full := !in.enqueue(e)
	in.mu.Unlock()
	if full {
		return ErrFull
	}
	select {
	case in.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return ctx.Err() // it may still be written
	}
}

// enqueue queues a job if there is room: behind those of the first tier, and one of these
// before all others. However many of the others wait, they never have it sent away.
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
		last.done <- ErrFull
		in.queue = in.queue[:len(in.queue)-1]
	}
	in.queue = slices.Insert(in.queue, at, e)
	return true
}

// Reroute sends back what waits and is not being written, so that it can be forwarded.
func (in *Intake) Reroute() {
	in.mu.Lock()
	waiting := in.queue
	in.queue = nil
	in.mu.Unlock()
	finish(waiting, errRerouted)
}

// Run writes what waits until the context ends.
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

// nextBatch takes the next jobs to write together. A job whose user has gone is dropped, and a second
// copy of the same job waits for the next batch.
func (in *Intake) nextBatch() []*submission {
	in.mu.Lock()
	defer in.mu.Unlock()
	var group, rest []*submission
	bytes, seen := batchOverhead, make(map[string]bool)
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

// commit writes a batch. A write without an answer is sent again: its key is its own, so that one
// copy at most is applied, and none once the submission fence has moved.
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
		err = errFenceMoved
		if slices.Contains(conflict.Failed, key) {
			err = errCopyTaken
		}
	}
	finish(group, err)
}

// notifySending tells those who wait that their jobs are being sent.
func notifySending(group []*submission) {
	for _, e := range group {
		if e.onSend != nil {
			e.onSend()
		}
	}
}

// finish tells those who wait what became of their jobs.
func finish(group []*submission, err error) {
	for _, e := range group {
		e.done <- err
	}
}

// hasWaiters reports whether the user of any job of a batch still waits.
func hasWaiters(group []*submission) bool {
	for _, e := range group {
		if e.ctx.Err() == nil {
			return true
		}
	}
	return false
}
