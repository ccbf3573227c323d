package store

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// FormatGuard decides whether this version of the software may work on the state, and writes the
// format marker. This version must not work on a state that a newer version has written, nor
// alongside a controller of an older version, which could not decode what this version writes.
type FormatGuard struct {
	Client   *Client
	View     *View
	Follower *Follower
	Log      *slog.Logger
	// OlderController returns the name of a running controller of an older version, or "".
	OlderController func() string
	// Shards lists the shards whose leaders are checked for an older version.
	Shards []string

	// GracePeriod is how long to wait before marking a non-empty state that has no marker, so
	// that running controllers of an older version can be detected first.
	GracePeriod time.Duration

	mu        sync.Mutex
	reason    string // why the state is not writable
	writable  bool
	startedAt time.Time
}

// reasonNotLoaded is the reason until the view is loaded, which happens briefly at every start.
const reasonNotLoaded = "the state is not read yet"

const (
	// formatCheckInterval is the interval between checks while the state does not change.
	formatCheckInterval = time.Second
	// formatChangeDelay is the mean delay between checks while the state changes.
	formatChangeDelay = 500 * time.Millisecond
)

// Writable reports whether this controller may write to the state and, if not, the reason.
func (f *FormatGuard) Writable() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.writable, f.reason
}

// Run checks the format of the state repeatedly until the context is cancelled.
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

// setReason stores the result of a check, and logs it if it differs from the previous result.
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

// check returns the reason why this controller may not work on the state, or "". It marks a state
// that has no marker yet.
func (f *FormatGuard) check(ctx context.Context) string {
	if reason := f.blockingReason(); reason != "" {
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

// blockingReason returns the reason why this version must not work on the state, or "". Unlike check,
// it ignores a missing marker.
func (f *FormatGuard) blockingReason() string {
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

// mark writes the format marker to a state that has none, and returns the reason if that fails. If
// several controllers try at once, one succeeds, and the others see its marker after the read barrier.
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
		f.Log.Debug("another controller has written the format marker", "err", err)
	}
	return ""
}
