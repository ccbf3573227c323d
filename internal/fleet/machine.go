package fleet

import (
	"cmp"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Machine is a machine that may be launched on, or may once have been.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	Recorded             bool           // in the state service, so that it may be launched on
	Since                time.Time      // when this leader came to know it
	ListedAt             time.Time      // when the cloud first listed it
	TerminationTime      time.Time      // when the cloud takes it away; zero without a notice
	DrainReason          string         // why nothing is placed here any more; empty while it may be
	Releasing            bool           // its release was asked for
	JobFailures          map[string]int // failed attempts here, by job
	IdleSince            time.Time      // since when it has had no task

	Up          bool // a heartbeat has come
	UpSince     time.Time
	SeenAtToken bool // a heartbeat has come at the leader's own fencing token
	provenEmpty bool // nothing from before the token is on it, though it was not seen at the token

	LastHeartbeat           time.Time // when the last new heartbeat came, also in answer to a call
	LastResponse            time.Time // when the last response was sent that it may have taken
	firstCallSinceHeartbeat time.Time // when a call was first answered since its last own heartbeat; zero for none

	RecordedIncarnation uint64 // the one that the state service names: a guess for the first call
	incarnationState
	commandLoss
	imageCache

	placements []*Placement // sorted by task and attempt; replaced, never changed in place
}

// incarnationState is what is known of the present incarnation of a machine's worker.
type incarnationState struct {
	Incarnation     uint64
	incarnationSeen bool      // a heartbeat of it has come
	latestSeq       uint64    // of its newest heartbeat
	unsolicitedSeq  uint64    // of its newest own heartbeat
	unsolicitedAt   time.Time // when that came
	launchSeq       uint64    // of its newest heartbeat of which the response carried launches
}

// beginIncarnation moves on to an incarnation of which nothing has come yet. The machine stays, and
// so do its images, but for those that were only being fetched: nobody waits for them.
func (m *Machine) beginIncarnation(incarnation uint64) {
	m.incarnationState = incarnationState{Incarnation: incarnation, unsolicitedAt: m.unsolicitedAt}
	m.evictUnfetched()
}

// lastHeartbeatID returns the number of the newest heartbeat.
func (m *Machine) lastHeartbeatID() heartbeatID { return heartbeatID{m.Incarnation, m.latestSeq} }

// launchable reports whether a machine may be launched on.
func (m *Machine) launchable() bool {
	return m.SeenAtToken && m.DrainReason == "" && !m.Releasing && m.TerminationTime.IsZero()
}

// isStale reports whether the worker waits for no response to a heartbeat any more: it has sent a
// newer one, or is in a later incarnation, or sent this one too long ago. Such a response renews no
// lease, and a proof by time does not wait for it.
func (m *Machine) isStale(now time.Time, hb *wire.Heartbeat) bool {
	if hb.Incarnation != m.Incarnation {
		return hb.Incarnation < m.Incarnation
	}
	return hb.Seq < m.unsolicitedSeq || hb.Seq == m.unsolicitedSeq && now.Sub(m.unsolicitedAt) > proofMargin
}

// Placements lists what is or may be on the machine, sorted by task and attempt. The list is the
// caller's to go through, whatever becomes of the placements meanwhile.
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

// PossibleAttempts names every attempt that is or may yet be on the machine, by its task.
func (m *Machine) PossibleAttempts() map[string]uint64 {
	out := make(map[string]uint64)
	for _, p := range m.placements {
		if p.mayBePresent() {
			task := p.Task.String()
			out[task] = max(out[task], p.Attempt)
		}
	}
	return out
}

// CountPossible counts the attempts that are or may yet be on the machine.
func (m *Machine) CountPossible() (n int) {
	for _, p := range m.placements {
		if p.mayBePresent() {
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
