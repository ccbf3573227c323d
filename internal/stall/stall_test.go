package stall

import (
	"testing"
	"time"
)

// TestDetector checks that a stall stalled reported after 30 s in which something could be launched and nothing stalled, with its
// latest cause, that it stalled logged every 30 s, and that a launch ends it.
func TestDetector(t *testing.T) {
	start := time.Unix(1e9, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	d := NewDetector(start)
	if d.CheckDue(at(14)) || !d.CheckDue(at(15)) {
		t.Error("the check whether anything could be launched is not due after exactly 15 s")
	}
	d.Blocked(at(20), CausePlan, "wk-1")
	d.Blocked(at(49), CauseLedger, "wk-2")
	if _, stalled := d.Current(at(49)); stalled {
		t.Error("a stall is reported after 29 s")
	}
	d.Blocked(at(50), CauseLedger, "wk-2")
	if got, stalled := d.Current(at(50)); !stalled || got != (Stall{at(20), CauseLedger, "wk-2"}) {
		t.Errorf("after 30 s: stall %+v, reported %v", got, stalled)
	}
	if _, due := d.ToLog(at(50)); !due {
		t.Error("not logged after 30 s")
	}
	if _, due := d.ToLog(at(79)); due {
		t.Error("logged again after 29 s")
	}
	if _, due := d.ToLog(at(80)); !due {
		t.Error("not logged again after 30 s")
	}
	d.Idle(at(100)) // its machines were released, and others are being requested
	if _, stalled := d.Current(at(100)); !stalled {
		t.Error("a short time without capacity ends the stall")
	}
	d.Idle(at(171))
	if _, stalled := d.Current(at(171)); stalled {
		t.Error("two minutes without capacity do not end the stall")
	}
	d.Blocked(at(200), CausePlan, "wk-3")
	d.Blocked(at(240), CausePlan, "wk-3")
	d.Launched(at(241))
	if _, stalled := d.Current(at(241)); stalled || d.CheckDue(at(255)) {
		t.Error("a launch does not end the stall")
	}
}
