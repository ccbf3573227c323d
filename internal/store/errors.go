package store

import (
	"errors"
	"fmt"
)

// What can become of a call.
var (
	// ErrRefused means that the call was not executed and never will be.
	ErrRefused = errors.New("state service refused the call")
	// ErrUnknownOutcome means that the call may have been executed, or may still be.
	ErrUnknownOutcome = errors.New("state service gave no answer")
	// ErrLeaseNotFound means that the lease has ended.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that a watch begins before what the service remembers.
	ErrCompacted = errors.New("revision too old")
)

// ConflictError names the keys whose versions were not as demanded.
type ConflictError struct{ Failed []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("conflict on %q", e.Failed) }
