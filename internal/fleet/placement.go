package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// State is how far a placement has come.
type State int

// The states of a placement, in the order in which they are reached.
const (
	Planned  State = iota // decided; nothing was sent to the machine
	Sent                  // sent in a response or call that may or may not have been taken
	Fetching              // from here on as the worker says
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
	Committed  bool // its round is in the state service, so that it may be sent
	EndHandled bool // its end has been dealt with, so that it may be cleared
	Cause      wire.Cause
	Saved      bool
	Stop       *StopOrder // nil unless it is to stop
	PlacedAt   time.Time
	StartedAt  time.Time   // when it was first seen running
	Reported   bool        // a heartbeat has listed it
	lastListed heartbeatID // the newest heartbeat that listed it

	// sentInResponse: a response carried the launch, and no heartbeat has shown yet that it was not
	// taken. A direct call that was refused beside it proves nothing.
	sentInResponse bool
	// callPending: the launch was also sent by a direct call that was not answered. It may be
	// executed as long as the incarnation lasts, so that the attempt is neither withdrawn nor cleared.
	callPending bool
	// sentByCall: the launch was sent by a direct call, of which a copy may yet come. So it was, by
	// whomever, if the attempt was listed without a launch.
	sentByCall bool
	endedAt    time.Time // when it was first seen ended
	// restored: the state service names it, from before the token. Its incarnation is not known, so
	// that only a heartbeat at the token shows it gone.
	restored bool
}

// StopOrder is the order to stop a placement.
type StopOrder struct {
	Grace       time.Duration // that the task has for saving its progress
	Reason      string
	Since       time.Time
	JobFinished bool      // its job is over: it must not be launched any more
	RenewUntil  time.Time // while it may yet be launched, until when its machine's lease may be renewed
}

// HasImage reports whether the placement's image has come to its machine: what an earlier leader
// placed has mostly run for a while.
func (p *Placement) HasImage() bool {
	return p.State == Waiting || p.State == Running || p.State == Saving || p.restored && !p.Reported
}

// Active reports whether the placement may hold resources of its machine.
func (p *Placement) Active() bool { return p.State != Ended }

// CallPending reports whether a launch of the placement may still be on its way by a direct call.
func (p *Placement) CallPending() bool { return p.callPending }

// mayBePresent reports whether the attempt is or may yet be on its machine.
func (p *Placement) mayBePresent() bool { return p.Active() || p.callPending }

const (
	// duplicateCallWindow is for how long after the end of an attempt a copy of the answered call that
	// launched it may yet come. The protocol gives late messages no bound ("minutes late") and knows no
	// copies of what was delivered; only the fencing token and the incarnation end what a copy can do,
	// and neither changes while a leader leads. The window is the smallest exception from that: the
	// list must end, and a copy that comes later still starts its attempt again (docs/design.md).
	duplicateCallWindow = 3 * time.Minute
	// maxTombstones bounds the attempts on a machine's list that were launched by direct calls, since
	// the list goes into each of its heartbeats. Where it is full, launches go by the responses to
	// heartbeats alone, which are never executed late.
	maxTombstones = 100
)

// mayBeDuplicated reports whether a late copy of the call that launched an ended attempt would start
// it again once it was cleared: beside the task's next attempt, or, if the task is done, for its team,
// for its cancelled job and on its machine for a moment. As long as the worker lists the attempt, a
// copy does nothing.
func (p *Placement) mayBeDuplicated(now time.Time) bool {
	return now.Sub(p.endedAt) < duplicateCallWindow
}

// IsTombstone reports whether nothing is left to do for an attempt but to remember it, for the sake
// of late copies.
func (p *Placement) IsTombstone() bool {
	return p.State == Ended && p.EndHandled && p.sentByCall && !p.callPending
}

func (p *Placement) command(verb wire.Verb) wire.Command {
	return wire.Command{Verb: verb, Task: p.Task.String(), Attempt: p.Attempt}
}

func (p *Placement) stopCommand() wire.Command {
	cmd, grace := p.command(wire.Stop), p.Stop.Grace.Seconds()
	cmd.GraceS = &grace
	return cmd
}
