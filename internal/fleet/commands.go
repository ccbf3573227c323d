package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// HeartbeatCommands gives the commands for the answer to a report that was just observed.
// launch says whether the claim surely lasts. The answer counts as one that
// the machine may have taken.
func (f *Fleet) HeartbeatCommands(now time.Time, r *wire.Heartbeat, launch bool) []wire.Command {
	cmds := []wire.Command{}
	m := f.machines[r.Machine]
	if m == nil || m.isStale(now, r) {
		return cmds
	}
	m.noteResponse(now)
	if r.Incarnation != m.Incarnation || r.Seq < m.heartbeatSeq {
		return cmds
	}
	// Of a report that has come again, nobody waits for the answer; to one from before the term, of
	// a machine that was seen at it since, hardly anybody.
	launch = launch && m.launchable() && r.Seq > m.launchSeq && r.FencingToken == f.FencingToken && f.ReceivesCommands(now, m)
	kept := 0
	for _, p := range m.Placements() {
		switch {
		case p.IsTombstone() && p.mayBeDuplicated(now) && kept < maxTombstones:
			kept++
		case p.State == Ended && p.EndHandled && !p.callPending:
			cmds = append(cmds, wire.Command{Verb: wire.Clear, Task: p.Task.String(), Attempt: p.Attempt})
		case p.Stop != nil && p.Reported && p.Active():
			cmds = append(cmds, p.stopCommand())
		case p.State == Planned && p.Committed && launch && (p.Stop == nil || p.callPending && !p.Stop.JobFinished):
			// One that is to stop and may yet be launched by a call on its way can't
			// be taken back: it is launched after all, and stopped when it shows.
			p.State, p.sentInResponse, m.launchSeq = Sent, true, r.Seq
			cmds = append(cmds, wire.Command{Verb: wire.Launch, Task: p.Task.String(), Attempt: p.Attempt})
		}
	}
	return cmds
}

// launchable reports whether a machine may be launched on.
func (m *Machine) launchable() bool {
	return m.SeenAtToken && m.DrainReason == "" && !m.Releasing && m.TerminationTime.IsZero()
}

// isStale reports whether the worker waits for no answer to a report any more: it has sent a newer
// one, or is in a later session, or sent this one too long ago. Such an answer renews no lease, and a
// proof by time does not wait for it.
func (m *Machine) isStale(now time.Time, r *wire.Heartbeat) bool {
	if r.Incarnation != m.Incarnation {
		return r.Incarnation < m.Incarnation
	}
	return r.Seq < m.heartbeatSeq || r.Seq == m.heartbeatSeq && now.Sub(m.heartbeatAt) > proofMargin
}

// DirectCommands gives the commands that go straight to a machine: stops, which are
// harmless however late they are executed, and, with launch, the launches that
// wait. These count as loose until Called tells what became of the call.
func (f *Fleet) DirectCommands(m *Machine, launch bool) (cmds []wire.Command, launched []*Placement) {
	// What is sent into a session of which nothing has been heard is executed whenever that
	// begins: no time shows it gone.
	launch = launch && m.launchable() && m.incarnationSeen
	for _, p := range m.Placements() {
		switch {
		case p.Stop != nil && p.State != Planned && p.Active():
			cmds = append(cmds, p.stopCommand())
		case p.State == Planned && p.Committed && p.Stop == nil && !p.callPending && launch:
			p.State, p.callPending, p.sentByCall = Sent, true, true
			cmds = append(cmds, wire.Command{Verb: wire.Launch, Task: p.Task.String(), Attempt: p.Attempt})
			launched = append(launched, p)
		}
	}
	return cmds, launched
}

// CallOutcome is what became of a direct call.
type CallOutcome int

// The outcomes of a direct call.
const (
	Unanswered CallOutcome = iota // it may have been executed, or may still be
	Executed
	Refused // it was not executed and never will be
)

// CallFinished takes in what became of a direct call that carried launches.
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
