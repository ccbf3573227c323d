package action

import (
	"bytes"
	"errors"
	"testing"

	"google.golang.org/grpc/codes"

	"amberdeal.example/amberdeal/internal/cas"
)

// TestEvictedInputs: a blob that was evicted after it had been found in the store is a fault of the
// action, which its client mends by uploading the blob again. What happened before with a large blob:
// the store's answer was wrapped beside the closing of the file, where it was not looked for, so that
// the action failed as a fault of the machine and was tried again elsewhere.
func TestEvictedInputs(t *testing.T) {
	b := newTestRunner(t)
	large := cas.Sum(sha, bytes.Repeat([]byte("large"), cas.MaxBatchedBlob))
	small := cas.Sum(sha, []byte("small"))
	in := &inputs{files: map[cas.Digest][]node{large: {{path: "large"}}, small: {{path: "small"}}}}
	for name, err := range map[string]error{
		"large": in.fetchLarge(t.Context(), b.Store, t.TempDir(), large),
		"small": b.Store.ReadMany(t.Context(), []cas.Digest{small}, func(cas.Digest, []byte) error { return nil }),
	} {
		var fault *actionError
		if !errors.As(notFoundAsFailedPrecondition(err), &fault) || fault.code != codes.FailedPrecondition {
			t.Errorf("%s: %v is no failed precondition of the action", name, err)
		}
	}
}
