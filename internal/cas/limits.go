package cas

import (
	"context"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Limits bounds the load that a server accepts.
type Limits struct {
	Calls int   // open calls and streams; more are rejected immediately
	Batch int64 // total bytes of one BatchReadBlobs or BatchUpdateBlobs call
}

// DefaultLimits holds the limits that apply unless the settings override them.
var DefaultLimits = Limits{Calls: 1000, Batch: 4 << 20}

// LimitCalls returns interceptors that bound the number of open calls. A call beyond the bound is not queued, but
// rejected immediately with a retry delay.
func LimitCalls(calls int) []grpc.ServerOption {
	open := make(chan struct{}, calls)
	acquire := func() (func(), error) {
		select {
		case open <- struct{}{}:
			return func() { <-open }, nil
		default:
			return nil, ResourceExhausted("too many open calls", time.Second)
		}
	}
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			release, err := acquire()
			if err != nil {
				return nil, err
			}
			defer release()
			return h(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			release, err := acquire()
			if err != nil {
				return err
			}
			defer release()
			return h(srv, ss)
		}),
	}
}

// ResourceExhausted returns the error for a call that the client should retry after a delay, for example because too
// many calls are open or the store is full.
func ResourceExhausted(reason string, delay time.Duration) error {
	st := status.New(codes.ResourceExhausted, reason)
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(delay)}); err == nil {
		st = with
	}
	return st.Err()
}
