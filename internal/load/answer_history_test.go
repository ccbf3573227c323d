package load

import (
	"strings"
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// TestAnswerHistory checks that overlapping operations may take effect in any order, and that a violation is reported
// if a job is live again after its end, is forgotten, or has two different final stages.
func TestAnswerHistory(t *testing.T) {
	type op struct {
		kind           opKind
		status         int
		stage          wire.Stage
		sent, answered int64
	}
	for name, x := range map[string]struct {
		ops    []op
		broken bool
	}{
		"as it should be":               {[]op{{opSubmit, 201, wire.Pending, 0, 1}, {opStatus, 200, wire.Running, 2, 3}, {opStatus, 200, wire.Done, 4, 5}, {opSubmit, 200, wire.Done, 6, 7}}, false},
		"answers that overlap":          {[]op{{opSubmit, 201, wire.Pending, 0, 1}, {opStatus, 200, wire.Done, 2, 9}, {opStatus, 200, wire.Running, 3, 8}}, false},
		"over, then live":               {[]op{{opSubmit, 201, wire.Pending, 0, 1}, {opStatus, 200, wire.Done, 2, 3}, {opStatus, 200, wire.Running, 4, 5}}, true},
		"forgotten":                     {[]op{{opSubmit, 201, wire.Pending, 0, 1}, {opStatus, 404, "", 2, 3}}, true},
		"not known yet":                 {[]op{{opStatus, 404, "", 0, 1}, {opSubmit, 201, wire.Pending, 2, 3}}, false},
		"cancelled, then done":          {[]op{{opSubmit, 201, wire.Pending, 0, 1}, {opCancel, 200, wire.Cancelled, 2, 3}, {opStatus, 200, wire.Done, 4, 5}}, true},
		"cancelled by nobody":           {[]op{{opSubmit, 201, wire.Pending, 0, 1}, {opStatus, 200, wire.Cancelled, 2, 3}}, true},
		"a cancellation without answer": {[]op{{opSubmit, 201, wire.Pending, 0, 1}, {opCancel, 0, "", 2, 3}, {opStatus, 200, wire.Cancelled, 4, 5}}, false},
		"accepted without an answer":    {[]op{{opSubmit, 0, "", 0, 1}, {opStatus, 200, wire.Running, 2, 3}}, false},
		"invented":                      {[]op{{opStatus, 200, wire.Running, 0, 1}}, true},
	} {
		var h answerHistory
		h.start()
		for _, o := range x.ops {
			h.add("wk-1", o.kind, o.status, o.stage, o.sent, o.answered)
		}
		if got := strings.Join(h.violations(), "; "); (got != "") != x.broken {
			t.Errorf("%s: %q", name, got)
		}
	}
}
