// Package forward passes users' submissions and cancellations on to the controller that writes them,
// and the answers back. A controller opens one stream to each writer that it needs.
//
// To users it makes no difference which controller they ask. A writer does for a peer what it does
// for a user of its own, and answers only once the write is known to be committed and a read that
// was begun after the request has come back. An answer that is lost on the way leaves an unknown
// outcome: the job may have been accepted, or may yet be. The controller that forwarded it then
// serves the user itself, which begins with a read.
package forward

import (
	"errors"
	"fmt"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// StreamKind names a stream of forwarded requests among those of package peer.
const StreamKind = "writes"

// Verb is what a user wants.
type Verb int

// The verbs.
const (
	Submit Verb = iota + 1
	Cancel
)

// request is what a user wants of a job. gob matches its fields, and those of answer, by their Go
// names: they never change, or older versions would lose them. The job is encoded as users send it,
// since gob leaves out what is zero also behind a pointer.
type request struct {
	Number uint64
	Verb   Verb
	ID     string
	Job    []byte
}

// answer is what became of a request.
type answer struct {
	Number  uint64
	Record  []byte // of the job, as it is stored
	Created bool
	Failure failure
	Why     string
}

// failure is an error of package admission as it is sent. The numbers never change.
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
	failedNotUnderstood // the writer does not understand the request, so that the sender does it itself
)

// failures are the errors that have a number of their own, those that wrap another first.
var failures = []struct {
	code failure
	err  error
}{
	{failedCompactionBehind, admission.ErrCompactionBehind},
	{failedHistoryUnavailable, admission.ErrHistoryUnavailable},
	{failedUnknownJob, admission.ErrUnknownJob},
	{failedFull, admission.ErrFull},
	{failedTooLarge, admission.ErrTooLarge},
}

// newAnswer returns the answer to a request.
func newAnswer(number uint64, rec store.JobRecord, created bool, err error) answer {
	if err == nil {
		return answer{Number: number, Record: wire.Encode(rec), Created: created}
	}
	out := answer{Number: number, Failure: failedRetryLater, Why: err.Error()}
	var never *admission.UnrunnableError
	if errors.As(err, &never) {
		out.Failure, out.Why = failedUnrunnable, never.Reason
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

// outcome decodes an answer.
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
