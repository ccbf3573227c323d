package leader

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// TestStallDetector: a stall is told after 30 s in which something could start and nothing does, with
// its newest cause, and once in 30 s; a start ends it.
func TestStallDetector(t *testing.T) {
	begun := time.Unix(1e9, 0)
	at := func(s int) time.Time { return begun.Add(time.Duration(s) * time.Second) }
	s := stallDetector{lastProgress: begun}
	if s.checkDue(at(14)) || !s.checkDue(at(15)) {
		t.Error("whether anything could start is not asked after 15 s")
	}
	s.blocked(at(20), StallPlan, "wk-1")
	s.blocked(at(49), StallLedger, "wk-2")
	if _, is := s.stall(at(49)); is {
		t.Error("a stall after 29 s")
	}
	s.blocked(at(50), StallLedger, "wk-2")
	if got, is := s.stall(at(50)); !is || got != (Stall{at(20), StallLedger, "wk-2"}) {
		t.Errorf("after 30 s: %+v, %v", got, is)
	}
	if _, tells := s.toLog(at(50)); !tells {
		t.Error("not logged after 30 s")
	}
	if _, tells := s.toLog(at(79)); tells {
		t.Error("logged again after 29 s")
	}
	if _, tells := s.toLog(at(80)); !tells {
		t.Error("not logged again after 30 s")
	}
	s.idle(at(100)) // its machines were returned, and others are being rented
	if _, is := s.stall(at(100)); !is {
		t.Error("a moment without room ends the stall")
	}
	s.idle(at(171))
	if _, is := s.stall(at(171)); is {
		t.Error("two minutes without room don't end the stall")
	}
	s.blocked(at(200), StallPlan, "wk-3")
	s.blocked(at(240), StallPlan, "wk-3")
	s.started(at(241))
	if _, is := s.stall(at(241)); is || s.checkDue(at(255)) {
		t.Error("a start does not end the stall")
	}
}

// TestStallIsTold plants faults under which nothing starts, and has the holder say so.
func TestStallIsTold(t *testing.T) {
	for _, x := range []struct {
		name  string
		plant func(c *largeFleet)
		cause StallCause
	}{
		{"all is well", func(*largeFleet) {}, ""},
		{"the ledger has no room", func(c *largeFleet) { c.ledger, _ = store.NewLedger("fleet", 300, nil) }, StallLedger},
		{"nor for rentals", func(c *largeFleet) {
			c.ledger, _ = store.NewLedger("fleet", 300, nil)
			c.heartbeats = nil // no machine is heard any more
		}, StallScaleOut},
		{"every round is refused", nil, StallRefused},
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
					c.roundUnwritten(c.now, d, StallRefused)
					c.Discard(d)
				}
				c.heartbeatAll()
			}
			stall, is := c.Stall(c.now)
			if is != (x.cause != "") || stall.Cause != x.cause {
				t.Fatalf("%+v, %v, not %q", stall, is, x.cause)
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
			if stall, is := c.Stall(c.now); is {
				t.Errorf("%+v", stall)
			}
		})
	}
}
