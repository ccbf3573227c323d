package forward

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenMessages: another version reads every field of what this one sends, and this
// one every field of what another has sent. See frozen_test.go.
func TestGoldenMessages(t *testing.T) {
	goldentest.CheckGob[request, frozenRequest](t, "request.gob")
	goldentest.CheckGob[answer, frozenAnswer](t, "answer.gob")
}

// TestGoldenCodes: the numbers that encode verbs and failures never change.
func TestGoldenCodes(t *testing.T) {
	verbs := []Verb{Submit, Cancel}
	for i, v := range verbs {
		if int(v) != i+1 {
			t.Errorf("verb %d is sent as %d", i+1, v)
		}
	}
	codes := []failure{noFailure, failedRetryLater, failedCompactionBehind, failedHistoryUnavailable, failedUnknownJob, failedFull, failedTooLarge, failedUnrunnable, failedNotUnderstood}
	for i, c := range codes {
		if int(c) != i {
			t.Errorf("failure %d is sent as %d", i, c)
		}
	}
}

// TestGoldenStreamKind: the stream is called what it was.
func TestGoldenStreamKind(t *testing.T) {
	goldentest.Text(t, "kind.txt", StreamKind+"\n")
}
