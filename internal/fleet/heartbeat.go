package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Event is something that a heartbeat or an expired lease has shown.
type Event struct {
	Placement  *Placement
	Gone       bool // it is no longer there, and was not seen to end
	Unlaunched bool // it is there, or there again, by no launch of this leader that was still on its way
}

// IsNewer reports whether a heartbeat is newer than all that came of its machine, also of one that
// is gone. A late copy is evidence of nothing, not even of the machine's zone.
func (f *Fleet) IsNewer(hb *wire.Heartbeat) bool {
	last, gone := f.releasedMachines[hb.Machine]
	if !gone {
		last = f.removedMachines[hb.Machine]
	}
	if m := f.machines[hb.Machine]; m != nil {
		last = m.lastHeartbeatID()
	}
	return last.before(hb)
}

// heartbeatID orders the messages of a machine.
type heartbeatID struct{ incarnation, seq uint64 }

func (n heartbeatID) before(hb *wire.Heartbeat) bool {
	return hb.Incarnation > n.incarnation || hb.Incarnation == n.incarnation && hb.Seq > n.seq
}

// ApplyHeartbeat takes in a worker's heartbeat, whichever way it came. A heartbeat proves that an
// unseen launch was not taken only if the worker sent it by itself (own), and not as the answer to
// a call: the response that carried the launch may be in flight beside any other.
func (f *Fleet) ApplyHeartbeat(now time.Time, hb *wire.Heartbeat, unsolicited bool) []Event {
	if f.IsReleased(hb.Machine) || !f.IsNewer(hb) {
		return nil // its list is as old as itself; what is gone since would be launched on
	}
	m := f.EnsureMachine(now, hb.Machine, hb.Type, hb.Zone, hb.Spot)
	allTasksKnown := m.SeenAtToken // all that earlier leaders launched has been seen
	var events []Event
	if hb.Incarnation > m.Incarnation {
		events = f.enterIncarnation(now, m, hb.Incarnation, unsolicited)
	}
	f.applyMachineStatus(now, m, hb, unsolicited)
	for _, t := range hb.Tasks {
		if e, changed := f.applyTaskStatus(now, m, t, allTasksKnown); changed {
			events = append(events, e)
		}
	}
	if m.SeenAtToken && hb.FencingToken >= f.FencingToken {
		events = append(events, f.reconcileMissing(now, m, unsolicited)...)
	}
	if unsolicited {
		m.unsolicitedSeq, m.unsolicitedAt = hb.Seq, now
	}
	return events
}

// enterIncarnation records that a machine's worker has begun a new incarnation (proof 2): it has forgotten all
// tasks of earlier incarnations, and executes nothing that was sent to one.
func (f *Fleet) enterIncarnation(now time.Time, m *Machine, incarnation uint64, unsolicited bool) (events []Event) {
	if unsolicited && m.incarnationSeen && now.Sub(m.LastResponse) < f.workerLease { // it has not taken that response
		m.markCommandsLost(now)
	}
	for _, p := range m.Placements() {
		if (p.State != Planned || p.callPending) && (m.SeenAtToken || !p.restored) {
			f.removePlacement(m, p)
			events = append(events, Event{Placement: p, Gone: true})
		}
	}
	m.beginIncarnation(incarnation)
	return events
}

// applyMachineStatus applies what a heartbeat shows about the machine itself.
func (f *Fleet) applyMachineStatus(now time.Time, m *Machine, hb *wire.Heartbeat, unsolicited bool) {
	if !m.incarnationSeen {
		// An incarnation has a lease of its own that counts from its beginning, which may have been
		// just now.
		m.incarnationSeen = true
		m.recordResponse(now)
	}
	if unsolicited {
		m.firstCallSinceHeartbeat = time.Time{}
	} else if m.firstCallSinceHeartbeat.IsZero() {
		m.firstCallSinceHeartbeat = now
	}
	switch {
	case !unsolicited:
		m.suspectedLosses = 0 // a call was answered
	case hb.FencingToken < f.FencingToken && m.unsolicitedSeq > 0:
		m.recordLostCommand(now) // nor taken the token from the response to its last heartbeat
	}
	m.latestSeq = hb.Seq
	m.Addr, m.LastHeartbeat = hb.Addr, now
	if !m.Up {
		m.Up, m.UpSince, m.IdleSince = true, now, now
	}
	if hb.TerminationNoticeS != nil {
		m.TerminationTime = now.Add(wire.Seconds(*hb.TerminationNoticeS))
	}
	if hb.FencingToken == f.FencingToken && !m.SeenAtToken {
		m.SeenAtToken, m.suspectedLosses = true, 0
		m.recordResponse(now) // an earlier leader's response may have come until now
	}
}

// reconcileMissing deals with what a heartbeat at the own token does not list (proof 1).
func (f *Fleet) reconcileMissing(now time.Time, m *Machine, unsolicited bool) (events []Event) {
	lostLaunch := false // that a response carried
	for _, p := range m.Placements() {
		switch {
		case p.State == Planned || p.lastListed == m.lastHeartbeatID():
		case p.State != Sent:
			f.removePlacement(m, p)
			if p.State != Ended {
				events = append(events, Event{Placement: p, Gone: true})
			}
		case unsolicited:
			// One heartbeat is in flight at a time, and the response to it is executed before the
			// next is made, or never: the launch was lost.
			lostLaunch = lostLaunch || p.sentInResponse
			if f.revertLostLaunch(m, p) {
				events = append(events, Event{Placement: p, Gone: true})
			}
		}
	}
	if lostLaunch {
		m.recordLostCommand(now)
	}
	return events
}

// revertLostLaunch notes that the response that carried a launch was lost. The launch may be sent again,
// unless it is to stop anyway: then its placement is removed.
func (f *Fleet) revertLostLaunch(m *Machine, p *Placement) (removed bool) {
	p.State, p.sentInResponse = Planned, false
	if p.Stop == nil || p.callPending {
		return false
	}
	f.removePlacement(m, p)
	return true
}

// applyTaskStatus applies the status of one listed task and reports whether its state has changed.
// Where all is known that may be on the machine, an attempt that appears, or is active again after its
// end, was started by a late copy of a call, of which more may come.
func (f *Fleet) applyTaskStatus(now time.Time, m *Machine, t wire.ReportedTask, allTasksKnown bool) (e Event, changed bool) {
	p, state := m.findPlacement(t.ID, t.Attempt), stateFromWire(t.State)
	appears := p == nil
	if appears {
		p = &Placement{Task: t.ID, Attempt: t.Attempt, Machine: m.ID, PlacedAt: now, Committed: true}
		f.addPlacement(m, p)
	}
	e.Placement = p
	if e.Unlaunched = allTasksKnown && (appears || p.State == Ended && state != Ended); e.Unlaunched {
		p.sentByCall, p.endedAt = true, time.Time{}
	}
	if p.State == Sent {
		m.suspectedLosses = 0
	}
	changed = !p.Reported || p.State != state
	p.Reported, p.State, p.Cause, p.Saved = true, state, t.Cause, t.Saved
	p.lastListed = m.lastHeartbeatID()
	if state == Running && p.StartedAt.IsZero() {
		p.StartedAt = now
	}
	if state == Ended && p.endedAt.IsZero() {
		p.endedAt = now
	}
	return e, changed
}

// stateOf returns the state of a placement from the status that its worker sent. A state that this version does
// not know counts as running: the task is there.
func stateFromWire(s wire.TaskState) State {
	switch s {
	case wire.TaskFetching:
		return Fetching
	case wire.TaskWaiting:
		return Waiting
	case wire.TaskSaving:
		return Saving
	case wire.TaskEnded:
		return Ended
	}
	return Running
}
