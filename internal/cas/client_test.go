package cas

import (
	"context"
	"strings"
	"testing"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
)

// fakeBlobs answers each batch with the same responses.
type fakeBlobs struct {
	repb.ContentAddressableStorageClient
	responses []*repb.BatchReadBlobsResponse_Response
}

// BatchReadBlobs implements repb.ContentAddressableStorageClient.
func (f *fakeBlobs) BatchReadBlobs(context.Context, *repb.BatchReadBlobsRequest, ...grpc.CallOption) (*repb.BatchReadBlobsResponse, error) {
	return &repb.BatchReadBlobsResponse{Responses: f.responses}, nil
}

// TestTooManyResponses: a server that answers with more blobs than a batch asked for is an error.
func TestTooManyResponses(t *testing.T) {
	text := []byte("content")
	one := &repb.BatchReadBlobsResponse_Response{Data: text}
	c := &Client{blobs: &fakeBlobs{responses: []*repb.BatchReadBlobsResponse_Response{one, one}}}
	err := c.ReadMany(t.Context(), []Digest{Sum(sha, text)}, func(Digest, []byte) error { return nil })
	if err == nil || !strings.Contains(err.Error(), "the server answers with 2") {
		t.Errorf("%v", err)
	}
}

// TestTooFewResponses: a server that leaves out some of the blobs that a batch asked for is an error. What
// happened before: the blobs that were not answered were never passed on and never missed, so that a
// caller went on without some of its files.
func TestTooFewResponses(t *testing.T) {
	text, other := []byte("content"), []byte("other content")
	one := &repb.BatchReadBlobsResponse_Response{Data: text}
	c := &Client{blobs: &fakeBlobs{responses: []*repb.BatchReadBlobsResponse_Response{one}}}
	err := c.ReadMany(t.Context(), []Digest{Sum(sha, text), Sum(sha, other)}, func(Digest, []byte) error { return nil })
	if err == nil || !strings.Contains(err.Error(), "reading 2 blobs: the server answers with 1") {
		t.Errorf("%v", err)
	}
}
