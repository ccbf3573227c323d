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

// storeUnavailable is the error for a client while the content-addressable store can't be
// reached.
func storeUnavailable(err error) error {
	if code := status.Code(err); code == codes.Canceled || code == codes.DeadlineExceeded {
		return err
	}
	return unavailable("the store of blobs: "+err.Error(), 2*time.Second)
}

// unavailable is an error that says when to retry.
func unavailable(reason string, delay time.Duration) error {
	st := status.New(codes.Unavailable, reason)
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(delay)}); err == nil {
		st = with
	}
	return st.Err()
}

// admissionStatus converts an error of admission to the API's code for it.
func admissionStatus(err error) error {
	var unrunnable *admission.UnrunnableError
	switch {
	case errors.As(err, &unrunnable), errors.Is(err, admission.ErrTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, admission.ErrUnknownJob):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, admission.ErrFull):
		return cas.Busy(err.Error(), 2*time.Second)
	case errors.Is(err, admission.ErrCompactionBehind):
		return cas.Busy(err.Error(), 5*time.Second)
	}
	return unavailable(err.Error(), time.Second)
}
