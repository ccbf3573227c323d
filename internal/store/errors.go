package store

import (
	"errors"
	"fmt"
)

// Outcomes of a failed call.
var (
	// ErrRefused means that the call was not executed and never will be.
	ErrRefused = errors.New("state service refused the call")
	// ErrUnknownOutcome means that there was no usable response: the call may have been
	// executed, or may still be executed later.
	ErrUnknownOutcome = errors.New("state service gave no answer")
	// ErrLeaseNotFound means that the lease has expired or was revoked. The text is the
	// same as in the state service's responses, by which txnOutcome recognizes the error.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that the requested changes start before the oldest revision that
	// the service keeps, or are too large for one response: the keys have to be listed again.
	ErrCompacted = errors.New("revision too old")
)

// ErrMalformedTxn marks a refusal caused by a bug in this program; such refusals are logged. The same transaction is
// refused again however often it is sent.
var ErrMalformedTxn = errors.New("malformed transaction")

// ConflictError reports a transaction that was not committed because the versions of the keys
// in Failed did not meet its conditions.
type ConflictError struct{ Keys []string }

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("conflict on %q", e.Keys) }
