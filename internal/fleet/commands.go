package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// HeartbeatCommands returns the commands for the response to a heartbeat that was just applied; with
// launch, launches too: the leader's own lease surely lasts. The response counts as one that the
// machine may have taken.
func (f *Fleet) HeartbeatCommands(now time.Time, hb *wire.Heartbeat, launch bool) []wire.Command {
	cmds := []wire.Command{}
	m := f.machines[hb.Machine]
	if m == nil || m.isStale(now, hb) {
		return cmds
	}
	m.recordResponse(now)
	if hb.Incarnation != m.Incarnation || hb.Seq < m.unsolicitedSeq {
		return cmds
	}
	// For the response to a heartbeat that has come again, no worker waits; nor, mostly, for that to
	// one from before the token, of a machine that was seen at it since.
	launch = launch && m.launchable() && hb.Seq > m.launchSeq && hb.FencingToken == f.FencingToken && f.ReceivesCommands(now, m)
	for _, p := range m.Placements() {
		switch {
		case p.IsTombstone() && p.mayBeDuplicated(now):
		case p.State == Ended && p.EndHandled && !p.callPending:
			cmds = append(cmds, p.command(wire.Clear))
		case p.Stop != nil && p.Reported && p.Active():
			cmds = append(cmds, p.stopCommand())
		case p.State == Planned && p.Committed && launch && (p.Stop == nil || p.callPending && !p.Stop.JobFinished):
			// One that is to stop and may yet be launched by a call on its way can't be withdrawn: it
			// is launched after all, and stopped when it shows.
			p.State, p.sentInResponse, m.launchSeq = Sent, true, hb.Seq
			cmds = append(cmds, p.command(wire.Launch))
		}
	}
	return cmds
}

// DirectCommands returns the commands for a call to a machine: stops, which are harmless however late
// they are executed, and, with launch, the launches that wait. Of these the call counts as pending
// until CallFinished reports its outcome.
func (f *Fleet) DirectCommands(m *Machine, launch bool) (cmds []wire.Command, launched []*Placement) {
	// What is sent to an incarnation of which nothing has come is executed whenever that begins: no
	// time proves it gone.
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
	Unanswered CallOutcome = iota // it may have been executed, or may still be
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
