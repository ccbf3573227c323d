package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// State is the stage of a placement.
type State int

// The states of a placement, in the order in which they are reached.
const (
	Planned  State = iota // decided, but not sent to the machine
	Sent                  // sent in a response or call that the machine may or may not have received
	Fetching              // this and all later states are reported by the worker
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
	Committed  bool // its scheduling round is stored in the state service, so it may be sent
	EndHandled bool // its end has been processed, so it may be cleared from the worker
	Cause      wire.Cause
	Saved      bool
	Stop       *StopOrder // nil unless it has been ordered to stop
	PlacedAt   time.Time
	StartedAt  time.Time   // when it was first seen running
	Reported   bool        // a heartbeat has listed it
	lastListed heartbeatID // the newest heartbeat that listed it

	// sentInResponse is set if a response carried the launch and no heartbeat has shown yet that the
	// response was lost. A refused direct call for the same launch then proves nothing.
	sentInResponse bool
	// callPending is set while a direct call that carried the launch is unanswered. The call may be
	// executed as long as the incarnation lasts, so the attempt is not withdrawn, and it is cleared only
	// lateCallWindow after its end.
	callPending bool
	// sentByCall is set if the launch was sent by a direct call, of which a duplicate may still
	// arrive. It is also set if the worker listed the attempt although this leader did not launch it.
	sentByCall bool
	endedAt    time.Time // when it was first seen ended
	// restored is set if an earlier leader recorded the attempt in the state service. Its incarnation
	// is unknown, so among the heartbeats only one at the leader's own token can show it gone.
	restored bool
}

// StopOrder is the order to stop a placement.
type StopOrder struct {
	Grace       time.Duration // the time that the task has to save its progress
	Reason      string
	Since       time.Time
	JobFinished bool      // its job has ended: the task must not be launched any more
	RenewUntil  time.Time // until when its machine's lease may be renewed while a call may still launch it
}

// HasImage reports whether the placement's image is on its machine. For a restored placement that
// has not been reported yet it assumes so, since most of these have been running for a while.
func (p *Placement) HasImage() bool {
	return p.State == Waiting || p.State == Running || p.State == Saving || p.restored && !p.Reported
}

// Active reports whether the placement may hold resources of its machine.
func (p *Placement) Active() bool { return p.State != Ended }

// CallPending reports whether an unanswered direct call may still launch the placement.
func (p *Placement) CallPending() bool { return p.callPending }

const (
	// duplicateCallWindow is how long after the end of an attempt a duplicate of the answered call that
	// launched it may still arrive. The protocol sets no bound on late messages ("minutes late")
	// and does not mention duplicates of delivered ones. Only a new fencing token or incarnation
	// invalidates a duplicate, and neither changes while a leader leads. The window is the
	// smallest exception to that rule: the list must not grow forever, but a duplicate that arrives even
	// later still starts its attempt again (docs/design.md).
	duplicateCallWindow = 3 * time.Minute
	// lateCallWindow is how long after the end of an attempt the unanswered call that launched it may still be
	// executed. The protocol lets messages be minutes late; TCP gives up after about 15 minutes.
	lateCallWindow = 20 * time.Minute
	// maxTombstones limits how many attempts that were launched by direct calls a machine's list may
	// hold, since each of its heartbeats carries the list. Once the limit is reached, launches are sent
	// only in responses to heartbeats, which are never executed late.
	maxTombstones = 100
)

// mayBeLaunchedAgain reports whether the call that launched an ended attempt, or a late duplicate of it, may
// still arrive. Once the attempt is cleared, such a call would start it again: next to the task's next
// attempt or, if the task is done, briefly at the expense of its team, its cancelled job and its
// machine. As long as the worker lists the attempt, the call has no effect.
func (p *Placement) mayBeLaunchedAgain(now time.Time) bool {
	if p.callPending {
		return now.Sub(p.endedAt) < lateCallWindow
	}
	return now.Sub(p.endedAt) < duplicateCallWindow
}

// IsTombstone reports whether an attempt is kept only so that late copies of its launch have no effect.
func (p *Placement) IsTombstone() bool {
	return p.State == Ended && p.EndHandled && p.sentByCall
}

func (p *Placement) command(verb wire.Verb) wire.Command {
	return wire.Command{Verb: verb, Task: p.Task.String(), Attempt: p.Attempt}
}

func (p *Placement) stopCommand() wire.Command {
	cmd, grace := p.command(wire.Stop), p.Stop.Grace.Seconds()
	cmd.GraceS = &grace
	return cmd
}
