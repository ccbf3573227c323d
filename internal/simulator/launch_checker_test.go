package simulator

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestLaunchesAfterCancellation checks that a start whose command was sent before the answer is
// counted, that a launch first sent after it is counted too, and that the latter is a violation
// once no fault is active.
func TestLaunchesAfterCancellation(t *testing.T) {
	task := wire.TaskID{Job: "wk-1", Index: 3}
	told := time.Unix(1000, 0)
	for name, x := range map[string]struct {
		sent, again, over   time.Duration // from the answer on; over below 0: never
		late, starts, fault int
	}{
		"sent before, started after":         {-time.Second, time.Second, 0, 0, 1, 0},
		"sent after, in trouble":             {time.Second, 0, -1, 1, 1, 0},
		"sent after, in quiet":               {5 * time.Second, 0, 0, 1, 1, 1},
		"sent after, quiet since a moment":   {5 * time.Second, 0, 4 * time.Second, 1, 1, 0},
		"sent after, while nobody need know": {time.Second, 0, 0, 1, 1, 0},
	} {
		l := LaunchChecker{}
		if x.over >= 0 {
			l.SetQuietSince(told.Add(x.over))
		}
		sends := func(at time.Duration) {
			l.InspectMessage(told.Add(at), "c-0", append([]byte("POST /do HTTP/1.1\r\n\r\n"), wire.Encode(wire.CommandRequest{FencingToken: 1, Commands: []wire.Command{{Verb: wire.Launch, Task: task.String(), Attempt: 2}}})...))
		}
		if x.sent < 0 {
			sends(x.sent)
		}
		l.Cancelled(told, task.Job)
		sends(max(x.sent, x.again))
		l.TaskStarted(told.Add(10*time.Second), task)
		l.TaskStarted(told.Add(10*time.Second), wire.TaskID{Job: "wk-2"})
		starts, late := l.AfterCancellation()
		if len(late) != x.late || len(starts) != x.starts || len(l.Violations()) != x.fault {
			t.Errorf("%s: launches %v, starts %v, %v", name, late, starts, l.Violations())
		}
	}
}
