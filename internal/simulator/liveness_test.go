package simulator

import (
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestLiveness checks when unanswered polls make a job count as forgotten, with and without active
// faults.
func TestLiveness(t *testing.T) {
	for name, test := range map[string]struct {
		faultFree          time.Duration // from when on no fault is active; below 0: never
		unanswered, others time.Duration // how long polls of the job, and of other jobs, stay unanswered
		want               string
	}{
		"fault, others are answered":                              {-1, 100 * time.Second, 0, "no question about wk-1 is answered for 1m30s"},
		"fault, not for long enough":                              {-1, 85 * time.Second, 0, ""},
		"fault, others are not answered either":                   {-1, 200 * time.Second, 200 * time.Second, ""},
		"fault, most others are answered again":                   {-1, 200 * time.Second, 100 * time.Second, "no question about wk-1 is answered for 2m3"},
		"no fault":                                                {0, 76 * time.Second, 0, "no question about wk-1 is answered for 1m15s, and all troubles are over"},
		"no fault, others are not answered either":                {0, 76 * time.Second, 85 * time.Second, "and all troubles are over"},
		"no fault, not for long enough":                           {0, 74 * time.Second, 0, ""},
		"fault for a while, then fault-free for too short a time": {70 * time.Second, 140 * time.Second, 140 * time.Second, ""},
	} {
		var checker LivenessChecker
		begun := time.Unix(1000, 0)
		if test.faultFree >= 0 {
			checker.SetFaultFreeSince(begun.Add(test.faultFree))
		}
		checker.Accepted(begun, "wk-1")
		checker.Accepted(begun, "wk-2")
		checker.Accepted(begun, "wk-3")
		poll := func(job string, at, unanswered time.Duration) {
			status := 200
			if at > 0 && at <= unanswered {
				status = 503
			}
			checker.ObservePoll(begun.Add(at), job, status, wire.Running)
		}
		for at := time.Duration(0); at < 4*time.Minute; at += 5 * time.Second {
			poll("wk-1", at, test.unanswered)
			poll("wk-2", at, test.others)
			poll("wk-3", at, test.others)
		}
		got := strings.Join(checker.Violations(), "\n")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q", name, got)
		}
	}
}
