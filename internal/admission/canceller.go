package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Canceller writes cancellations. Those that wait already go into one transaction, and those of jobs
// that were accepted together into one change.
type Canceller struct {
	Client *store.Client
	View   *store.View
	Follow *store.Follower
	// MaxOps bounds the changes of a transaction.
	MaxOps int

	mu    sync.Mutex
	queue []*pendingCancel
	wake  chan struct{}
}

// pendingCancel is a cancellation that waits.
type pendingCancel struct {
	job  string
	ctx  context.Context
	done chan cancelResult
}

// cancelResult is the outcome of a cancellation: the job's last record or an error. With neither the
// job must be looked up again.
type cancelResult struct {
	record *store.JobRecord
	err    error
}

// maxCancelTxnBytes bounds the values of a transaction, in bytes.
const maxCancelTxnBytes = 48 << 10

// NewCanceller returns a canceller, whose Run does the writing.
func NewCanceller(c *store.Client, v *store.View, f *store.Follower, maxOps int) *Canceller {
	return &Canceller{Client: c, View: v, Follow: f, MaxOps: maxOps, wake: make(chan struct{}, 1)}
}

// Cancel waits until a live job is marked as cancelled, and returns its record. It returns nil where
// the job has changed meanwhile and must be looked up again.
func (c *Canceller) Cancel(ctx context.Context, id string) (*store.JobRecord, error) {
	e := &pendingCancel{id, ctx, make(chan cancelResult, 1)}
	c.mu.Lock()
	full := len(c.queue) >= maxQueue
	if !full {
		c.queue = append(c.queue, e)
	}
	c.mu.Unlock()
	if full {
		return nil, ErrFull
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-e.done:
		return r.record, r.err
	case <-ctx.Done():
		return nil, ctx.Err() // it may still be written
	}
}

// Run writes what waits until the context ends.
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

// cancelBatch is what one transaction cancels.
type cancelBatch struct {
	entries  []*pendingCancel
	records  []store.JobRecord
	rewrites []*store.BatchUpdate
}

// nextBatch takes the cancellations that can be written together. A job that is no longer live is
// sent back to be looked up again.
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
		l, live := c.View.Live(e.job)
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
			g.rewrites = append(g.rewrites, r)
			bytes += size
		}
		g.entries = append(g.entries, e)
		g.records = append(g.records, r.EndJob(e.job, wire.Cancelled, now))
	}
	c.queue = rest
	return g
}

// commit writes a batch of cancellations. A write without an answer is sent again, since the
// conditions let one copy at most be applied.
func (c *Canceller) commit(ctx context.Context, g cancelBatch) {
	var txn wire.Txn
	for _, r := range g.rewrites {
		txn.If, txn.Then = append(txn.If, r.Condition()), append(txn.Then, r.Change())
	}
	send := func(ctx context.Context) (uint64, error) { return c.Client.Txn(ctx, txn) }
	revision, err := commitUntilAnswered(ctx, send, g.hasWaiters)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		for _, r := range g.rewrites {
			c.View.ApplyOwnWrite(r.Committed(revision))
		}
		for i, e := range g.entries {
			e.done <- cancelResult{record: &g.records[i]}
		}
		return
	case errors.As(err, &conflict): // the jobs have changed, and are looked up again in a newer view
		wait, cancel := context.WithTimeout(ctx, writePatience)
		err = c.Follow.Barrier(wait)
		cancel()
	}
	g.finish(err)
}

// finish gives all that wait the same outcome.
func (g *cancelBatch) finish(err error) {
	for _, e := range g.entries {
		e.done <- cancelResult{err: err}
	}
}

// hasWaiters reports whether any user still waits.
func (g *cancelBatch) hasWaiters() bool {
	for _, e := range g.entries {
		if e.ctx.Err() == nil {
			return true
		}
	}
	return false
}
