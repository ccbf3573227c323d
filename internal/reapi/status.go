package reapi

import (
	"errors"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/cas"
)

// storeUnavailable returns the error for a client whose call failed because of an error of the content-addressable
// store.
func storeUnavailable(err error) error {
	if code := status.Code(err); code == codes.Canceled || code == codes.DeadlineExceeded {
		return err
	}
	return unavailable("the store of blobs: "+err.Error(), 2*time.Second)
}

// unavailable returns an error that asks the client to retry after a delay.
func unavailable(reason string, delay time.Duration) error {
	st := status.New(codes.Unavailable, reason)
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(delay)}); err == nil {
		st = with
	}
	return st.Err()
}

// admissionStatus converts an error of package admission to a gRPC status error.
func admissionStatus(err error) error {
	var unrunnable *admission.UnrunnableError
	switch {
	case errors.As(err, &unrunnable), errors.Is(err, admission.ErrJobTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, admission.ErrUnknownJob):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, admission.ErrQueueFull):
		return cas.ResourceExhausted(err.Error(), 2*time.Second)
	case errors.Is(err, admission.ErrCompactionBehind):
		return cas.ResourceExhausted(err.Error(), 5*time.Second)
	}
	return unavailable(err.Error(), time.Second)
}
