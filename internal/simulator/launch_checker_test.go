package simulator

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestLaunchesAfterCancellation checks that a start whose launch was sent before the user was told of
// the cancellation is counted, that a launch first sent afterwards is counted too, and that the latter is
// a violation if no fault is active.
func TestLaunchesAfterCancellation(t *testing.T) {
	task := wire.TaskID{Job: "wk-1", Index: 3}
	toldAt := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		sent, resent, faultFree    time.Duration // after the user was told; faultFree < 0: always a fault
		launches, starts, violated int           // expected counts
	}{
		"sent before, started after":               {-time.Second, time.Second, 0, 0, 1, 0},
		"sent after, during a fault":               {time.Second, 0, -1, 1, 1, 0},
		"sent after, without faults":               {5 * time.Second, 0, 0, 1, 1, 1},
		"sent after, faults ended a moment ago":    {5 * time.Second, 0, 4 * time.Second, 1, 1, 0},
		"sent after, within the propagation delay": {time.Second, 0, 0, 1, 1, 0},
	} {
		checker := LaunchChecker{}
		if test.faultFree >= 0 {
			checker.SetFaultFreeSince(toldAt.Add(test.faultFree))
		}
		sendLaunch := func(after time.Duration) {
			checker.InspectMessage(toldAt.Add(after), "c-0", append([]byte("POST /do HTTP/1.1\r\n\r\n"), wire.Encode(wire.CommandRequest{FencingToken: 1, Commands: []wire.Command{{Verb: wire.Launch, Task: task.String(), Attempt: 2}}})...))
		}
		if test.sent < 0 {
			sendLaunch(test.sent)
		}
		checker.Cancelled(toldAt, task.Job)
		sendLaunch(max(test.sent, test.resent))
		checker.TaskStarted(toldAt.Add(10*time.Second), task)
		checker.TaskStarted(toldAt.Add(10*time.Second), wire.TaskID{Job: "wk-2"})
		starts, launches := checker.AfterCancellation()
		if len(launches) != test.launches || len(starts) != test.starts || len(checker.Violations()) != test.violated {
			t.Errorf("%s: launches %v, starts %v, %v", name, launches, starts, checker.Violations())
		}
	}
}
