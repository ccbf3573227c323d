package ingest

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestReportingMachines checks that a machine counts while its last heartbeat is within the window and it
// has not been sent to another controller, that redirected heartbeats count in the following second only,
// and that overdue machines are observed for overdueObservationAge.
func TestReportingMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var machines reportingMachines
		window := 10 * time.Second
		expect := func(what string, reporting, redirected int) {
			t.Helper()
			if gotReporting, gotRedirected := machines.counts(window); gotReporting != reporting || gotRedirected != redirected {
				t.Errorf("%s: %d reporting and %d redirected, want %d and %d", what, gotReporting, gotRedirected, reporting, redirected)
			}
		}
		expect("at first", 0, 0)
		for _, machine := range []string{"n-1", "n-2", "n-3", "n-1"} {
			machines.record(time.Now(), machine, "a")
		}
		machines.recordRedirect()
		expect("at once", 3, 0)
		machines.forget("n-3")
		machines.forget("n-9")
		expect("without one", 2, 0)
		time.Sleep(time.Second)
		expect("a second later", 2, 1)
		time.Sleep(time.Second)
		expect("two seconds later", 2, 0)
		machines.record(time.Now(), "n-1", "b")
		time.Sleep(9 * time.Second)
		expect("once one is out of the window", 1, 0)
		observations := machines.observations(time.Now(), window)
		if a, b := observations["a"], observations["b"]; a.Heard != 0 || a.Quiet != 1 || b.Heard != 1 || b.Quiet != 0 {
			t.Errorf("observed %+v", observations)
		}
		time.Sleep(15 * time.Second)
		if observations := machines.observations(time.Now(), window); len(observations) != 1 || observations["b"].Quiet != 1 {
			t.Errorf("later observed %+v", observations)
		}
	})
}
