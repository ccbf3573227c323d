package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// HeartbeatCommands returns the commands for the response to a heartbeat that was just applied. They
// include launches only if launch is set, which requires that the leader's own lease is certain to be
// valid. The machine's lease counts as renewed, since the machine may receive the response.
func (f *Fleet) HeartbeatCommands(now time.Time, hb *wire.Heartbeat, launch bool) []wire.Command {
	cmds := []wire.Command{}
	m := f.machines[hb.Machine]
	if m == nil || m.isStale(now, hb) {
		return cmds
	}
	m.recordResponse(now)
	if hb.Incarnation != m.Incarnation || hb.Seq < m.heartbeatSeq {
		return cmds
	}
	// No worker waits for the response to a duplicate of a heartbeat. Usually none waits either for the
	// response to a heartbeat at an older token if the machine has been seen at this one since.
	launch = launch && m.launchable() && hb.Seq > m.launchSeq && hb.FencingToken == f.FencingToken && f.ReceivesCommands(now, m)
	for _, p := range m.Placements() {
		switch {
		case p.IsTombstone() && p.mayBeLaunchedAgain(now):
		case p.State == Ended && p.EndHandled:
			cmds = append(cmds, p.command(wire.Clear))
		case p.Stop != nil && p.Reported && p.Active():
			cmds = append(cmds, p.stopCommand())
		case p.State == Planned && p.Committed && launch && (p.Stop == nil || p.callPending && !p.Stop.JobFinished):
			// An attempt that is ordered to stop, but that a pending call may still launch, cannot be
			// withdrawn. It is launched after all and stopped once the worker lists it.
			p.State, p.sentInResponse, m.launchSeq = Sent, true, hb.Seq
			cmds = append(cmds, p.command(wire.Launch))
		}
	}
	return cmds
}

// DirectCommands returns the commands for a direct call to a machine: stops, which are harmless however
// late they are executed, and, if launch is set, the planned launches. The call counts as pending for
// the launched placements until CallFinished applies its outcome.
func (f *Fleet) DirectCommands(m *Machine, launch bool) (cmds []wire.Command, launched []*Placement) {
	// A launch that is sent to an incarnation from which nothing has been received is executed whenever
	// that incarnation begins, so no lease expiry could prove it gone.
	launch = launch && m.launchable() && m.incarnationSeen
	sentByCall := m.countSentByCall()
	for _, p := range m.Placements() {
		switch {
		case p.Stop != nil && p.State != Planned && p.Active():
			cmds = append(cmds, p.stopCommand())
		case p.State == Planned && p.Committed && p.Stop == nil && !p.callPending && launch && sentByCall < maxTombstones:
			sentByCall++
			p.State, p.callPending, p.sentByCall = Sent, true, true
			cmds = append(cmds, p.command(wire.Launch))
			launched = append(launched, p)
		}
	}
	return cmds, launched
}

// CallOutcome is the outcome of a direct call.
type CallOutcome int

// The outcomes of a direct call.
const (
	Unanswered CallOutcome = iota // it may have been executed or may still be
	Executed
	Refused // it was not executed and never will be
)

// CallFinished applies the outcome of a direct call that carried launches.
func (f *Fleet) CallFinished(launched []*Placement, o CallOutcome) {
	if o == Unanswered {
		return
	}
	for _, p := range launched {
		p.callPending = false
		if o == Refused && p.State == Sent && !p.sentInResponse {
			p.State = Planned
		}
	}
}
