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
	enter := func() (func(), error) {
		select {
		case open <- struct{}{}:
			return func() { <-open }, nil
		default:
			return nil, Busy("too many open calls", time.Second)
		}
	}
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			leave, err := enter()
			if err != nil {
				return nil, err
			}
			defer leave()
			return h(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			leave, err := enter()
			if err != nil {
				return err
			}
			defer leave()
			return h(srv, ss)
		}),
	}
}

// Busy is the error for a call that must be retried later, because too many are open or the
// store is full.
func Busy(why string, after time.Duration) error {
	st := status.New(codes.ResourceExhausted, why)
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		st = with
	}
	return st.Err()
}
