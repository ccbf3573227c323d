package admission

import (
	"errors"
	"fmt"
)

// What can become of a call, beside ErrFull and ErrTooLarge.
var (
	// ErrRetryLater means that it can't be done now; come back.
	ErrRetryLater = errors.New("not now, come back")
	// ErrCompactionBehind is an ErrLater for a longer while.
	ErrCompactionBehind = fmt.Errorf("%w: folding has fallen behind", ErrRetryLater)
	// ErrHistoryUnavailable is an ErrLater that another controller may not give: this one does not come
	// by what it needs.
	ErrHistoryUnavailable = fmt.Errorf("%w: the history can't be read", ErrRetryLater)
	// ErrUnknownJob means that nobody has submitted the job.
	ErrUnknownJob = errors.New("no such job")
)

// UnrunnableError says why a job can never run.
type UnrunnableError struct{ Reason string }

func (e *UnrunnableError) Error() string { return e.Reason }

var (
	// ErrFull means that too many wait already; come back a little later.
	ErrFull = errors.New("too many submissions wait")
	// ErrTooLarge means that the job can never be stored.
	ErrTooLarge = errors.New("the job's description is too large to be stored")
	// errGateMoved means that the gate has moved: the job may have been accepted, have
	// ended and have gone into the history since it was looked up.
	errGateMoved = errors.New("the gate of submissions has moved")
	// errCopyTaken means that a copy without an answer was taken before.
	errCopyTaken = errors.New("an earlier copy was taken")
	// errRerouted means that another controller is to write the job, which is not written here.
	errRerouted = errors.New("another controller writes it now")
)
