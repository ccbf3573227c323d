package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

const (
	// minWatchInterval is the least time between two watches: each counts as a request, and
	// one brings all changes since the last.
	minWatchInterval = 150 * time.Millisecond
	// followShare is the fraction of a controller's requests that watches may use, and that
	// barriers may use: with a small allowance a third is left for everything else.
	followShare = 1. / 3
	// maxWatchTimeout bounds a watch: the view is known to be current as of when the last
	// watch that was answered began, so that a long one makes it look stale.
	maxWatchTimeout = 4 * time.Second
	// watchesPerStaleness is how many watches fit into the staleness that a reader allows,
	// so that one that is lost does not exceed it.
	watchesPerStaleness = 3
	// loadRetryInterval and watchRetryInterval are the mean pauses after a failed call.
	loadRetryInterval  = 300 * time.Millisecond
	watchRetryInterval = 400 * time.Millisecond
)

// WatchTimeoutFor returns the bound of a watch where the view may be no older than maxStaleness.
func WatchTimeoutFor(maxStaleness time.Duration) time.Duration {
	return min(maxWatchTimeout, maxStaleness/watchesPerStaleness)
}

// Follower keeps a View up to date with the state service, and makes read barriers.
// Whoever creates it runs Run and RunBarriers, each in a goroutine.
type Follower struct {
	// WatchTimeout bounds a watch.
	WatchTimeout time.Duration

	client   *Client
	view     *View
	log      *slog.Logger
	barriers *barrierQueue

	mu          sync.Mutex
	lastSuccess time.Time
	lastFailure time.Time
	lastLoad    LoadStats
}

// LoadStats describes the last time that the view was read as a whole.
type LoadStats struct {
	FinishedAt     time.Time
	Duration       time.Duration
	Keys, Requests int
	Bytes          int
}

// LastLoad returns the statistics of the last load of the view.
func (f *Follower) LastLoad() LoadStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastLoad
}

// NewFollower returns a follower that reads through a client into a view.
func NewFollower(c *Client, v *View, log *slog.Logger) *Follower {
	return &Follower{WatchTimeout: maxWatchTimeout, client: c, view: v, log: log, barriers: newBarrierQueue()}
}

// recordContact remembers when the state service last answered, and when it last did not.
// ErrCompacted counts as a failure although it is an answer: a controller that cannot list
// the keys again must not look as if it was served.
func (f *Follower) recordContact(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.lastSuccess = time.Now()
	} else {
		f.lastFailure = time.Now()
	}
}

// LastContact tells when the state service last answered, and whether a later call failed.
func (f *Follower) LastContact() (at time.Time, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastSuccess, f.lastFailure.After(f.lastSuccess)
}

// Run loads the view and watches the changes until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.load(ctx); err != nil {
			f.recordContact(err)
			f.log.Debug("loading the view failed", "err", err)
			Backoff(ctx, loadRetryInterval)
			continue
		}
		f.watch(ctx)
	}
	return nil
}

// load reads all keys but the archive, and what has changed meanwhile.
func (f *Follower) load(ctx context.Context) error {
	begun := time.Now()
	items, first, pages, err := f.list(ctx)
	if err != nil {
		return err
	}
	changes := &wire.WatchResponse{Revision: first}
	if pages > 1 { // the pages are of different revisions
		if changes, err = f.client.Changes(ctx, CommonPrefix, first, 0); err != nil {
			return fmt.Errorf("read changes since revision %d: %w", first, err)
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

// list reads all keys but the archive, page by page, and returns the revision of the first page.
func (f *Follower) list(ctx context.Context) (items []wire.KeyValue, first uint64, pages int, err error) {
	for after := ""; ; {
		page, err := f.client.List(ctx, StatePrefix, after, 0)
		if err != nil {
			return nil, 0, pages, fmt.Errorf("list keys after %q: %w", after, err)
		}
		if pages++; pages == 1 {
			first = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, first, pages, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// watch applies changes until the keys must be listed again.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		ch, err := f.client.Changes(ctx, CommonPrefix, f.view.Revision(), f.WatchTimeout)
		f.recordContact(err)
		switch {
		case err == nil:
			f.view.Apply(ch)
			f.view.MarkCurrent(begun)
			if gap := max(minWatchInterval, f.client.MinInterval(followShare)) - time.Since(begun); gap > 0 {
				Backoff(ctx, gap)
			}
		case errors.Is(err, ErrCompacted):
			return
		default:
			Backoff(ctx, watchRetryInterval)
		}
	}
}
