package store

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// FormatGuard decides whether this version may work on the state, and marks the state with
// its format. It may not on a state that a newer version has written, and not beside a
// controller of an older version, which would not understand what this one writes.
type FormatGuard struct {
	Client   *Client
	View     *View
	Follower *Follower
	Log      *slog.Logger
	// OlderController names a controller of an older version that is running, or is empty.
	OlderController func() string
	// Shards lists the shards whose leaders' versions are checked.
	Shards []string

	// GracePeriod is how long a state that was never marked is left alone, so that
	// controllers of an older version, if there are any, can be found.
	GracePeriod time.Duration

	mu        sync.Mutex
	reason    string // why the state is not writable
	writable  bool
	startedAt time.Time
}

// reasonNotLoaded is given until the view is loaded, for a moment at every start.
const reasonNotLoaded = "the state is not read yet"

const (
	// formatCheckInterval is how often the format is checked where nothing changes.
	formatCheckInterval = time.Second
	// formatChangeDelay is the mean pause between two checks while the state changes.
	formatChangeDelay = 500 * time.Millisecond
)

// Writable reports whether this controller may write, and if not why.
func (f *FormatGuard) Writable() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writable, f.reason
}

// Run checks the format of the state again and again until the context ends.
func (f *FormatGuard) Run(ctx context.Context) error {
	ctx = WithPurpose(ctx, PurposeLeadership)
	f.startedAt = time.Now()
	for ctx.Err() == nil {
		changed := f.View.Changed()
		reason := f.check(ctx)
		f.setReason(reason)
		t := time.NewTimer(formatCheckInterval)
		select {
		case <-ctx.Done():
		case <-changed:
			if reason == "" {
				Backoff(ctx, formatChangeDelay)
			}
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// setReason takes the result of a check, and logs it when it differs from the one before.
func (f *FormatGuard) setReason(reason string) {
	f.mu.Lock()
	previous := f.reason
	f.reason, f.writable = reason, reason == ""
	f.mu.Unlock()
	switch {
	case reason == previous || reason == reasonNotLoaded:
	case reason != "":
		f.Log.Error("not serving", "reason", reason)
	case previous != reasonNotLoaded:
		f.Log.Info("serving again", "format", Format)
	}
}

// check returns why this controller may not work on the state, or nothing. It marks a
// state that is not marked yet.
func (f *FormatGuard) check(ctx context.Context) string {
	if reason := f.obstacle(); reason != "" {
		return reason
	}
	if f.View.Format().Format >= Format {
		return ""
	}
	if !f.View.Empty() && time.Since(f.startedAt) < f.GracePeriod {
		return "the state is of an older version: listening for its controllers"
	}
	return f.mark(ctx)
}

// obstacle returns what keeps this version from working on the state at all, or nothing.
func (f *FormatGuard) obstacle() string {
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
	for _, shard := range f.Shards {
		if leader, ok := f.View.Leader(shard); ok && leader.Record.Format == 0 {
			return "controller " + leader.Record.Leader + ", of an older version, holds the fleet: end it, or give it this version"
		}
	}
	return ""
}

// mark writes this version's format into a state that has none. Of several controllers
// that try one succeeds, and the read barrier shows its mark to the others.
func (f *FormatGuard) mark(ctx context.Context) string {
	rec := FormatRecord{Format: Format}
	if !f.View.Empty() {
		rec.Since = time.Now().UnixMilli()
	}
	_, err := f.Client.Txn(ctx, wire.Txn{If: []wire.Condition{{Key: FormatKey}}, Then: []wire.Operation{{Put: FormatKey, Value: rec}}})
	if berr := f.Follower.Barrier(ctx); berr != nil || f.View.Format().Format < Format {
		return "the form of the state can't be marked"
	}
	if err != nil {
		f.Log.Debug("another controller has marked the state", "err", err)
	}
	return ""
}
