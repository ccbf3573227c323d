package store

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// barrierQueue collects the callers that wait for the same read barrier: one read serves
// all that asked before it was sent.
type barrierQueue struct {
	wake chan struct{} // holds a token while a barrier is pending

	mu      sync.Mutex
	pending *barrier // not sent yet
}

// barrier is one read that brings the view up to date.
type barrier struct {
	done chan struct{} // closed once err is set
	err  error
}

func newBarrierQueue() *barrierQueue { return &barrierQueue{wake: make(chan struct{}, 1)} }

// join returns the barrier that is sent next.
func (q *barrierQueue) join() *barrier {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = &barrier{done: make(chan struct{})}
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return q.pending
}

// take removes the pending barrier, if any, before it is sent: who asks after that waits
// for the next one.
func (q *barrierQueue) take() *barrier {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.pending
	q.pending = nil
	return b
}

// wait returns once the barrier is through, or the context has ended.
func (b *barrier) wait(ctx context.Context) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RunBarriers makes the barriers that are asked for, one at a time, until the context ends.
func (f *Follower) RunBarriers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.barriers.wake:
		}
		b := f.barriers.take()
		if b == nil {
			continue
		}
		begun := time.Now()
		b.err = f.catchUp(ctx)
		close(b.done)
		if gap := f.client.MinInterval(followShare) - time.Since(begun); gap > 0 {
			sleep(ctx, gap)
		}
	}
}

// catchUp reads all changes since the view's revision.
func (f *Follower) catchUp(ctx context.Context) error {
	if !f.view.Loaded() {
		return fmt.Errorf("read barrier before the view was loaded: %w", ErrRefused)
	}
	begun := time.Now()
	ch, err := f.client.Changes(ctx, CommonPrefix, f.view.Revision(), 0)
	f.recordContact(err)
	if err != nil {
		return fmt.Errorf("read barrier: %w", err)
	}
	f.view.Apply(ch)
	f.view.MarkCurrent(begun)
	return nil
}

// Barrier returns once the view holds everything that was in the state service when
// Barrier was called. All callers that wait share one read.
func (f *Follower) Barrier(ctx context.Context) error { return f.RequestBarrier()(ctx) }

// RequestBarrier starts a barrier and returns the function that waits for it.
func (f *Follower) RequestBarrier() (wait func(ctx context.Context) error) {
	return f.barriers.join().wait
}
