package fleet

import (
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Event is a change of a placement that a heartbeat or an expired lease has revealed.
type Event struct {
	Placement  *Placement
	Gone       bool // it is no longer on the machine, and its end was not seen
	Unlaunched bool // it has appeared, or reappeared, although no launch by this leader was pending
}

// IsNewer reports whether a heartbeat is newer than all earlier ones from its machine, which may have
// been removed since. A late duplicate proves nothing, not even that the machine's zone is reachable.
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

// heartbeatID orders the heartbeats of a machine.
type heartbeatID struct{ incarnation, seq uint64 }

func (n heartbeatID) before(hb *wire.Heartbeat) bool {
	return hb.Incarnation > n.incarnation || hb.Incarnation == n.incarnation && hb.Seq > n.seq
}

// ApplyHeartbeat applies a worker's heartbeat, whichever way it was received, and returns the changes
// that it reveals. If a launch is not listed yet, only an unsolicited heartbeat proves that it was lost,
// that is, one that the worker did not send in reply to a call: the response that carried the launch
// may still be in flight when a call is answered.
func (f *Fleet) ApplyHeartbeat(now time.Time, hb *wire.Heartbeat, unsolicited bool) []Event {
	if f.IsReleased(hb.Machine) || !f.IsNewer(hb) {
		return nil // its task list is outdated, and a machine that is gone since would be launched on
	}
	m := f.EnsureMachine(now, hb.Machine, hb.Type, hb.Zone, hb.Spot)
	allTasksKnown := m.SeenAtToken // everything that earlier leaders launched has been listed
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
		m.heartbeatSeq, m.heartbeatAt = hb.Seq, now
	}
	return events
}

// enterIncarnation records that a machine's worker has begun a new incarnation (proof 2). The worker has
// dropped all tasks of earlier incarnations and executes no commands that were sent to them.
func (f *Fleet) enterIncarnation(now time.Time, m *Machine, incarnation uint64, unsolicited bool) (events []Event) {
	if unsolicited && m.incarnationSeen && now.Sub(m.LastResponse) < f.workerLease { // it did not receive that response
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

// applyMachineStatus applies what a heartbeat shows about the machine itself, apart from its tasks.
func (f *Fleet) applyMachineStatus(now time.Time, m *Machine, hb *wire.Heartbeat, unsolicited bool) {
	if !m.incarnationSeen {
		// Each incarnation has its own lease that counts from its beginning, which may be as late as
		// now.
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
		m.suspectedLosses = 0 // it has answered a call
	case hb.FencingToken < f.FencingToken && m.heartbeatSeq > 0:
		m.recordLostCommand(now) // it did not adopt the token from the response to its last heartbeat
	}
	m.lastSeq = hb.Seq
	m.Addr, m.LastHeartbeat = hb.Addr, now
	if !m.Up {
		m.Up, m.UpSince, m.IdleSince = true, now, now
	}
	m.TerminationTime = time.Time{} // the newest heartbeat tells whether there is a notice
	if hb.TerminationNoticeS != nil {
		m.TerminationTime = now.Add(wire.Seconds(*hb.TerminationNoticeS))
	}
	if hb.FencingToken == f.FencingToken && !m.SeenAtToken {
		m.SeenAtToken, m.suspectedLosses = true, 0
		m.recordResponse(now) // it may have received responses of an earlier leader until now
	}
}

// reconcileMissing handles the placements that a heartbeat at the leader's own token does not list
// (proof 1).
func (f *Fleet) reconcileMissing(now time.Time, m *Machine, unsolicited bool) (events []Event) {
	lostLaunch := false // whether a response that carried a launch was lost
	for _, p := range m.Placements() {
		switch {
		case p.State == Planned || p.lastListed == m.lastHeartbeatID():
		case p.State != Sent:
			f.removePlacement(m, p)
			if p.State != Ended {
				events = append(events, Event{Placement: p, Gone: true})
			}
		case unsolicited:
			// The worker has one heartbeat in flight at a time and executes the response to it before
			// it creates the next one, or never. So the launch was lost.
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

// revertLostLaunch handles the loss of the response that carried a launch. The placement is planned
// again, so that the launch can be resent. If it has been ordered to stop and no call is pending, it is
// removed instead.
func (f *Fleet) revertLostLaunch(m *Machine, p *Placement) (removed bool) {
	p.State, p.sentInResponse = Planned, false
	if p.Stop == nil || p.callPending {
		return false
	}
	f.removePlacement(m, p)
	return true
}

// applyTaskStatus applies the status of one listed task and reports whether its state has changed. If
// all tasks that may be on the machine are known, an attempt that appears, or is active again after it
// ended, was started by a late duplicate of a call, and more duplicates may follow.
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

// stateFromWire converts a task state that a worker reported to the state of a placement. A state unknown to
// this version counts as running, since the task is on the machine.
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
