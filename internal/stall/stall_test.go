package stall

import (
	"testing"
	"time"
)

// TestDetector checks that a stall is reported after 30 s in which something could be launched and nothing is, with its
// latest cause, that it is logged every 30 s, and that a launch ends it.
func TestDetector(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	s := NewDetector(start)
	if s.CheckDue(at(14)) || !s.CheckDue(at(15)) {
		t.Error("the check whether anything could be launched is not due after exactly 15 s")
	}
	s.Blocked(at(20), CausePlan, "wk-1")
	s.Blocked(at(49), CauseLedger, "wk-2")
	if _, stalled := s.Current(at(49)); stalled {
		t.Error("a stall is reported after 29 s")
	}
	s.Blocked(at(50), CauseLedger, "wk-2")
	if got, stalled := s.Current(at(50)); !stalled || got != (Stall{at(20), CauseLedger, "wk-2"}) {
		t.Errorf("after 30 s: stall %+v, reported %v", got, stalled)
	}
	if _, due := s.ToLog(at(50)); !due {
		t.Error("not logged after 30 s")
	}
	if _, due := s.ToLog(at(79)); due {
		t.Error("logged again after 29 s")
	}
	if _, due := s.ToLog(at(80)); !due {
		t.Error("not logged again after 30 s")
	}
	s.Idle(at(100)) // its machines were released, and others are being requested
	if _, stalled := s.Current(at(100)); !stalled {
		t.Error("a short time without capacity ends the stall")
	}
	s.Idle(at(171))
	if _, stalled := s.Current(at(171)); stalled {
		t.Error("two minutes without capacity do not end the stall")
	}
	s.Blocked(at(200), CausePlan, "wk-3")
	s.Blocked(at(240), CausePlan, "wk-3")
	s.Launched(at(241))
	if _, stalled := s.Current(at(241)); stalled || s.CheckDue(at(255)) {
		t.Error("a launch does not end the stall")
	}
}
