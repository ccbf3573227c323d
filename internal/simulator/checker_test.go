package simulator

import (
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestOverlappingAnswers checks that answers to overlapping requests may contradict each other in
// whatever order they arrive, and that a request sent after a final stage was reported must be
// answered with that stage.
func TestOverlappingAnswers(t *testing.T) {
	type told struct {
		stage      wire.Stage
		sent, back int64
	}
	for name, x := range map[string]struct {
		told   []told
		broken bool
	}{
		"in flight over the end":             {[]told{{wire.Cancelled, 5, 6}, {wire.Running, 4, 9}}, false},
		"asked after it":                     {[]told{{wire.Cancelled, 5, 6}, {wire.Running, 7, 9}}, true},
		"asked after it, told before it":     {[]told{{wire.Running, 7, 8}, {wire.Cancelled, 5, 6}}, true},
		"asked before, told before, overlap": {[]told{{wire.Running, 4, 9}, {wire.Cancelled, 5, 6}}, false},
		"two ends":                           {[]told{{wire.Cancelled, 5, 9}, {wire.Done, 5, 9}}, true},
	} {
		c := NewChecker(time.Minute, nil)
		c.Submitted(&wire.Job{ID: "wk-1", Shape: wire.Array}, time.Second)
		tell := func(x told) {
			c.ObserveAnswerAt("wk-1", 200, x.stage, true, time.Unix(0, x.sent), time.Unix(0, x.back))
		}
		tell(told{wire.Pending, 1, 2})
		for _, a := range x.told {
			tell(a)
		}
		if got := strings.Join(c.Violations(), "; "); strings.Contains(got, "went_back") != x.broken {
			t.Errorf("%s: %q", name, got)
		}
	}
}
