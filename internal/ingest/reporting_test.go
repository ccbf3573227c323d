package ingest

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestReportingMachines: machines count while their last heartbeat is within the window, not once they were
// sent elsewhere; redirected heartbeats count for the second after theirs; overdue machines are
// observed for a while.
func TestReportingMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r reportingMachines
		window := 10 * time.Second
		expect := func(what string, reporting, redirected int) {
			t.Helper()
			if n, m := r.counts(window); n != reporting || m != redirected {
				t.Errorf("%s: %d report and %d are redirected, not %d and %d", what, n, m, reporting, redirected)
			}
		}
		expect("at first", 0, 0)
		for _, machine := range []string{"n-1", "n-2", "n-3", "n-1"} {
			r.record(time.Now(), machine, "a")
		}
		r.recordRedirect()
		expect("at once", 3, 0)
		r.forget("n-3")
		r.forget("n-9")
		expect("without one", 2, 0)
		time.Sleep(time.Second)
		expect("a second later", 2, 1)
		time.Sleep(time.Second)
		expect("two seconds later", 2, 0)
		r.record(time.Now(), "n-1", "b")
		time.Sleep(9 * time.Second)
		expect("once one is out of the window", 1, 0)
		seen := r.observations(time.Now(), window)
		if a, b := seen["a"], seen["b"]; a.Heard != 0 || a.Quiet != 1 || b.Heard != 1 || b.Quiet != 0 {
			t.Errorf("observed %+v", seen)
		}
		time.Sleep(15 * time.Second)
		if seen := r.observations(time.Now(), window); len(seen) != 1 || seen["b"].Quiet != 1 {
			t.Errorf("later observed %+v", seen)
		}
	})
}
