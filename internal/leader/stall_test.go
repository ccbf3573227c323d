package leader

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
)

// TestStallIsReported injects faults under which nothing is launched, and checks that the leader reports a stall with
// its cause.
func TestStallIsReported(t *testing.T) {
	for _, test := range []struct {
		name   string
		inject func(f *largeFleet) // nil: every round is refused
		cause  stall.Cause
	}{
		{"no fault", func(*largeFleet) {}, ""},
		{"the ledger has no room", func(f *largeFleet) { f.ledger, _ = store.NewLedger("fleet", 300, nil) }, stall.CauseLedger},
		{"the ledger has no room for scale-outs", func(f *largeFleet) {
			f.ledger, _ = store.NewLedger("fleet", 300, nil)
			f.heartbeats = nil // no machine sends heartbeats anymore
		}, stall.CauseScaleOut},
		{"every round is refused", nil, stall.CauseRefused},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newLargeFleet(t, 60, 1)
			f.cfg.Tuning.IdleTimeout = time.Hour
			var logged strings.Builder
			f.log = slog.New(slog.NewTextHandler(&logged, nil))
			if test.inject != nil {
				test.inject(f)
			}
			for range 50 {
				if test.inject != nil {
					f.runRound()
					f.heartbeatAll()
					continue
				}
				f.now = f.now.Add(time.Second)
				if d := f.Decide(f.now, f.view.Snapshot()); d != nil {
					f.recordUnwrittenRound(f.now, d, stall.CauseRefused)
					f.Discard(d)
				}
				f.heartbeatAll()
			}
			got, stalled := f.Stall(f.now)
			if stalled != (test.cause != "") || got.Cause != test.cause {
				t.Fatalf("got %+v, stalled %v, want cause %q", got, stalled, test.cause)
			}
			if text := logged.String(); stalled && (!strings.Contains(text, string(test.cause)) || !strings.Contains(text, "job=")) {
				t.Errorf("the log lacks the cause or the job: %q", text)
			}
		})
	}
}

// TestNoStallWithoutRoom checks that no stall is reported for a fleet that is full or whose teams are at their limits.
func TestNoStallWithoutRoom(t *testing.T) {
	for name, teams := range map[string]int{"fleet is full": 0, "at the limits": 15} {
		t.Run(name, func(t *testing.T) {
			f := newLargeFleetOf(t, 60, 1, teams)
			for i := range f.cfg.Teams {
				if teams > 0 {
					f.cfg.Teams[i].GPUsMax = 6
				}
			}
			for range 120 {
				f.runRound()
				f.heartbeatAll()
			}
			if got, stalled := f.Stall(f.now); stalled {
				t.Errorf("unexpected stall: %+v", got)
			}
		})
	}
}
