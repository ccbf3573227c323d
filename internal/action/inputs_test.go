package action

import (
	"bytes"
	"errors"
	"testing"

	"google.golang.org/grpc/codes"

	"amberdeal.example/amberdeal/internal/cas"
)

// TestEvictedInputs checks that a blob which is evicted after the check for missing blobs causes an error of the
// action, so that the client uploads the blob again. An earlier version did not recognize the status of the store
// for a large blob, because errors.Join had wrapped it together with the error of closing the file. The action
// then failed as an error of the machine and was retried on another one.
func TestEvictedInputs(t *testing.T) {
	b := newTestRunner(t)
	large := cas.Sum(sha, bytes.Repeat([]byte("large"), cas.MaxBatchedBlob))
	small := cas.Sum(sha, []byte("small"))
	in := &inputTree{files: map[cas.Digest][]inputNode{large: {{path: "large"}}, small: {{path: "small"}}}}
	for name, err := range map[string]error{
		"large": in.fetchLarge(t.Context(), b.Store, t.TempDir(), large),
		"small": b.Store.ReadMany(t.Context(), []cas.Digest{small}, func(cas.Digest, []byte) error { return nil }),
	} {
		var fault *actionError
		if !errors.As(notFoundAsFailedPrecondition(err), &fault) || fault.code != codes.FailedPrecondition {
			t.Errorf("%s: %v is not a FailedPrecondition error of the action", name, err)
		}
	}
}
