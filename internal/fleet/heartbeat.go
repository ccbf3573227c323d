package fleet

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Event is something that a report has shown.
type Event struct {
	Placement *Placement
	Gone      bool // it is no longer there, and did not end in sight
}

// IsNewer reports whether a report is newer than all that was heard of its machine, also of one
// that is gone. A copy that comes late tells nothing, nor of the machine's zone.
func (f *Fleet) IsNewer(r *wire.Heartbeat) bool {
	last, gone := f.releasedMachines[r.Machine]
	if !gone {
		last = f.goneMachines[r.Machine]
	}
	if m := f.machines[r.Machine]; m != nil {
		last = messageNumber{m.Incarnation, m.lastSeq}
	}
	return last.before(r)
}

// ApplyHeartbeat takes in a worker's report, whichever way it came. A report proves
// that an unseen launch was not taken only if it came by itself (own), since
// the answer that carried the launch may be in flight beside any other.
func (f *Fleet) ApplyHeartbeat(now time.Time, r *wire.Heartbeat, own bool) []Event {
	if f.IsReleased(r.Machine) || !f.IsNewer(r) {
		return nil // its list is as old as the report; what is no more would be launched on
	}
	m := f.EnsureMachine(now, r.Machine, r.Type, r.Zone, r.Spot)
	var events []Event
	if r.Incarnation > m.Incarnation {
		if own && m.incarnationSeen && now.Sub(m.LastResponse) < f.workerLease { // it has not taken that answer
			m.lostCommands, m.lostCommandsSince = maxLostCommands, now
		}
		for _, p := range m.Placements() {
			// Proof 2: the worker has forgotten all tasks of earlier sessions,
			// and executes nothing that was sent for one.
			if (p.State != Planned || p.callPending) && (m.SeenAtToken || !p.restored) {
				f.removePlacement(m, p)
				events = append(events, Event{p, true})
			}
		}
		m.beginIncarnation(r.Incarnation)
	}
	if !m.incarnationSeen {
		// A session has a lease of its own that counts from its beginning, which
		// may have been just now.
		m.incarnationSeen = true
		m.noteResponse(now)
	}
	if own {
		m.firstCallSinceHeartbeat = time.Time{}
	} else if m.firstCallSinceHeartbeat.IsZero() {
		m.firstCallSinceHeartbeat = now
	}
	switch {
	case !own:
		m.lostCommands = 0 // a call was answered
	case r.FencingToken < f.FencingToken && m.heartbeatSeq > 0:
		m.noteLostCommand(now) // nor taken the term from the answer to its last report
	}
	m.lastSeq = r.Seq
	m.Addr, m.LastHeartbeat = r.Addr, now
	if !m.Up {
		m.Up, m.UpSince, m.IdleSince = true, now, now
	}
	if r.TerminationNoticeS != nil {
		m.TerminationTime = now.Add(wire.Seconds(*r.TerminationNoticeS))
	}
	if r.FencingToken == f.FencingToken && !m.SeenAtToken {
		m.SeenAtToken, m.lostCommands = true, 0
		m.noteResponse(now) // an earlier holder's answer may have come until now
	}
	for _, t := range r.Tasks {
		if p, fresh := f.applyTaskStatus(now, m, t); fresh {
			events = append(events, Event{p, false})
		}
	}
	if m.SeenAtToken && r.FencingToken >= f.FencingToken {
		events = f.reconcileMissing(now, m, r, own, events)
	}
	if own {
		m.heartbeatSeq, m.heartbeatAt = r.Seq, now
	}
	return events
}

// reconcileMissing deals with what a report at the own term does not list.
func (f *Fleet) reconcileMissing(now time.Time, m *Machine, r *wire.Heartbeat, own bool, events []Event) []Event {
	lost := false
	defer func() {
		if lost {
			m.noteLostCommand(now)
		}
	}()
	for _, p := range m.Placements() {
		if p.State == Planned || slices.ContainsFunc(r.Tasks, func(t wire.ReportedTask) bool { return t.Attempt == p.Attempt && t.ID == p.Task }) {
			continue
		}
		if p.State == Sent {
			// Proof 1. One report is in flight at a time, and the answer to it
			// is executed before the next is made, or never: the launch was
			// lost, and may be said again, unless it is to stop anyway.
			if !own {
				continue
			}
			lost = lost || p.sentInResponse
			if p.State, p.sentInResponse = Planned, false; p.Stop != nil && !p.callPending {
				f.removePlacement(m, p)
				events = append(events, Event{p, true})
			}
			continue
		}
		f.removePlacement(m, p)
		if p.State != Ended {
			events = append(events, Event{p, true})
		}
	}
	return events
}

// applyTaskStatus takes in one reported task and reports whether its state is new.
func (f *Fleet) applyTaskStatus(now time.Time, m *Machine, t wire.ReportedTask) (*Placement, bool) {
	p := m.findPlacement(placementKey{t.ID, t.Attempt})
	if p == nil {
		p = &Placement{Task: t.ID, Attempt: t.Attempt, Machine: m.ID, PlacedAt: now, Committed: true}
		f.addPlacement(m, p)
	}
	if p.State == Sent {
		m.lostCommands = 0
	}
	state := Running // also for what this version does not know: it is there
	switch t.State {
	case wire.TaskFetching:
		state = Fetching
	case wire.TaskWaiting:
		state = Waiting
	case wire.TaskSaving:
		state = Saving
	case wire.TaskEnded:
		state = Ended
	}
	fresh := !p.Reported || p.State != state
	p.Reported, p.State, p.Cause, p.Saved = true, state, t.Cause, t.Saved
	if state == Running && p.StartedAt.IsZero() {
		p.StartedAt = now
	}
	if state == Ended && p.endedAt.IsZero() {
		p.endedAt = now
	}
	return p, fresh
}

// messageNumber orders the messages of a machine.
type messageNumber struct{ incarnation, seq uint64 }

func (n messageNumber) before(r *wire.Heartbeat) bool {
	return r.Incarnation > n.incarnation || r.Incarnation == n.incarnation && r.Seq > n.seq
}
