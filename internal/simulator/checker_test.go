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
	type answer struct {
		stage              wire.Stage
		sentAt, answeredAt int64
	}
	for name, x := range map[string]struct {
		answer   []answer
		violated bool
	}{
		"request in flight when the end was reported":         {[]answer{{wire.Cancelled, 5, 6}, {wire.Running, 4, 9}}, false},
		"request sent after the end was reported":             {[]answer{{wire.Cancelled, 5, 6}, {wire.Running, 7, 9}}, true},
		"request sent after the end, answer observed first":   {[]answer{{wire.Running, 7, 8}, {wire.Cancelled, 5, 6}}, true},
		"overlapping requests, earlier answer observed first": {[]answer{{wire.Running, 4, 9}, {wire.Cancelled, 5, 6}}, false},
		"two different final stages":                          {[]answer{{wire.Cancelled, 5, 9}, {wire.Done, 5, 9}}, true},
	} {
		checker := NewChecker(time.Minute, nil)
		checker.Submitted(&wire.Job{ID: "wk-1", Shape: wire.Array}, time.Second)
		observe := func(x answer) {
			checker.ObserveAnswerAt("wk-1", 200, x.stage, true, time.Unix(0, x.sentAt), time.Unix(0, x.answeredAt))
		}
		observe(answer{wire.Pending, 1, 2})
		for _, a := range x.answer {
			observe(a)
		}
		if got := strings.Join(checker.Violations(), "; "); strings.Contains(got, "went_back") != x.violated {
			t.Errorf("%s: %q", name, got)
		}
	}
}
