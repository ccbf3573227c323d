package store

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Formatter marks the form of the state, and says whether this version may work
// on it: not on one that a newer version has written, and not beside an older one,
// which would not understand what this one writes.
type Formatter struct {
	Client *Client
	View   *View
	Follow *Follower
	Log    *slog.Logger
	// Older names a controller of an older version that is alive, if any.
	Older func() string
	// Parts lists the parts whose holders' versions are looked at.
	Parts []string

	// Patience is how long a state that was never marked is left alone, so that
	// controllers of an older version, if there are any, are heard.
	Patience time.Duration

	mu    sync.Mutex
	why   string
	open  bool
	begun time.Time
}

// unread is what is said until the state was read: at every start, for a moment.
const unread = "the state is not read yet"

// Open says whether this controller may write, and if not why.
func (f *Formatter) Open() (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open, f.why
}

// Run looks at the form of the state again and again until the context ends.
func (f *Formatter) Run(ctx context.Context) error {
	ctx = For(ctx, Claims)
	f.begun = time.Now()
	for ctx.Err() == nil {
		changed := f.View.Changed()
		why := f.look(ctx)
		f.mu.Lock()
		before := f.why
		f.why, f.open = why, why == ""
		f.mu.Unlock()
		switch {
		case why == before || why == unread:
		case why != "":
			f.Log.Error("not serving", "why", why)
		case before != unread:
			f.Log.Info("serving again", "format", Format)
		}
		t := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
		case <-changed:
			if why == "" {
				Pause(ctx, 500*time.Millisecond)
			}
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// look says why this controller may not work on the state, or nothing.
func (f *Formatter) look(ctx context.Context) string {
	switch {
	case !f.View.Loaded():
		return unread
	case f.View.Format().Import != "":
		return "an export is being put into the state: see amberdeal state import"
	case f.View.Format().Format > FormatParts:
		return "a newer version of amberdeal has written the state: this one does not understand it; start that version"
	}
	if name := f.Older(); name != "" {
		return "controller " + name + " is of an older version: end it, or give it this version"
	}
	for _, part := range f.Parts {
		if p, ok := f.View.Part(part); ok && p.Record.Format == 0 {
			return "controller " + p.Record.Holder + ", of an older version, holds the fleet: end it, or give it this version"
		}
	}
	if f.View.Format().Format >= Format {
		return ""
	}
	if !f.View.Fresh() && time.Since(f.begun) < f.Patience {
		return "the state is of an older version: listening for its controllers"
	}
	rec := FormatRecord{Format: Format}
	if !f.View.Fresh() {
		rec.Since = time.Now().UnixMilli()
	}
	_, err := f.Client.Txn(ctx, wire.Txn{If: []wire.Condition{{Key: FormatKey}}, Then: []wire.Change{{Put: FormatKey, Value: rec}}})
	if berr := f.Follow.Barrier(ctx); berr != nil || f.View.Format().Format < Format {
		return "the form of the state can't be marked"
	}
	if err != nil {
		f.Log.Debug("another controller has marked the state", "error", err)
	}
	return ""
}
