// Package forward forwards users' submissions and cancellations to the controller that writes the job,
// and returns its answers. A controller opens one stream to each writer that it needs.
//
// Users may send a request to any controller. A writer handles a forwarded request like one from a
// user of its own: it answers only after the write is known to be committed and a read that was
// started after the request has returned. If an answer is lost, the outcome is unknown: the job may
// have been accepted already, or may still be accepted. The controller that forwarded the request
// then serves the user itself, which starts with a read.
package forward

import (
	"errors"
	"fmt"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// StreamKind is the kind of a stream of forwarded requests, as package peer distinguishes them.
const StreamKind = "writes"

// Verb is the operation that a request asks for.
type Verb int

// The verbs.
const (
	Submit Verb = iota + 1
	Cancel
)

// request is a forwarded operation on a job. gob matches its fields, and those of answer, by their Go
// names, which must never change: other versions would lose the values. The job is encoded as in
// users' requests, because gob omits zero values even behind a pointer.
type request struct {
	Number uint64
	Verb   Verb
	ID     string
	Job    []byte
}

// answer is the result of a request.
type answer struct {
	Number  uint64
	Record  []byte // the job's record, encoded as in the state service
	Created bool
	Failure failure
	Why     string
}

// failure encodes an error of package admission. The numbers must never change.
type failure int

const (
	noFailure failure = iota
	failedRetryLater
	failedCompactionBehind
	failedHistoryUnavailable
	failedUnknownJob
	failedFull
	failedTooLarge
	failedUnrunnable
	failedNotUnderstood // the writer does not understand the request; the sender handles it itself
)

// failures lists the errors that have a code of their own. An error that wraps another comes before it.
var failures = []struct {
	code failure
	err  error
}{
	{failedCompactionBehind, admission.ErrCompactionBehind},
	{failedHistoryUnavailable, admission.ErrHistoryUnavailable},
	{failedUnknownJob, admission.ErrUnknownJob},
	{failedFull, admission.ErrQueueFull},
	{failedTooLarge, admission.ErrJobTooLarge},
}

// newAnswer encodes the result of a request.
func newAnswer(number uint64, rec store.JobRecord, created bool, err error) answer {
	if err == nil {
		return answer{Number: number, Record: wire.Encode(rec), Created: created}
	}
	out := answer{Number: number, Failure: failedRetryLater, Why: err.Error()}
	var unrunnable *admission.UnrunnableError
	if errors.As(err, &unrunnable) {
		out.Failure, out.Why = failedUnrunnable, unrunnable.Reason
		return out
	}
	for _, f := range failures {
		if errors.Is(err, f.err) {
			out.Failure = f.code
			return out
		}
	}
	return out
}

// outcome decodes the result of a request.
func (a *answer) outcome() (rec store.JobRecord, created bool, err error) {
	switch a.Failure {
	case noFailure:
		if err := wire.DecodeValue(a.Record, &rec); err != nil {
			return rec, false, fmt.Errorf("%w: decode a peer's answer: %w", admission.ErrRetryLater, err)
		}
		return rec, a.Created, nil
	case failedUnrunnable:
		return rec, false, &admission.UnrunnableError{Reason: a.Why}
	}
	for _, f := range failures {
		if a.Failure == f.code {
			return rec, false, f.err
		}
	}
	return rec, false, fmt.Errorf("%w: %s", admission.ErrRetryLater, a.Why)
}
