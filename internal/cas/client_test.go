package cas

import (
	"context"
	"strings"
	"testing"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
)

// fakeBlobs returns the same responses to every batch.
type fakeBlobs struct {
	repb.ContentAddressableStorageClient
	responses []*repb.BatchReadBlobsResponse_Response
}

// BatchReadBlobs implements repb.ContentAddressableStorageClient.
func (f *fakeBlobs) BatchReadBlobs(context.Context, *repb.BatchReadBlobsRequest, ...grpc.CallOption) (*repb.BatchReadBlobsResponse, error) {
	return &repb.BatchReadBlobsResponse{Responses: f.responses}, nil
}

// TestTooManyResponses checks that ReadMany fails when a server returns more blobs than were requested.
func TestTooManyResponses(t *testing.T) {
	text := []byte("content")
	one := &repb.BatchReadBlobsResponse_Response{Data: text}
	c := &Client{blobs: &fakeBlobs{responses: []*repb.BatchReadBlobsResponse_Response{one, one}}}
	err := c.ReadMany(t.Context(), []Digest{Sum(sha, text)}, func(Digest, []byte) error { return nil })
	if err == nil || !strings.Contains(err.Error(), "the server answers with 2") {
		t.Errorf("%v", err)
	}
}

// TestTooFewResponses checks that ReadMany fails when a server leaves out some of the requested blobs. An earlier
// version did not notice the missing blobs, so that a caller continued without some of its files.
func TestTooFewResponses(t *testing.T) {
	text, other := []byte("content"), []byte("other content")
	one := &repb.BatchReadBlobsResponse_Response{Data: text}
	c := &Client{blobs: &fakeBlobs{responses: []*repb.BatchReadBlobsResponse_Response{one}}}
	err := c.ReadMany(t.Context(), []Digest{Sum(sha, text), Sum(sha, other)}, func(Digest, []byte) error { return nil })
	if err == nil || !strings.Contains(err.Error(), "reading 2 blobs: the server answers with 1") {
		t.Errorf("%v", err)
	}
}
