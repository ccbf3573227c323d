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
	// minWatchInterval is the minimum mean time between the starts of two watches. Each watch
	// counts as a request, and returns all changes since the previous one.
	minWatchInterval = 150 * time.Millisecond
	// followerRequestShare is the fraction of a controller's request allowance that watches may
	// use, and that barriers may use as well. With a small allowance, this leaves a third for
	// everything else.
	followerRequestShare = 1. / 3
	// maxWatchTimeout is the longest timeout of a watch. The view is only known to be current as
	// of the start of the last watch that was answered, so that a long watch makes it look stale.
	maxWatchTimeout = 4 * time.Second
	// watchesPerStaleness is how many watches fit into the maximum staleness that a reader
	// accepts, so that one lost watch does not exceed it.
	watchesPerStaleness = 3
	// loadRetryInterval and watchRetryInterval are the mean delays before a failed load or watch
	// is retried.
	loadRetryInterval  = 300 * time.Millisecond
	watchRetryInterval = 400 * time.Millisecond
)

// WatchTimeoutFor returns the watch timeout to use if the view may be no older than maxStaleness.
func WatchTimeoutFor(maxStaleness time.Duration) time.Duration {
	return min(maxWatchTimeout, maxStaleness/watchesPerStaleness)
}

// Follower keeps a View up to date with the state service and executes read barriers. Its creator
// must call Run and RunBarriers, each in its own goroutine.
type Follower struct {
	// WatchTimeout is the longest time that a watch waits for changes.
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

// LoadStats describes a full load of the view.
type LoadStats struct {
	FinishedAt     time.Time
	Duration       time.Duration
	Keys, Requests int
	Bytes          int
}

// LastLoad returns the statistics of the last completed load, or a zero value before the first.
func (f *Follower) LastLoad() LoadStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastLoad
}

// NewFollower returns a Follower that reads through client c into view v.
func NewFollower(c *Client, v *View, log *slog.Logger) *Follower {
	return &Follower{WatchTimeout: maxWatchTimeout, client: c, view: v, log: log, barriers: newBarrierQueue()}
}

// recordContact records the time of a successful call (nil err) or of a failed one. ErrCompacted
// counts as a failure although the service responded: a controller that cannot list the keys
// again must not appear to be in contact with the service.
func (f *Follower) recordContact(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.lastSuccess = time.Now()
	} else {
		f.lastFailure = time.Now()
	}
}

// LastContact returns the time of the last successful call, and whether a later call failed.
func (f *Follower) LastContact() (at time.Time, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastSuccess, f.lastFailure.After(f.lastSuccess)
}

// Run loads the view and applies changes to it until the context is done. When a watch
// fails with ErrCompacted, it loads the view again.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.load(ctx); err != nil {
			f.recordContact(err)
			f.log.Debug("failed to load the view", "err", err)
			Backoff(ctx, loadRetryInterval)
			continue
		}
		f.watch(ctx)
	}
	return nil
}

// load reads all keys except the archive's, then the changes that were committed meanwhile.
func (f *Follower) load(ctx context.Context) error {
	start := time.Now()
	items, listRevision, pages, err := f.list(ctx)
	if err != nil {
		return err
	}
	changes := &wire.WatchResponse{Revision: listRevision}
	if pages > 1 { // the pages may be from different revisions
		if changes, err = f.client.Changes(ctx, CommonPrefix, listRevision, 0); err != nil {
			return fmt.Errorf("read changes since revision %d: %w", listRevision, err)
		}
	}
	f.recordContact(nil)
	f.view.Load(items, listRevision, changes)
	f.view.MarkCurrent(start)
	stats := LoadStats{FinishedAt: time.Now(), Duration: time.Since(start), Keys: len(items), Requests: pages + min(pages-1, 1)}
	for _, item := range items {
		stats.Bytes += len(item.Key) + len(item.Value)
	}
	f.mu.Lock()
	f.lastLoad = stats
	f.mu.Unlock()
	f.log.Info("view loaded", "keys", stats.Keys, "bytes", stats.Bytes, "requests", stats.Requests, "after", stats.Duration, "revision", f.view.Revision())
	return nil
}

// list reads all keys except the archive's, page by page. It returns their values, the revision of
// the first page, and the number of pages.
func (f *Follower) list(ctx context.Context) (items []wire.KeyValue, revision uint64, pages int, err error) {
	for after := ""; ; {
		page, err := f.client.List(ctx, StatePrefix, after, 0)
		if err != nil {
			return nil, 0, pages, fmt.Errorf("list keys after %q: %w", after, err)
		}
		if pages++; pages == 1 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, pages, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// watch applies changes to the view until the keys have to be listed again or the context is done.
func (f *Follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		changes, err := f.client.Changes(ctx, CommonPrefix, f.view.Revision(), f.WatchTimeout)
		f.recordContact(err)
		switch {
		case err == nil:
			f.view.Apply(changes)
			f.view.MarkCurrent(start)
			if gap := max(minWatchInterval, f.client.MinRequestInterval(followerRequestShare)) - time.Since(start); gap > 0 {
				Backoff(ctx, gap)
			}
		case errors.Is(err, ErrCompacted):
			return
		default:
			Backoff(ctx, watchRetryInterval)
		}
	}
}
