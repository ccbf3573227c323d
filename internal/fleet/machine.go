package fleet

import (
	"cmp"
	"time"

	"amberdeal.example/amberdeal/wire"
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

func (m *Machine) evictImage(image string) {
	m.imagesGB -= m.images[image].gb
	delete(m.images, image)
}

// A machine may be deaf: its reports come, and what it is told is lost. After so many signs of
// it in a row nothing is launched there.
const maxLostCommands = 2

// noteLostCommand notes that what a machine was told was lost.
func (m *Machine) noteLostCommand(now time.Time) {
	if m.lostCommands++; m.lostCommands == 1 {
		m.lostCommandsSince = now
	}
}

// HeartbeatsLost reports whether a machine has answered calls for so long while no report of it came: what it
// runs ends with its lease, which calls don't renew.
func (m *Machine) HeartbeatsLost(now time.Time, wait time.Duration) bool {
	return !m.firstCallSinceHeartbeat.IsZero() && now.Sub(m.firstCallSinceHeartbeat) > wait
}

// noteResponse notes that the lease may count from as late as now.
func (m *Machine) noteResponse(now time.Time) {
	if m.LastResponse.Before(now) {
		m.LastResponse = now
	}
}

// cachedImage is an image that a machine should hold.
type cachedImage struct {
	gb       float64
	lastUsed time.Time
	present  bool // it has come, as far as is known
}

// UseImage notes that a task on the machine uses an image, or waits for it. The machine caches the
// most recently used images, as far as they fit its cache together.
func (m *Machine) UseImage(now time.Time, image string, gb, cacheGB float64, here bool) {
	c, known := m.images[image]
	if !known {
		m.imagesGB += gb
	}
	m.images[image] = cachedImage{gb, now, here || c.present}
	for m.imagesGB > cacheGB && len(m.images) > 1 {
		oldest := ""
		for name, c := range m.images {
			if o := m.images[oldest]; oldest == "" || c.lastUsed.Before(o.lastUsed) || c.lastUsed.Equal(o.lastUsed) && name < oldest {
				oldest = name
			}
		}
		if oldest == image {
			return
		}
		m.evictImage(oldest)
	}
}

// HasImage reports whether the machine should hold an image, or fetches it.
func (m *Machine) HasImage(image string) bool { _, ok := m.images[image]; return ok }

// LacksImage reports whether an image that a task here needs has not come yet.
func (m *Machine) LacksImage(image string) bool {
	c, ok := m.images[image]
	return !ok || !c.present
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

// messageNumber orders the messages of a machine.
type messageNumber struct{ incarnation, seq uint64 }

func (n messageNumber) before(r *wire.Heartbeat) bool {
	return r.Incarnation > n.incarnation || r.Incarnation == n.incarnation && r.Seq > n.seq
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
