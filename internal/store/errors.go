package store

import (
	"errors"
	"fmt"
)

// What can become of a call that did not succeed.
var (
	// ErrRefused means that the call was not executed and never will be.
	ErrRefused = errors.New("state service refused the call")
	// ErrUnknownOutcome means that there was no usable response: the call may have been
	// executed, or may still be.
	ErrUnknownOutcome = errors.New("state service gave no answer")
	// ErrLeaseNotFound means that the lease has expired or was revoked. Its text is also
	// what the state service says.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that a watch begins before the oldest revision that the service
	// keeps, or would be too large to read: the keys have to be listed again.
	ErrCompacted = errors.New("revision too old")
)

// errMalformed marks a refusal that is a fault of this program: it is logged.
var errMalformed = errors.New("malformed transaction")

// ConflictError names the keys whose versions were not those that a transaction demanded.
type ConflictError struct{ Failed []string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("conflict on %q", e.Failed) }
