package store

import (
	"context"
	"time"
)

type barrier struct {
	done chan struct{}
	err  error
}

// RunBarriers makes the barriers that are asked for, one at a time.
func (f *Follower) RunBarriers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
		}
		f.mu.Lock()
		b := f.pending
		f.pending = nil
		f.mu.Unlock()
		if b == nil {
			continue
		}
		begun := time.Now()
		b.err = f.catchUp(ctx)
		close(b.done)
		if gap := f.client.MinInterval(1./3) - time.Since(begun); gap > 0 {
			t := time.NewTimer(gap)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
		}
	}
}

func (f *Follower) catchUp(ctx context.Context) error {
	if !f.view.Loaded() {
		return ErrRefused
	}
	begun := time.Now()
	ch, err := f.client.Changes(ctx, CommonPrefix, f.view.Revision(), 0)
	f.recordContact(err)
	if err == nil {
		f.view.Apply(ch)
		f.view.MarkCurrent(begun)
	}
	return err
}

// Barrier returns once the view holds everything that was in the store when
// Barrier was called. All who wait share one cheap read.
func (f *Follower) Barrier(ctx context.Context) error { return f.RequestBarrier()(ctx) }

// RequestBarrier begins a barrier; what it gives waits for it.
func (f *Follower) RequestBarrier() (wait func(ctx context.Context) error) {
	f.mu.Lock()
	b := f.pending
	if b == nil {
		b = &barrier{done: make(chan struct{})}
		f.pending = b
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
	f.mu.Unlock()
	return func(ctx context.Context) error {
		select {
		case <-b.done:
			return b.err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
