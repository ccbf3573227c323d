package reapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/store"
)

// Client executes actions through any of several controllers.
type Client struct {
	Instance string
	conns    []*grpc.ClientConn
	next     int
}

// Dial returns a client of several controllers. It connects on the first call.
func Dial(addrs []string, instance string) (*Client, error) {
	c := &Client{Instance: instance}
	for _, addr := range addrs {
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, errors.Join(fmt.Errorf("dial controller %s: %w", addr, err), c.Close())
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close closes the connections to the controllers.
func (c *Client) Close() error {
	var errs []error
	for _, conn := range c.conns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

// StartingAt returns a client that calls the n-th controller first.
func (c *Client) StartingAt(n int) *Client {
	other := *c
	other.next = n
	return &other
}

// retryDelay is the time between the end of a broken stream and the next attempt at another controller.
const retryDelay = 500 * time.Millisecond

// Execute requests the execution of an action and waits for the response. It reopens a broken stream at the next
// controller. If progress is not nil, it is called with each stage of the execution.
func (c *Client) Execute(ctx context.Context, action cas.Digest, skipCache bool, progress func(*repb.ExecuteOperationMetadata)) (*repb.ExecuteResponse, error) {
	request := &repb.ExecuteRequest{InstanceName: c.Instance, ActionDigest: action.Proto(), DigestFunction: action.Function, SkipCacheLookup: skipCache}
	operation := "" // name of the operation, once it is known
	for ; ; c.next++ {
		stream, err := c.open(ctx, request, operation)
		for err == nil {
			var op *longrunningpb.Operation
			if op, err = stream.Recv(); err != nil {
				break
			}
			operation = op.Name
			report(op, progress)
			if op.Done {
				return response(op)
			}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if operation, err = resume(operation, err); err != nil {
			return nil, err
		}
		store.Backoff(ctx, retryDelay)
	}
}

// open opens a stream to the current controller. It waits for the operation if its name is known, or else requests
// the execution of the action.
func (c *Client) open(ctx context.Context, r *repb.ExecuteRequest, operation string) (grpc.ServerStreamingClient[longrunningpb.Operation], error) {
	api := repb.NewExecutionClient(c.conns[c.next%len(c.conns)])
	if operation != "" {
		return api.WaitExecution(ctx, &repb.WaitExecutionRequest{Name: operation})
	}
	return api.Execute(ctx, r)
}

// report passes the stage of an operation to progress.
func report(op *longrunningpb.Operation, progress func(*repb.ExecuteOperationMetadata)) {
	var meta repb.ExecuteOperationMetadata
	if progress != nil && op.Metadata.UnmarshalTo(&meta) == nil {
		progress(&meta)
	}
}

// response returns the response of an operation that is done.
func response(op *longrunningpb.Operation) (*repb.ExecuteResponse, error) {
	var resp repb.ExecuteResponse
	if err := op.GetResponse().UnmarshalTo(&resp); err != nil {
		return nil, fmt.Errorf("the response of operation %s is not understood: %w", op.Name, err)
	}
	return &resp, nil
}

// resume decides how to continue after a stream has ended with an error. The client waits for the returned
// operation, or executes the action again if that is empty. An error means that the client must not retry.
func resume(operation string, err error) (string, error) {
	if errors.Is(err, io.EOF) {
		return operation, nil
	}
	switch code := status.Code(err); {
	case code == codes.NotFound && operation != "":
		return "", nil // the operation is no longer known
	case code == codes.Unavailable && responseEvicted(err):
		return "", nil
	case code == codes.Unavailable, code == codes.ResourceExhausted, code == codes.Canceled, code == codes.Internal, code == codes.Unknown:
		return operation, nil
	}
	return "", err
}

// responseEvicted reports whether the error means that the execution has completed but its response was evicted.
func responseEvicted(err error) bool { return status.Convert(err).Message() == evictedMessage }
