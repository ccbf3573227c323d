package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Closer writes cancellations. Those that wait already go into one transaction,
// and those of jobs that were accepted together into one change.
type Closer struct {
	Client *store.Client
	View   *store.View
	Follow *store.Follower
	// MaxOps bounds the changes of a transaction.
	MaxOps int

	mu    sync.Mutex
	queue []*closing
	kick  chan struct{}
}

// closing is a cancellation that waits.
type closing struct {
	id   string
	ctx  context.Context
	done chan closed
}

// closed is what became of it; with neither an end nor an error the job must be
// looked up again.
type closed struct {
	end *store.JobRecord
	err error
}

// closeBytes bounds the values of a transaction.
const closeBytes = 48 << 10

// NewCloser gives a closer, whose Run does the writing.
func NewCloser(c *store.Client, v *store.View, f *store.Follower, maxOps int) *Closer {
	return &Closer{Client: c, View: v, Follow: f, MaxOps: maxOps, kick: make(chan struct{}, 1)}
}

// Cancel waits until a live job is marked as cancelled, and gives its record. It
// gives nil where the job has changed meanwhile and must be looked up again.
func (c *Closer) Cancel(ctx context.Context, id string) (*store.JobRecord, error) {
	e := &closing{id, ctx, make(chan closed, 1)}
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
	case c.kick <- struct{}{}:
	default:
	}
	select {
	case r := <-e.done:
		return r.end, r.err
	case <-ctx.Done():
		return nil, ctx.Err() // it may still be written
	}
}

// Run writes what waits until the context ends.
func (c *Closer) Run(ctx context.Context) error {
	ctx = store.For(ctx, store.Cancels)
	for {
		if g := c.take(); len(g.entries) > 0 {
			c.write(ctx, g)
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.kick:
		}
	}
}

// closeGroup is what one transaction closes.
type closeGroup struct {
	entries  []*closing
	ends     []store.JobRecord
	rewrites []*store.Rewrite
}

// take removes what can be written together. A job that is not live any more is
// sent back to be looked up.
func (c *Closer) take() closeGroup {
	c.mu.Lock()
	defer c.mu.Unlock()
	var g closeGroup
	var rest []*closing
	byHome := make(map[string]*store.Rewrite)
	bytes, now := 0, time.Now()
	for _, e := range c.queue {
		if e.ctx.Err() != nil {
			continue
		}
		l, live := c.View.Live(e.id)
		if !live {
			e.done <- closed{}
			continue
		}
		r := byHome[l.Home.Key]
		switch size := l.Home.Bytes(); {
		case r != nil && r.Of(l.Home):
		case r != nil, len(byHome) >= c.MaxOps, bytes > 0 && bytes+size > closeBytes:
			rest = append(rest, e)
			continue
		default:
			r = l.Home.Rewrite()
			byHome[l.Home.Key] = r
			g.rewrites = append(g.rewrites, r)
			bytes += size
		}
		g.entries = append(g.entries, e)
		g.ends = append(g.ends, r.End(e.id, wire.Cancelled, now))
	}
	c.queue = rest
	return g
}

// write commits a group. A write without an answer is sent again, since the
// conditions let one copy at most be applied.
func (c *Closer) write(ctx context.Context, g closeGroup) {
	var txn wire.Txn
	for _, r := range g.rewrites {
		txn.If, txn.Then = append(txn.If, r.If()), append(txn.Then, r.Change())
	}
	for {
		wait, cancel := context.WithTimeout(ctx, writePatience)
		rev, err := c.Client.Txn(wait, txn)
		cancel()
		var conflict *store.ConflictError
		switch {
		case err == nil:
			for _, r := range g.rewrites {
				c.View.Wrote(r.Taken(rev))
			}
			for i, e := range g.entries {
				e.done <- closed{end: &g.ends[i]}
			}
			return
		case errors.As(err, &conflict):
			wait, cancel := context.WithTimeout(ctx, writePatience)
			err = c.Follow.Barrier(wait)
			cancel()
			g.finish(err)
			return
		case !errors.Is(err, store.ErrUnknown) || ctx.Err() != nil || !g.waiting():
			g.finish(err)
			return
		}
		store.Pause(ctx, 100*time.Millisecond)
	}
}

func (g *closeGroup) finish(err error) {
	for _, e := range g.entries {
		e.done <- closed{err: err}
	}
}

func (g *closeGroup) waiting() bool {
	for _, e := range g.entries {
		if e.ctx.Err() == nil {
			return true
		}
	}
	return false
}
