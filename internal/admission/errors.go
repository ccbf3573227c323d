package admission

import (
	"errors"
	"fmt"
)

// Errors of a call. Their texts reach users.
var (
	// ErrRetryLater means that the call can't be done now, and is worth repeating.
	ErrRetryLater = errors.New("not now, come back")
	// ErrCompactionBehind is an ErrRetryLater for a longer while: too many ended jobs wait to be compacted.
	ErrCompactionBehind = fmt.Errorf("%w: folding has fallen behind", ErrRetryLater)
	// ErrHistoryUnavailable is an ErrRetryLater that another controller may not give: this one can't
	// read the archive.
	ErrHistoryUnavailable = fmt.Errorf("%w: the history can't be read", ErrRetryLater)
	// ErrUnknownJob means that the job was never submitted.
	ErrUnknownJob = errors.New("no such job")
)

// UnrunnableError says why a job can never run.
type UnrunnableError struct{ Reason string }

// Error returns the reason.
func (e *UnrunnableError) Error() string { return e.Reason }

var (
	// ErrFull means that too many calls wait already.
	ErrFull = errors.New("too many submissions wait")
	// ErrTooLarge means that the job can never be stored.
	ErrTooLarge = errors.New("the job's description is too large to be stored")
	// errFenceMoved means that the submission fence has moved: the job may have been accepted, have
	// ended and have gone into the archive since it was looked up.
	errFenceMoved = errors.New("the submission fence has moved")
	// errCopyTaken means that an earlier copy of the write, which got no answer, was applied.
	errCopyTaken = errors.New("an earlier copy was taken")
	// errRerouted means that another controller is to write the job, and that this one has not.
	errRerouted = errors.New("another controller writes it now")
)
