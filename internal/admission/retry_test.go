package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"amberdeal.example/amberdeal/internal/store"
)

// TestCommitUntilAnswered checks that a write is sent again only while its outcome is unknown and a caller waits.
func TestCommitUntilAnswered(t *testing.T) {
	other := errors.New("another error")
	for name, x := range map[string]struct {
		answers []error
		waiters int // number of sends after which no caller waits any more
		sent    int
		want    error
	}{
		"answered":                {[]error{nil}, 9, 1, nil},
		"answered in the end":     {[]error{store.ErrUnknownOutcome, store.ErrUnknownOutcome, nil}, 9, 3, nil},
		"refused":                 {[]error{other}, 9, 1, other},
		"refused in the end":      {[]error{store.ErrUnknownOutcome, other}, 9, 2, other},
		"all users have gone":     {[]error{store.ErrUnknownOutcome, store.ErrUnknownOutcome, nil}, 2, 2, store.ErrUnknownOutcome},
		"they were gone at first": {[]error{store.ErrUnknownOutcome, nil}, 0, 1, store.ErrUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sent := 0
				send := func(context.Context) (uint64, error) {
					sent++
					return uint64(sent), x.answers[sent-1]
				}
				revision, err := commitUntilAnswered(t.Context(), send, func() bool { return sent < x.waiters })
				if sent != x.sent || revision != uint64(x.sent) || !errors.Is(err, x.want) {
					t.Errorf("sent %d times, revision %d, %v", sent, revision, err)
				}
			})
		})
	}
}
