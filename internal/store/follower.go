package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// minWatchInterval is the least time between two watches: each counts as a request,
// and one brings all changes since the last. Of a small share of the requests,
// watches and barriers take a third each.
const minWatchInterval = 150 * time.Millisecond

// maxWatchTimeout bounds a watch: how fresh the view surely is follows from when the last
// one was begun.
const maxWatchTimeout = 4 * time.Second

// WatchTimeoutFor gives the bound of a watch where what it tells may be no older than so much.
func WatchTimeoutFor(maxStaleness time.Duration) time.Duration {
	return min(maxWatchTimeout, maxStaleness/3)
}

// Follower keeps a View up to date and makes read barriers.
type Follower struct {
	// WatchTimeout bounds a watch.
	WatchTimeout time.Duration

	client *Client
	view   *View
	log    *slog.Logger

	mu          sync.Mutex
	pending     *barrier
	wake        chan struct{}
	lastSuccess time.Time
	lastFailure time.Time
	lastLoad    LoadStats
}

// LoadStats tells how the view was last read as a whole.
type LoadStats struct {
	FinishedAt     time.Time
	Duration       time.Duration
	Keys, Requests int
	Bytes          int
}

// LastLoad tells of the last list.
func (f *Follower) LastLoad() LoadStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastLoad
}

// NewFollower gives a follower of the client's store.
func NewFollower(c *Client, v *View, log *slog.Logger) *Follower {
	return &Follower{WatchTimeout: maxWatchTimeout, client: c, view: v, log: log, wake: make(chan struct{}, 1)}
}

// recordContact remembers when the store was last reached, and when it last was not. One that calls
// the view too old has told nothing: whoever can't read it anew must not seem to be served.
func (f *Follower) recordContact(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.lastSuccess = time.Now()
	} else {
		f.lastFailure = time.Now()
	}
}

// LastContact tells when the store last answered, and whether a later call failed.
func (f *Follower) LastContact() (at time.Time, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastSuccess, f.lastFailure.After(f.lastSuccess)
}

// Run lists and watches until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.load(ctx); err != nil {
			f.recordContact(err)
			f.log.Debug("listing the store failed", "error", err)
			Backoff(ctx, 300*time.Millisecond)
			continue
		}
		f.watch(ctx)
	}
	return nil
}

// load reads all keys but the history, page by page, and what has changed
// meanwhile.
func (f *Follower) load(ctx context.Context) error {
	var items []wire.KeyValue
	var first uint64
	begun, pages := time.Now(), 0
	for after := ""; ; {
		page, err := f.client.List(ctx, StatePrefix, after, 0)
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
	changes := &wire.WatchResponse{Revision: first}
	if pages > 1 { // one page is of one moment
		var err error
		if changes, err = f.client.Changes(ctx, CommonPrefix, first, 0); err != nil {
			return err
		}
	}
	f.recordContact(nil)
	f.view.Load(items, first, changes)
	f.view.MarkCurrent(begun)
	l := LoadStats{FinishedAt: time.Now(), Duration: time.Since(begun), Keys: len(items), Requests: pages + min(pages-1, 1)}
	for _, it := range items {
		l.Bytes += len(it.Key) + len(it.Value)
	}
	f.mu.Lock()
	f.lastLoad = l
	f.mu.Unlock()
	f.log.Info("view loaded", "keys", l.Keys, "bytes", l.Bytes, "requests", l.Requests, "after", l.Duration, "revision", f.view.Revision())
	return nil
}

// watch follows the changes until the list must be read again.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		ch, err := f.client.Changes(ctx, CommonPrefix, f.view.Revision(), f.WatchTimeout)
		f.recordContact(err)
		switch {
		case err == nil:
			f.view.Apply(ch)
			f.view.MarkCurrent(begun)
			if gap := max(minWatchInterval, f.client.MinInterval(1./3)) - time.Since(begun); gap > 0 {
				Backoff(ctx, gap)
			}
		case errors.Is(err, ErrCompacted):
			return
		default:
			Backoff(ctx, 400*time.Millisecond)
		}
	}
}
