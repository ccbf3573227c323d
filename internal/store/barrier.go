package store

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// barrierQueue collects the callers that wait for the same read barrier: a single read serves
// every caller that joined before the read was sent.
type barrierQueue struct {
	wake chan struct{} // holds a token while a barrier is pending

	mu      sync.Mutex
	pending *barrier // next barrier, whose read has not been sent; nil if nobody waits for one
}

// barrier is a single read that brings the view up to date, shared by its waiters.
type barrier struct {
	done chan struct{} // closed once err is set
	err  error
}

func newBarrierQueue() *barrierQueue { return &barrierQueue{wake: make(chan struct{}, 1)} }

// join returns the pending barrier, creating it and waking RunBarriers if there is none.
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

// take removes and returns the pending barrier, or nil, just before its read is sent. Callers
// that join later wait for the next barrier.
func (q *barrierQueue) take() *barrier {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.pending
	q.pending = nil
	return b
}

// wait blocks until the barrier has completed or the context is done.
func (b *barrier) wait(ctx context.Context) error {
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RunBarriers executes requested barriers, one at a time, until the context is done.
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
		start := time.Now()
		b.err = f.catchUp(ctx)
		close(b.done)
		if gap := f.client.MinRequestInterval(followerRequestShare) - time.Since(start); gap > 0 {
			sleep(ctx, gap)
		}
	}
}

// catchUp reads all changes since the view's revision and applies them to the view.
func (f *Follower) catchUp(ctx context.Context) error {
	if !f.view.Loaded() {
		return fmt.Errorf("read barrier before the view was loaded: %w", ErrRefused)
	}
	start := time.Now()
	changes, err := f.client.Changes(ctx, CommonPrefix, f.view.Revision(), 0)
	f.recordContact(err)
	if err != nil {
		return fmt.Errorf("read barrier: %w", err)
	}
	f.view.Apply(changes)
	f.view.MarkCurrent(start)
	return nil
}

// Barrier blocks until the view includes every change that was committed in the state service
// before the call. Concurrent callers share one read.
func (f *Follower) Barrier(ctx context.Context) error { return f.RequestBarrier()(ctx) }

// RequestBarrier requests a barrier without blocking and returns a function that waits for it.
func (f *Follower) RequestBarrier() (wait func(ctx context.Context) error) {
	return f.barriers.join().wait
}
