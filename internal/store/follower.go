package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// watchGap is the least time between two watches: each counts as a request,
// and one brings all changes since the last. Of a small share of the requests,
// watches and barriers take a third each.
const watchGap = 150 * time.Millisecond

// watchTime bounds a watch: how fresh the view surely is follows from when the last
// one was begun.
const watchTime = 4 * time.Second

// WatchFor gives the bound of a watch where what it tells may be no older than so much.
func WatchFor(linger time.Duration) time.Duration { return min(watchTime, linger/3) }

// Follower keeps a View up to date and makes read barriers.
type Follower struct {
	// Watch bounds a watch.
	Watch time.Duration

	client *Client
	view   *View
	log    *slog.Logger

	mu      sync.Mutex
	next    *barrier
	wake    chan struct{}
	reached time.Time
	failed  time.Time
	loaded  Loaded
}

// Loaded tells how the view was last read as a whole.
type Loaded struct {
	At             time.Time
	Took           time.Duration
	Keys, Requests int
	Bytes          int
}

// Loaded tells of the last list.
func (f *Follower) Loaded() Loaded {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

type barrier struct {
	done chan struct{}
	err  error
}

// NewFollower gives a follower of the client's store.
func NewFollower(c *Client, v *View, log *slog.Logger) *Follower {
	return &Follower{Watch: watchTime, client: c, view: v, log: log, wake: make(chan struct{}, 1)}
}

// note remembers when the store was last reached, and when it last was not. One that calls
// the view too old has told nothing: whoever can't read it anew must not seem to be served.
func (f *Follower) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.reached = time.Now()
	} else {
		f.failed = time.Now()
	}
}

// Reached tells when the store last answered, and whether a later call failed.
func (f *Follower) Reached() (at time.Time, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reached, f.failed.After(f.reached)
}

// Run lists and watches until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.list(ctx); err != nil {
			f.note(err)
			f.log.Debug("listing the store failed", "error", err)
			Pause(ctx, 300*time.Millisecond)
			continue
		}
		f.watch(ctx)
	}
	return nil
}

// list reads all keys but the history, page by page, and what has changed
// meanwhile.
func (f *Follower) list(ctx context.Context) error {
	var items []wire.Item
	var first uint64
	begun, pages := time.Now(), 0
	for after := ""; ; {
		page, err := f.client.List(ctx, Root, after, 0)
		if err != nil {
			return err
		}
		if pages++; pages == 1 {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	since := &wire.Changes{Revision: first}
	if pages > 1 { // one page is of one moment
		var err error
		if since, err = f.client.Changes(ctx, Stem, first, 0); err != nil {
			return err
		}
	}
	f.note(nil)
	f.view.Load(items, first, since)
	f.view.Reached(begun)
	l := Loaded{At: time.Now(), Took: time.Since(begun), Keys: len(items), Requests: pages + min(pages-1, 1)}
	for _, it := range items {
		l.Bytes += len(it.Key) + len(it.Value)
	}
	f.mu.Lock()
	f.loaded = l
	f.mu.Unlock()
	f.log.Info("view loaded", "keys", l.Keys, "bytes", l.Bytes, "requests", l.Requests, "after", l.Took, "revision", f.view.Revision())
	return nil
}

// watch follows the changes until the list must be read again.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		ch, err := f.client.Changes(ctx, Stem, f.view.Revision(), f.Watch)
		f.note(err)
		switch {
		case err == nil:
			f.view.Apply(ch)
			f.view.Reached(begun)
			if gap := max(watchGap, f.client.Gap(1./3)) - time.Since(begun); gap > 0 {
				Pause(ctx, gap)
			}
		case errors.Is(err, ErrTooOld):
			return
		default:
			Pause(ctx, 400*time.Millisecond)
		}
	}
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
		b := f.next
		f.next = nil
		f.mu.Unlock()
		if b == nil {
			continue
		}
		begun := time.Now()
		b.err = f.cross(ctx)
		close(b.done)
		if gap := f.client.Gap(1./3) - time.Since(begun); gap > 0 {
			t := time.NewTimer(gap)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
		}
	}
}

func (f *Follower) cross(ctx context.Context) error {
	if !f.view.Loaded() {
		return ErrRefused
	}
	begun := time.Now()
	ch, err := f.client.Changes(ctx, Stem, f.view.Revision(), 0)
	f.note(err)
	if err == nil {
		f.view.Apply(ch)
		f.view.Reached(begun)
	}
	return err
}

// Barrier returns once the view holds everything that was in the store when
// Barrier was called. All who wait share one cheap read.
func (f *Follower) Barrier(ctx context.Context) error { return f.Ask()(ctx) }

// Ask begins a barrier; what it gives waits for it.
func (f *Follower) Ask() (wait func(ctx context.Context) error) {
	f.mu.Lock()
	b := f.next
	if b == nil {
		b = &barrier{done: make(chan struct{})}
		f.next = b
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
