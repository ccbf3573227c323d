package leader

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
)

// TestStallIsReported plants faults under which nothing is launched, and has the leader report them.
func TestStallIsReported(t *testing.T) {
	for _, x := range []struct {
		name  string
		plant func(f *largeFleet)
		cause stall.Cause
	}{
		{"all is well", func(*largeFleet) {}, ""},
		{"the ledger has no room", func(f *largeFleet) { f.ledger, _ = store.NewLedger("fleet", 300, nil) }, stall.CauseLedger},
		{"nor for rentals", func(f *largeFleet) {
			f.ledger, _ = store.NewLedger("fleet", 300, nil)
			f.heartbeats = nil // no machine sends heartbeats any more
		}, stall.CauseScaleOut},
		{"every round is refused", nil, stall.CauseRefused},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := newLargeFleet(t, 60, 1)
			f.cfg.Tuning.Idle = time.Hour
			var logged strings.Builder
			f.log = slog.New(slog.NewTextHandler(&logged, nil))
			if x.plant != nil {
				x.plant(f)
			}
			for range 50 {
				if x.plant != nil {
					f.runRound()
					f.heartbeatAll()
					continue
				}
				f.now = f.now.Add(time.Second)
				if d := f.Decide(f.now, f.view.Snapshot()); d != nil {
					f.roundUnwritten(f.now, d, stall.CauseRefused)
					f.Discard(d)
				}
				f.heartbeatAll()
			}
			got, is := f.Stall(f.now)
			if is != (x.cause != "") || got.Cause != x.cause {
				t.Fatalf("%+v, %v, not %q", got, is, x.cause)
			}
			if said := logged.String(); is && (!strings.Contains(said, string(x.cause)) || !strings.Contains(said, "job=")) {
				t.Errorf("the log says %q", said)
			}
		})
	}
}

// TestNoStallWithoutRoom: a fleet that is full, and one whose teams are at their limits, is no stall.
func TestNoStallWithoutRoom(t *testing.T) {
	for name, teams := range map[string]int{"full": 0, "at the limits": 15} {
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
			if got, is := f.Stall(f.now); is {
				t.Errorf("%+v", got)
			}
		})
	}
}
