package fleet

import (
	"cmp"
	"time"
)

// Machine is a machine that may be launched on, or may once have been.
type Machine struct {
	ID, Addr, Type, Zone    string
	Spot                    bool
	Up                      bool // has reported
	SeenAtToken             bool // has been seen at the own term
	Since                   time.Time
	UpSince                 time.Time
	LastHeartbeat           time.Time // last new report
	firstCallSinceHeartbeat time.Time // first call that was answered since it last reported by itself
	LastResponse            time.Time // last answer that it may have taken
	TerminationTime         time.Time // when the cloud takes it away; zero: no notice
	DrainReason             string    // why nothing is placed here any more
	Releasing               bool
	Recorded                bool           // in the store, so that it may be launched on
	JobFailures             map[string]int // jobs that failed here
	IdleSince               time.Time
	ListedAt                time.Time // when the cloud first listed it
	images                  map[string]cachedImage
	imagesGB                float64

	Incarnation uint64
	// RecordedIncarnation is the one that the store names: a guess for the first call.
	RecordedIncarnation uint64
	lastSeq             uint64       // of the newest message
	heartbeatSeq        uint64       // of the newest report
	heartbeatAt         time.Time    // when that came
	launchSeq           uint64       // of the newest report of which the answer carried launches
	incarnationSeen     bool         // something of the session has been heard
	lostCommands        int          // signs in a row that it takes nothing that it is told
	lostCommandsSince   time.Time    // when the first of them was seen, of this session
	provenEmpty         bool         // holds nothing from before the term, though not seen at it
	placements          []*Placement // in a fixed order; replaced, never changed in place
}

// beginIncarnation moves on to a session of which nothing has been heard yet. The machine lives on, and
// so do its images, but for those that were only being fetched: nobody waits for them.
func (m *Machine) beginIncarnation(incarnation uint64) {
	m.Incarnation, m.lastSeq, m.heartbeatSeq, m.launchSeq, m.incarnationSeen = incarnation, 0, 0, 0, false
	for name, c := range m.images {
		if !c.present {
			m.evictImage(name)
		}
	}
}

// Placements lists what is or may be on the machine, in a fixed order. The list
// is the caller's to go through, whatever becomes of the placements meanwhile.
func (m *Machine) Placements() []*Placement { return m.placements }

func byTask(a, b *Placement) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Attempt, b.Attempt))
}

// findPlacement gives the placement of an attempt.
func (m *Machine) findPlacement(k placementKey) *Placement {
	for _, p := range m.placements {
		if p.Attempt == k.attempt && p.Task == k.task {
			return p
		}
	}
	return nil
}

// PossibleAttempts names every attempt that is or may yet be on the machine.
func (m *Machine) PossibleAttempts() map[string]uint64 {
	out := make(map[string]uint64)
	for _, p := range m.placements {
		if p.Active() || p.callPending {
			out[p.Task.String()] = max(out[p.Task.String()], p.Attempt)
		}
	}
	return out
}

// CountPossible counts the attempts that are or may yet be on the machine.
func (m *Machine) CountPossible() (n int) {
	for _, p := range m.placements {
		if p.Active() || p.callPending {
			n++
		}
	}
	return n
}
