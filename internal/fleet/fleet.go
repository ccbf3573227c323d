// Package fleet knows what may be running where, and when it is proven that
// something is not. It is pure: times, reports and the cloud's answers come in.
//
// A task that may be on a machine is started elsewhere only after one of these
// proofs of absence:
//
//  1. a newer report of the machine, at the own term, lacks the task or shows
//     it ended;
//  2. the machine is in a later session than the launch;
//  3. the machine was seen at the own term, and its lease has run out since the
//     last answer that it can have taken, and since the session that was heard of
//     last may have begun;
//  4. the cloud has released the machine, or no longer lists it;
//  5. the machine was never seen at the own term, but every earlier holder has
//     stopped answering long enough ago for the machine's lease to be over.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// The margin beyond the drift of clocks that every proof by time leaves: a
// worker drops an answer after 4 s.
const (
	clockDrift  = 0.001
	proofMargin = 5 * time.Second
)

// ReceivesCommands reports whether a machine takes what it is told, as far as is known. One that is in a
// session for longer than that could last without an answer does.
func (f *Fleet) ReceivesCommands(now time.Time, m *Machine) bool {
	return m.lostCommands < maxLostCommands || now.Sub(m.lostCommandsSince) > f.leaseExpiry()+proofMargin
}

// leaseExpiry is how long after its last answer a machine's lease has surely run out.
func (f *Fleet) leaseExpiry() time.Duration {
	return time.Duration(float64(f.workerLease)*(1+clockDrift)) + proofMargin
}

// Fleet is what the holder of a part knows under its term.
type Fleet struct {
	FencingToken     uint64
	ElectedAt        time.Time
	workerLease      time.Duration // of the workers
	predecessorGrace time.Duration // how long an earlier holder answered after the claim, at most
	listLag          time.Duration
	machines         map[string]*Machine
	sortedMachines   []*Machine // by name; replaced when one goes
	placementsByTask map[wire.TaskID][]*Placement
	goneMachines     map[string]messageNumber // gone machines, which a stale list may still show, and their last message
	releasedMachines map[string]messageNumber
}

// New gives the empty fleet of a term. linger bounds for how long after the
// claim an earlier holder may have gone on answering reports.
func New(token uint64, electedAt time.Time, workerLease, predecessorGrace, listLag time.Duration) *Fleet {
	return &Fleet{FencingToken: token, ElectedAt: electedAt, workerLease: workerLease, predecessorGrace: max(predecessorGrace, 0), listLag: listLag,
		machines: make(map[string]*Machine), placementsByTask: make(map[wire.TaskID][]*Placement), goneMachines: make(map[string]messageNumber), releasedMachines: make(map[string]messageNumber)}
}

// EnsureMachine adds a machine that the cloud or a report names. One that the store did
// not record when the term began was never launched on by an earlier holder.
func (f *Fleet) EnsureMachine(now time.Time, id, typ, zone string, spot bool) *Machine {
	m := f.machines[id]
	if m == nil {
		delete(f.goneMachines, id)
		m = &Machine{ID: id, Type: typ, Zone: zone, Spot: spot, Since: now, IdleSince: now,
			images: map[string]cachedImage{}, JobFailures: map[string]int{}, provenEmpty: true}
		f.machines[id] = m
		i, _ := slices.BinarySearchFunc(f.sortedMachines, id, func(m *Machine, id string) int { return cmp.Compare(m.ID, id) })
		if i == len(f.sortedMachines) {
			f.sortedMachines = append(f.sortedMachines, m)
		} else { // someone may be going through the list
			f.sortedMachines = slices.Concat(f.sortedMachines[:i], []*Machine{m}, f.sortedMachines[i:])
		}
	}
	return m
}

// RestoreMachine adds a machine that the store recorded, with the tasks that earlier
// holders may have placed on it. They count as there until one of the proofs
// shows that they are not.
func (f *Fleet) RestoreMachine(now time.Time, id, addr, typ, zone string, spot bool, incarnation uint64, tasks map[string]uint64) {
	m := f.EnsureMachine(now, id, typ, zone, spot)
	m.Addr, m.RecordedIncarnation, m.provenEmpty, m.Recorded = addr, incarnation, false, true
	for name, attempt := range tasks {
		if t, err := wire.ParseTaskID(name); err == nil {
			f.addPlacement(m, &Placement{Task: t, Attempt: attempt, Machine: id, State: Fetching, Committed: true, PlacedAt: now, restored: true})
		}
	}
}

// Machine looks a machine up.
func (f *Fleet) Machine(id string) *Machine { return f.machines[id] }

// Machines lists all machines in order of their names. The list is the caller's
// to go through, whatever becomes of the machines meanwhile.
func (f *Fleet) Machines() []*Machine {
	return f.sortedMachines[:len(f.sortedMachines):len(f.sortedMachines)]
}

// MarkReleased notes that the cloud has acknowledged a machine's release: nothing
// that comes in its name later is news. After a cut, its reports may still do.
func (f *Fleet) MarkReleased(id string) {
	if m := f.machines[id]; m != nil {
		f.releasedMachines[id] = messageNumber{m.Incarnation, m.lastSeq}
	} else if !f.IsReleased(id) {
		f.releasedMachines[id] = messageNumber{}
	}
}

// IsReleased reports whether a machine is known to have been released.
func (f *Fleet) IsReleased(id string) bool { _, ok := f.releasedMachines[id]; return ok }

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

// RemoveMachine forgets a machine that is proven not to exist any more.
func (f *Fleet) RemoveMachine(id string) {
	if m := f.machines[id]; m != nil {
		for _, p := range m.Placements() {
			f.removePlacement(m, p)
		}
		delete(f.machines, id)
		f.sortedMachines = slices.DeleteFunc(slices.Clone(f.sortedMachines), func(o *Machine) bool { return o == m })
		f.goneMachines[id] = messageNumber{m.Incarnation, m.lastSeq}
	}
}

func (f *Fleet) removePlacement(m *Machine, p *Placement) {
	other := func(q *Placement) bool { return q == p }
	m.placements = slices.DeleteFunc(slices.Clone(m.placements), other)
	if rest := slices.DeleteFunc(slices.Clone(f.placementsByTask[p.Task]), other); len(rest) > 0 {
		f.placementsByTask[p.Task] = rest
	} else {
		delete(f.placementsByTask, p.Task)
	}
}

func (f *Fleet) addPlacement(m *Machine, p *Placement) {
	i, _ := slices.BinarySearchFunc(m.placements, p, byTask)
	m.placements = slices.Insert(slices.Clone(m.placements), i, p)
	f.placementsByTask[p.Task] = append(f.placementsByTask[p.Task], p)
}

// Place plans an attempt of a task on a machine. Nothing is said to the
// machine before Committed is set.
func (f *Fleet) Place(now time.Time, m *Machine, t wire.TaskID, attempt uint64) *Placement {
	p := &Placement{Task: t, Attempt: attempt, Machine: m.ID, PlacedAt: now}
	f.addPlacement(m, p)
	return p
}

// Withdraw takes a planned placement back; what was said can't be taken back.
func (f *Fleet) Withdraw(p *Placement) bool {
	if p.State != Planned || p.callPending {
		return false
	}
	f.removePlacement(f.machines[p.Machine], p)
	return true
}

// ActivePlacement gives the placement of a task that may hold resources, or nil when
// the task is nowhere as far as this fleet knows.
func (f *Fleet) ActivePlacement(t wire.TaskID) *Placement {
	var found *Placement
	for _, p := range f.placementsByTask[t] {
		if p.Active() && (found == nil || p.Attempt > found.Attempt) {
			found = p
		}
	}
	return found
}

// UnprovenMachines lists the machines that may hold tasks that nobody knows of.
func (f *Fleet) UnprovenMachines() []*Machine {
	var out []*Machine
	for _, m := range f.Machines() {
		if !m.SeenAtToken && !m.provenEmpty {
			out = append(out, m)
		}
	}
	return out
}

// Event is something that a report has shown.
type Event struct {
	Placement *Placement
	Gone      bool // it is no longer there, and did not end in sight
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

// duplicateCallWindow is for how long a copy of a call that was answered may yet come, and copyMost how
// many attempts stay on a machine's list for that: it goes into each of its reports.
const (
	duplicateCallWindow = 3 * time.Minute
	maxTombstones       = 100
)

// The outcomes of a direct call.
const (
	Unanswered CallOutcome = iota // it may have been executed, or may still be
	Executed
	Refused // it was not executed and never will be
)

// ExpireLeases applies the proofs that time gives, and returns what they show gone.
func (f *Fleet) ExpireLeases(now time.Time) []Event {
	var events []Event
	over := f.leaseExpiry()
	for _, m := range f.Machines() {
		switch {
		case m.SeenAtToken && now.Sub(m.LastResponse) > over:
			// Proof 3: every task of the session is killed, and what was said
			// to it can't be executed in the next.
			for _, p := range m.Placements() {
				f.removePlacement(m, p)
				events = append(events, Event{p, true})
			}
			if m.incarnationSeen { // or nothing can have been said in the one after it
				m.beginIncarnation(m.Incarnation + 1)
			}
			m.LastResponse = now
		case !m.SeenAtToken && !m.provenEmpty && now.Sub(f.ElectedAt) > over+f.predecessorGrace && now.Sub(m.LastResponse) > over:
			// Proof 5.
			m.provenEmpty = true
			for _, p := range m.Placements() {
				f.removePlacement(m, p)
				events = append(events, Event{p, true})
			}
		}
	}
	return events
}

// ApplyCloudList takes in a complete list of the cloud that was asked for at a time, and
// names the machines that it proves gone. A list may be old by twice the lag,
// so that a machine counts as gone only if it was known to exist well before.
func (f *Fleet) ApplyCloudList(asked, now time.Time, list []wire.ListedMachine) (gone []string) {
	stale := 2*f.listLag + 2*time.Second
	here := make(map[string]bool, len(list))
	for _, l := range list {
		here[l.ID] = true
		if l.Stage == wire.MachineFailed {
			gone = append(gone, l.ID)
			continue
		}
		if _, gone := f.goneMachines[l.ID]; gone {
			continue
		}
		m := f.EnsureMachine(now, l.ID, l.Type, l.Zone, l.Spot)
		if m.Addr == "" {
			m.Addr = l.Addr
		}
		if m.ListedAt.IsZero() {
			m.ListedAt = now
		}
	}
	for _, m := range f.Machines() {
		if here[m.ID] {
			continue
		}
		known := m.ListedAt
		if !m.LastHeartbeat.IsZero() && (known.IsZero() || m.UpSince.Before(known)) {
			known = m.UpSince
		}
		if known.IsZero() {
			known = m.Since.Add(60 * time.Second) // rented or recorded, never listed
		}
		if asked.Sub(known) > stale {
			gone = append(gone, m.ID)
		}
	}
	return gone
}
