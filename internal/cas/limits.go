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

// Limits bounds what a server takes at once.
type Limits struct {
	Calls int   // open calls and streams; more are refused at once
	Batch int64 // bytes of a BatchRead or BatchUpdate
}

// DefaultLimits is used unless settings say otherwise.
var DefaultLimits = Limits{Calls: 1000, Batch: 4 << 20}

// LimitCalls refuses calls beyond a number of open ones, at once and with a time to retry
// after. No call is queued.
func LimitCalls(calls int) []grpc.ServerOption {
	open := make(chan struct{}, calls)
	acquire := func() (func(), error) {
		select {
		case open <- struct{}{}:
			return func() { <-open }, nil
		default:
			return nil, Busy("too many open calls", time.Second)
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

// Busy is the error for a call that must be retried later, because too many are open or the
// store is full.
func Busy(reason string, delay time.Duration) error {
	st := status.New(codes.ResourceExhausted, reason)
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(delay)}); err == nil {
		st = with
	}
	return st.Err()
}
