package leader

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
)

// TestStallIsTold plants faults under which nothing is launched, and has the leader report them.
func TestStallIsTold(t *testing.T) {
	for _, x := range []struct {
		name  string
		plant func(c *largeFleet)
		cause stall.Cause
	}{
		{"all is well", func(*largeFleet) {}, ""},
		{"the ledger has no room", func(c *largeFleet) { c.ledger, _ = store.NewLedger("fleet", 300, nil) }, stall.CauseLedger},
		{"nor for rentals", func(c *largeFleet) {
			c.ledger, _ = store.NewLedger("fleet", 300, nil)
			c.heartbeats = nil // no machine sends heartbeats any more
		}, stall.CauseScaleOut},
		{"every round is refused", nil, stall.CauseRefused},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newLargeFleet(t, 60, 1)
			c.cfg.Tuning.Idle = time.Hour
			var logged strings.Builder
			c.log = slog.New(slog.NewTextHandler(&logged, nil))
			if x.plant != nil {
				x.plant(c)
			}
			for range 50 {
				if x.plant != nil {
					c.runRound()
					c.heartbeatAll()
					continue
				}
				c.now = c.now.Add(time.Second)
				if d := c.Decide(c.now, c.view.Snapshot()); d != nil {
					c.roundUnwritten(c.now, d, stall.CauseRefused)
					c.Discard(d)
				}
				c.heartbeatAll()
			}
			got, is := c.Stall(c.now)
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
			c := newLargeFleetOf(t, 60, 1, teams)
			for i := range c.cfg.Teams {
				if teams > 0 {
					c.cfg.Teams[i].GPUsMax = 6
				}
			}
			for range 120 {
				c.runRound()
				c.heartbeatAll()
			}
			if got, is := c.Stall(c.now); is {
				t.Errorf("%+v", got)
			}
		})
	}
}
