package fleet

import (
	"cmp"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Machine is a machine on which tasks may be launched, or may have been launched earlier.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	Recorded             bool                 // in the state service, which is required before anything is launched on it
	DiscoveredAt         time.Time            // when this leader learned of it
	ListedAt             time.Time            // when the cloud first listed it
	TerminationTime      time.Time            // when the cloud terminates it; zero without a termination notice
	Cordoned             bool                 // nothing new is placed here
	Releasing            bool                 // its release has been requested
	JobFailures          map[string]time.Time // when each job last failed here, since a task was last done here
	IdleSince            time.Time            // since when it has had no tasks

	Up          bool // a heartbeat has been received
	UpSince     time.Time
	SeenAtToken bool // a heartbeat at the leader's own fencing token has been received
	provenEmpty bool // holds no tasks of earlier leaders, although it was not seen at the token

	LastHeartbeat           time.Time // when the last new heartbeat was received, including in reply to a call
	LastResponse            time.Time // when the last response that it may have received was sent
	firstCallSinceHeartbeat time.Time // first answered call since its last unsolicited heartbeat; zero for none

	RecordedIncarnation uint64 // from the state service: a guess that the first call uses
	incarnationState
	commandLoss
	imageCache

	placements []*Placement // sorted by task and attempt; copied on change, never changed in place
}

// incarnationState holds what is known about the current incarnation of a machine's worker.
type incarnationState struct {
	Incarnation     uint64
	incarnationSeen bool      // a heartbeat of this incarnation has been received
	lastSeq         uint64    // sequence number of its newest heartbeat
	heartbeatSeq    uint64    // sequence number of its newest heartbeat that was not a reply to a call
	heartbeatAt     time.Time // when that heartbeat was received
	launchSeq       uint64    // sequence number of its newest heartbeat whose response carried launches
}

// beginIncarnation switches to a new incarnation from which nothing has been received yet. The machine
// keeps its images, except for those still being fetched: no task waits for them any more.
func (m *Machine) beginIncarnation(incarnation uint64) {
	m.incarnationState = incarnationState{Incarnation: incarnation, heartbeatAt: m.heartbeatAt}
	m.evictUnfetched()
}

// lastHeartbeatID returns the ID of the newest heartbeat.
func (m *Machine) lastHeartbeatID() heartbeatID { return heartbeatID{m.Incarnation, m.lastSeq} }

// launchable reports whether tasks may be launched on the machine.
func (m *Machine) launchable() bool {
	return m.SeenAtToken && !m.Cordoned && !m.Releasing && m.TerminationTime.IsZero()
}

// isStale reports whether the worker no longer waits for the response to a heartbeat: it has sent a
// newer one, is in a later incarnation, or sent this one too long ago. A response to a stale heartbeat
// does not renew the lease, so it does not delay a proof by lease expiry.
func (m *Machine) isStale(now time.Time, hb *wire.Heartbeat) bool {
	if hb.Incarnation != m.Incarnation {
		return hb.Incarnation < m.Incarnation
	}
	return hb.Seq < m.heartbeatSeq || hb.Seq == m.heartbeatSeq && now.Sub(m.heartbeatAt) > proofMargin
}

// Placements returns the attempts that are or may be on the machine, sorted by task and attempt. The
// caller may iterate over the list while placements are added and removed.
func (m *Machine) Placements() []*Placement { return m.placements }

func compareByTask(a, b *Placement) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// findPlacement returns the placement of an attempt, or nil.
func (m *Machine) findPlacement(task wire.TaskID, attempt uint64) *Placement {
	for _, p := range m.placements {
		if p.Attempt == attempt && p.Task == task {
			return p
		}
	}
	return nil
}

// ActiveAttempts returns, by task, the newest attempt that may hold resources of the machine. An attempt that
// has ended is not among them, even if a call with its launch is still pending: a late launch has no effect
// while the worker lists the attempt, and once a command with a later fencing token has cleared the attempt,
// the launch is refused.
func (m *Machine) ActiveAttempts() map[string]uint64 {
	out := make(map[string]uint64)
	for _, p := range m.placements {
		if !p.Active() {
			continue
		}
		task := p.Task.String()
		out[task] = max(out[task], p.Attempt)
	}
	return out
}

// CountActive counts the attempts that may hold resources of the machine.
func (m *Machine) CountActive() (n int) {
	for _, p := range m.placements {
		if p.Active() {
			n++
		}
	}
	return n
}

// countSentByCall counts the attempts on the machine's list that were launched by direct calls.
func (m *Machine) countSentByCall() (n int) {
	for _, p := range m.placements {
		if p.sentByCall {
			n++
		}
	}
	return n
}
