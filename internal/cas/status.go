package cas

import (
	"context"
	"errors"
	"time"

	spb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// toStatusError converts an error to a gRPC status error with the code that the API specifies for it.
func toStatusError(err error) error {
	if err == nil {
		return nil
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	code := codes.Internal
	switch {
	case errors.Is(err, ErrNotFound):
		code = codes.NotFound
	case errors.Is(err, ErrBadDigest), errors.Is(err, ErrWrongContent), errors.Is(err, ErrTooLarge):
		code = codes.InvalidArgument
	case errors.Is(err, ErrFull):
		return ResourceExhausted(err.Error(), 10*time.Second)
	case errors.Is(err, ErrBusy):
		code = codes.Unavailable
	case errors.Is(err, context.Canceled):
		code = codes.Canceled
	case errors.Is(err, context.DeadlineExceeded):
		code = codes.DeadlineExceeded
	}
	return status.Error(code, err.Error())
}

// toStatusProto converts an error to the status of one blob in a batch response.
func toStatusProto(err error) *spb.Status {
	if err == nil {
		return &spb.Status{}
	}
	return status.Convert(toStatusError(err)).Proto()
}
