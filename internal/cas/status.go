package cas

import (
	"context"
	"errors"
	"time"

	spb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// asStatus converts an error to the API's code for it.
func asStatus(err error) error {
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
		return Busy(err.Error(), 10*time.Second)
	case errors.Is(err, ErrBusy):
		code = codes.Unavailable
	case errors.Is(err, context.Canceled):
		code = codes.Canceled
	case errors.Is(err, context.DeadlineExceeded):
		code = codes.DeadlineExceeded
	}
	return status.Error(code, err.Error())
}

// statusOf converts an error to a status in the response to a batch.
func statusOf(err error) *spb.Status {
	if err == nil {
		return &spb.Status{}
	}
	return status.Convert(asStatus(err)).Proto()
}
