package admission

import (
	"errors"
	"fmt"
)

// Errors that callers of Service handle. Their texts reach users.
var (
	// ErrRetryLater means that the request can't be served now, and may succeed if it is repeated.
	ErrRetryLater = errors.New("not now, come back")
	// ErrCompactionBehind is an ErrRetryLater that calls for a longer delay: too many ended jobs wait to be
	// compacted.
	ErrCompactionBehind = fmt.Errorf("%w: folding has fallen behind", ErrRetryLater)
	// ErrHistoryUnavailable is an ErrRetryLater that only this controller may have: it can't read the
	// archive, and another one may be able to.
	ErrHistoryUnavailable = fmt.Errorf("%w: the history can't be read", ErrRetryLater)
	// ErrUnknownJob means that the job was never submitted.
	ErrUnknownJob = errors.New("no such job")
)

// UnrunnableError means that a job can never run, and says why.
type UnrunnableError struct{ Reason string }

// Error returns the reason.
func (e *UnrunnableError) Error() string { return e.Reason }

var (
	// ErrQueueFull means that the queue of submissions or of cancellations is full.
	ErrQueueFull = errors.New("too many submissions wait")
	// ErrJobTooLarge means that the job exceeds the size limit of the store, so that it can never be accepted.
	ErrJobTooLarge = errors.New("the job's description is too large to be stored")
	// errFenceAdvanced means that the submission fence has advanced since the job was looked up: meanwhile
	// the job may have been accepted, ended and compacted into the archive.
	errFenceAdvanced = errors.New("the submission fence has advanced")
	// errEarlierCopyApplied means that an earlier copy of the write, which got no response, was applied.
	errEarlierCopyApplied = errors.New("an earlier copy of the write was applied")
	// errRerouted means that this controller has not written the job, and that another one writes jobs now.
	errRerouted = errors.New("another controller writes it now")
)
