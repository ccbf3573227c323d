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

// Client has actions executed, by whichever of some controllers answers.
type Client struct {
	Instance string
	conns    []*grpc.ClientConn
	next     int
}

// Dial gives a client of some controllers; nothing is sent before the first call.
func Dial(addrs []string, instance string) (*Client, error) {
	c := &Client{Instance: instance}
	for _, addr := range addrs {
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, errors.Join(err, c.Close())
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close ends the connections.
func (c *Client) Close() error {
	var errs []error
	for _, conn := range c.conns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

// StartingAt gives the client that asks another controller first.
func (c *Client) StartingAt(n int) *Client {
	other := *c
	other.next = n
	return &other
}

// Execute has an action executed and waits for its answer. When a stream breaks off
// it goes on at the next controller. tell, if it is not nil, is told how the
// execution stands.
func (c *Client) Execute(ctx context.Context, action cas.Digest, skipCache bool, tell func(*repb.ExecuteOperationMetadata)) (*repb.ExecuteResponse, error) {
	operation := ""
	for ; ; c.next++ {
		api := repb.NewExecutionClient(c.conns[c.next%len(c.conns)])
		var in grpc.ServerStreamingClient[longrunningpb.Operation]
		var err error
		if operation != "" {
			in, err = api.WaitExecution(ctx, &repb.WaitExecutionRequest{Name: operation})
		} else {
			in, err = api.Execute(ctx, &repb.ExecuteRequest{InstanceName: c.Instance, ActionDigest: action.Proto(), DigestFunction: action.Function, SkipCacheLookup: skipCache})
		}
		for err == nil {
			var op *longrunningpb.Operation
			if op, err = in.Recv(); err != nil {
				break
			}
			operation = op.Name
			var meta repb.ExecuteOperationMetadata
			if tell != nil && op.Metadata.UnmarshalTo(&meta) == nil {
				tell(&meta)
			}
			if !op.Done {
				continue
			}
			var resp repb.ExecuteResponse
			if err := op.GetResponse().UnmarshalTo(&resp); err != nil {
				return nil, fmt.Errorf("the answer to %s is not understood: %w", op.Name, err)
			}
			return &resp, nil
		}
		switch code := status.Code(err); {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case code == codes.NotFound && operation != "":
			operation = "" // the controllers do not know it any more: execute anew
		case errors.Is(err, io.EOF), code == codes.Unavailable, code == codes.ResourceExhausted, code == codes.Canceled, code == codes.Internal, code == codes.Unknown:
			if code == codes.Unavailable && operation != "" && answerEvicted(err) {
				operation = ""
			}
		default:
			return nil, err
		}
		store.Backoff(ctx, 500*time.Millisecond)
	}
}

// answerEvicted reports whether an execution is over and its answer was evicted.
func answerEvicted(err error) bool { return status.Convert(err).Message() == evictedMessage }
