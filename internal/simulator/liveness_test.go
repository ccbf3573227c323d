package simulator

import (
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestLiveness checks polls without an answer for a while, with and without active faults.
func TestLiveness(t *testing.T) {
	for name, c := range map[string]struct {
		over         time.Duration // since when all troubles are; below 0: never
		vain, others time.Duration // for how long the job's questions, and those of others, are in vain
		want         string
	}{
		"in trouble, others are answered":            {-1, 100 * time.Second, 0, "no question about wk-1 is answered for 1m30s"},
		"in trouble, not for long enough":            {-1, 85 * time.Second, 0, ""},
		"in trouble, others fare no better":          {-1, 200 * time.Second, 200 * time.Second, ""},
		"in trouble, most others are answered again": {-1, 200 * time.Second, 100 * time.Second, "no question about wk-1 is answered for 2m3"},
		"in quiet":                                      {0, 76 * time.Second, 0, "no question about wk-1 is answered for 1m15s, and all troubles are over"},
		"in quiet, others fare no better":               {0, 76 * time.Second, 85 * time.Second, "and all troubles are over"},
		"in quiet, not for long enough":                 {0, 74 * time.Second, 0, ""},
		"troubles last for a while, quiet is too short": {70 * time.Second, 140 * time.Second, 140 * time.Second, ""},
	} {
		var f LivenessChecker
		begun := time.Unix(1000, 0)
		if c.over >= 0 {
			f.SetQuietSince(begun.Add(c.over))
		}
		f.Accepted(begun, "wk-1")
		f.Accepted(begun, "wk-2")
		f.Accepted(begun, "wk-3")
		ask := func(job string, at, vain time.Duration) {
			status := 200
			if at > 0 && at <= vain {
				status = 503
			}
			f.ObservePoll(begun.Add(at), job, status, wire.Running)
		}
		for at := time.Duration(0); at < 4*time.Minute; at += 5 * time.Second {
			ask("wk-1", at, c.vain)
			ask("wk-2", at, c.others)
			ask("wk-3", at, c.others)
		}
		got := strings.Join(f.Violations(), "\n")
		if c.want == "" && got != "" || !strings.Contains(got, c.want) {
			t.Errorf("%s: %q", name, got)
		}
	}
}
