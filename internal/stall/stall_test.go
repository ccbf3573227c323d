package stall

import (
	"testing"
	"time"
)

// TestDetector: a stall is reported after 30 s in which something could start and nothing does, with
// its newest cause, and once in 30 s; a start ends it.
func TestDetector(t *testing.T) {
	begun := time.Unix(1e9, 0)
	at := func(s int) time.Time { return begun.Add(time.Duration(s) * time.Second) }
	s := NewDetector(begun)
	if s.CheckDue(at(14)) || !s.CheckDue(at(15)) {
		t.Error("whether anything could start is not asked after 15 s")
	}
	s.Blocked(at(20), CausePlan, "wk-1")
	s.Blocked(at(49), CauseLedger, "wk-2")
	if _, is := s.Current(at(49)); is {
		t.Error("a stall after 29 s")
	}
	s.Blocked(at(50), CauseLedger, "wk-2")
	if got, is := s.Current(at(50)); !is || got != (Stall{at(20), CauseLedger, "wk-2"}) {
		t.Errorf("after 30 s: %+v, %v", got, is)
	}
	if _, tells := s.ToLog(at(50)); !tells {
		t.Error("not logged after 30 s")
	}
	if _, tells := s.ToLog(at(79)); tells {
		t.Error("logged again after 29 s")
	}
	if _, tells := s.ToLog(at(80)); !tells {
		t.Error("not logged again after 30 s")
	}
	s.Idle(at(100)) // its machines were returned, and others are being rented
	if _, is := s.Current(at(100)); !is {
		t.Error("a moment without room ends the stall")
	}
	s.Idle(at(171))
	if _, is := s.Current(at(171)); is {
		t.Error("two minutes without room don't end the stall")
	}
	s.Blocked(at(200), CausePlan, "wk-3")
	s.Blocked(at(240), CausePlan, "wk-3")
	s.Launched(at(241))
	if _, is := s.Current(at(241)); is || s.CheckDue(at(255)) {
		t.Error("a start does not end the stall")
	}
}
