package store

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// FormatGuard marks the form of the state, and says whether this version may work
// on it: not on one that a newer version has written, and not beside an older one,
// which would not understand what this one writes.
type FormatGuard struct {
	Client   *Client
	View     *View
	Follower *Follower
	Log      *slog.Logger
	// OlderController names a controller of an older version that is alive, if any.
	OlderController func() string
	// Shards lists the parts whose holders' versions are looked at.
	Shards []string

	// GracePeriod is how long a state that was never marked is left alone, so that
	// controllers of an older version, if there are any, are heard.
	GracePeriod time.Duration

	mu        sync.Mutex
	reason    string
	writable  bool
	startedAt time.Time
}

// reasonNotLoaded is what is said until the state was read: at every start, for a moment.
const reasonNotLoaded = "the state is not read yet"

// Writable says whether this controller may write, and if not why.
func (f *FormatGuard) Writable() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writable, f.reason
}

// Run looks at the form of the state again and again until the context ends.
func (f *FormatGuard) Run(ctx context.Context) error {
	ctx = WithPurpose(ctx, PurposeLeadership)
	f.startedAt = time.Now()
	for ctx.Err() == nil {
		changed := f.View.Changed()
		reason := f.check(ctx)
		f.mu.Lock()
		previous := f.reason
		f.reason, f.writable = reason, reason == ""
		f.mu.Unlock()
		switch {
		case reason == previous || reason == reasonNotLoaded:
		case reason != "":
			f.Log.Error("not serving", "why", reason)
		case previous != reasonNotLoaded:
			f.Log.Info("serving again", "format", Format)
		}
		t := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
		case <-changed:
			if reason == "" {
				Backoff(ctx, 500*time.Millisecond)
			}
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// check says why this controller may not work on the state, or nothing.
func (f *FormatGuard) check(ctx context.Context) string {
	switch {
	case !f.View.Loaded():
		return reasonNotLoaded
	case f.View.Format().Import != "":
		return "an export is being put into the state: see amberdeal state import"
	case f.View.Format().Format > FormatSharded:
		return "a newer version of amberdeal has written the state: this one does not understand it; start that version"
	}
	if name := f.OlderController(); name != "" {
		return "controller " + name + " is of an older version: end it, or give it this version"
	}
	for _, part := range f.Shards {
		if p, ok := f.View.Leader(part); ok && p.Record.Format == 0 {
			return "controller " + p.Record.Leader + ", of an older version, holds the fleet: end it, or give it this version"
		}
	}
	if f.View.Format().Format >= Format {
		return ""
	}
	if !f.View.Empty() && time.Since(f.startedAt) < f.GracePeriod {
		return "the state is of an older version: listening for its controllers"
	}
	rec := FormatRecord{Format: Format}
	if !f.View.Empty() {
		rec.Since = time.Now().UnixMilli()
	}
	_, err := f.Client.Txn(ctx, wire.Txn{If: []wire.Condition{{Key: FormatKey}}, Then: []wire.Operation{{Put: FormatKey, Value: rec}}})
	if berr := f.Follower.Barrier(ctx); berr != nil || f.View.Format().Format < Format {
		return "the form of the state can't be marked"
	}
	if err != nil {
		f.Log.Debug("another controller has marked the state", "error", err)
	}
	return ""
}
