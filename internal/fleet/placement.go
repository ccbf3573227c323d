package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// State is how far a placement has come.
type State int

// The states of a placement, in the order in which they are reached.
const (
	Planned  State = iota // decided, nothing said to the machine
	Sent                  // said in an answer that may or may not have been taken
	Fetching              // the rest is as the worker reported it
	Waiting
	Running
	Saving
	Ended
)

// Placement is an attempt of a task that is or may be on a machine.
type Placement struct {
	Task       wire.TaskID
	Attempt    uint64
	Machine    string
	State      State
	Committed  bool // its round is in the store, so that it may be said
	EndHandled bool // its end has been dealt with, so that it may be cleared
	Cause      wire.Cause
	Saved      bool
	Stop       *StopOrder
	PlacedAt   time.Time
	StartedAt  time.Time // first seen running
	Reported   bool      // has been in a report

	// sentInResponse: an answer carried the launch, and no report has shown yet that it was not
	// taken. A direct call that was refused beside it proves nothing.
	sentInResponse bool
	// callPending: the launch was also sent by a direct call that was not answered.
	// It may be executed as long as the session lasts, so that the attempt is
	// neither taken back nor cleared.
	callPending bool
	// sentByCall: the launch was sent by a direct call, of which a copy may yet come.
	sentByCall bool
	endedAt    time.Time // when it was first seen ended
	// restored: the store names it, from before the term. Nothing is known of
	// its session, so that only a report at the term shows it gone.
	restored bool
}

// StopOrder is the order to stop a placement.
type StopOrder struct {
	Grace       time.Duration
	Reason      string
	Since       time.Time
	JobFinished bool // its job is over: it must not be launched any more
	// RenewUntil is for how long a machine may be answered on which it may yet be launched.
	RenewUntil time.Time
}

// HasImage reports whether the placement's image has come to its machine: what an earlier
// holder placed has mostly run for a while.
func (p *Placement) HasImage() bool {
	return p.State == Waiting || p.State == Running || p.State == Saving || p.restored && !p.Reported
}

// Active reports whether the placement may hold resources of its machine.
func (p *Placement) Active() bool { return p.State != Ended }

type placementKey struct {
	task    wire.TaskID
	attempt uint64
}

// duplicateCallWindow is for how long a copy of a call that was answered may yet come, and copyMost how
// many attempts stay on a machine's list for that: it goes into each of its reports.
const (
	duplicateCallWindow = 3 * time.Minute
	maxTombstones       = 100
)

// mayBeDuplicated reports whether a late copy of the call that launched an attempt would start it
// again once it was cleared, while the task may be elsewhere. As long as the worker knows
// the attempt, a copy does nothing. What is done is never started elsewhere.
func (p *Placement) mayBeDuplicated(now time.Time) bool {
	return now.Sub(p.endedAt) < duplicateCallWindow
}

// IsTombstone reports whether nothing is left to do for an attempt but to remember it, for the sake
// of late copies.
func (p *Placement) IsTombstone() bool {
	return p.State == Ended && p.EndHandled && p.sentByCall && !p.callPending && p.Cause != wire.CauseDone
}

func (p *Placement) stopCommand() wire.Command {
	grace := p.Stop.Grace.Seconds()
	return wire.Command{Verb: wire.Stop, Task: p.Task.String(), Attempt: p.Attempt, GraceS: &grace}
}

// CallPending reports whether a launch of the placement may still be on its way.
func (p *Placement) CallPending() bool { return p.callPending }
