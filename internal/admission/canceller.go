package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Canceller writes cancellations to the state service. All that are queued go into one transaction, and
// those of jobs in the same batch record into one change of that record.
type Canceller struct {
	Client   *store.Client
	View     *store.View
	Follower *store.Follower
	// MaxOps bounds the changes in one transaction.
	MaxOps int

	mu    sync.Mutex
	queue []*pendingCancel
	wake  chan struct{}
}

// pendingCancel is a cancellation that waits to be written.
type pendingCancel struct {
	job  string
	ctx  context.Context
	done chan cancelResult
}

// cancelResult is the outcome of a cancellation: the job's final record or an error. If both are nil, the
// caller must look the job up again.
type cancelResult struct {
	record *store.JobRecord
	err    error
}

// maxCancelTxnBytes bounds the total size of the values in one transaction.
const maxCancelTxnBytes = 48 << 10

// NewCanceller returns a Canceller. It writes nothing until Run is called.
func NewCanceller(c *store.Client, v *store.View, f *store.Follower, maxOps int) *Canceller {
	return &Canceller{Client: c, View: v, Follower: f, MaxOps: maxOps, wake: make(chan struct{}, 1)}
}

// Cancel blocks until a live job is marked as cancelled, and returns its record. It returns nil if the
// job has changed meanwhile, so that the caller must look it up again.
func (c *Canceller) Cancel(ctx context.Context, id string) (*store.JobRecord, error) {
	e := &pendingCancel{id, ctx, make(chan cancelResult, 1)}
	c.mu.Lock()
	full := len(c.queue) >= defaultMaxQueue
	if !full {
		c.queue = append(c.queue, e)
	}
	c.mu.Unlock()
	if full {
		return nil, ErrQueueFull
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-e.done:
		return r.record, r.err
	case <-ctx.Done():
		return nil, ctx.Err() // the cancellation may still be written
	}
}

// Run writes queued cancellations until the context ends.
func (c *Canceller) Run(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeCancellations)
	for {
		if g := c.nextBatch(); len(g.entries) > 0 {
			c.commit(ctx, g)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
	}
}

// cancelBatch holds the cancellations of one transaction, and the updates of batch records that it writes.
type cancelBatch struct {
	entries []*pendingCancel
	records []store.JobRecord
	updates []*store.BatchUpdate
}

// nextBatch dequeues the cancellations that can be written together. The callers of jobs that are no longer
// live get an empty result, and look the job up again.
func (c *Canceller) nextBatch() cancelBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	var g cancelBatch
	var rest []*pendingCancel
	byBatch := make(map[string]*store.BatchUpdate)
	bytes, now := 0, time.Now()
	for _, e := range c.queue {
		if e.ctx.Err() != nil {
			continue
		}
		l, live := c.View.LiveJob(e.job)
		if !live {
			e.done <- cancelResult{}
			continue
		}
		r := byBatch[l.Batch.Key]
		switch size := l.Batch.Bytes(); {
		case r != nil && r.IsFor(l.Batch):
		case r != nil, len(byBatch) >= c.MaxOps, bytes > 0 && bytes+size > maxCancelTxnBytes:
			rest = append(rest, e)
			continue
		default:
			r = l.Batch.Update()
			byBatch[l.Batch.Key] = r
			g.updates = append(g.updates, r)
			bytes += size
		}
		g.entries = append(g.entries, e)
		g.records = append(g.records, r.EndJob(e.job, wire.Cancelled, now))
	}
	c.queue = rest
	return g
}

// commit writes a batch of cancellations. A write that gets no response is sent again: its conditions allow
// at most one copy to be applied.
func (c *Canceller) commit(ctx context.Context, g cancelBatch) {
	var txn wire.Txn
	for _, r := range g.updates {
		txn.If, txn.Then = append(txn.If, r.Condition()), append(txn.Then, r.Operation())
	}
	send := func(ctx context.Context) (uint64, error) { return c.Client.Txn(ctx, txn) }
	revision, err := commitUntilAnswered(ctx, send, g.hasWaiters)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		for _, r := range g.updates {
			c.View.ApplyOwnWrite(r.Committed(revision))
		}
		for i, e := range g.entries {
			e.done <- cancelResult{record: &g.records[i]}
		}
		return
	case errors.As(err, &conflict): // the jobs have changed: callers look them up again in a newer view
		wait, cancel := context.WithTimeout(ctx, writeTimeout)
		err = c.Follower.Barrier(wait)
		cancel()
	}
	g.finish(err)
}

// finish gives the same result to all callers in the batch. With a nil error they look their jobs up again.
func (g *cancelBatch) finish(err error) {
	for _, e := range g.entries {
		e.done <- cancelResult{err: err}
	}
}

// hasWaiters reports whether any caller in the batch still waits.
func (g *cancelBatch) hasWaiters() bool {
	for _, e := range g.entries {
		if e.ctx.Err() == nil {
			return true
		}
	}
	return false
}
