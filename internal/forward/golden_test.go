package forward

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenMessages checks that other versions can read every field of the messages that this version
// sends, and that this version can read every field of theirs. See frozen_test.go.
func TestGoldenMessages(t *testing.T) {
	goldentest.CheckGob[request, frozenRequest](t, "request.gob")
	goldentest.CheckGob[answer, frozenAnswer](t, "answer.gob")
}

// TestGoldenCodes checks that the numbers that encode verbs and failures never change.
func TestGoldenCodes(t *testing.T) {
	verbs := []Verb{Submit, Cancel}
	for i, verb := range verbs {
		if int(verb) != i+1 {
			t.Errorf("verb %d is sent as %d", i+1, verb)
		}
	}
	codes := []failure{noFailure, failedRetryLater, failedCompactionBehind, failedHistoryUnavailable, failedUnknownJob, failedFull, failedTooLarge, failedUnrunnable, failedNotUnderstood}
	for i, code := range codes {
		if int(code) != i {
			t.Errorf("failure %d is sent as %d", i, code)
		}
	}
}

// TestGoldenStreamKind checks that the name of the stream kind never changes.
func TestGoldenStreamKind(t *testing.T) {
	goldentest.CompareText(t, "kind.txt", StreamKind+"\n")
}
