// Package membership detects failures among controllers, from what each of them receives: a
// controller that one peer gets no heartbeats of may only be cut off from that one. It follows the
// ideas of the SWIM family (suspicion before removal, evidence of several observers) over the
// heartbeats that controllers send each other anyway.
//
// No safety rule rests on it. It decides who should lead which shard, and when it is worth while to
// revoke a dead leader's lease before it expires; the fence in the state service decides who leads.
package membership

import (
	"slices"
	"strings"
	"time"
)

// State is what this controller believes of a peer.
type State int

// The states of a peer, the worse the higher.
const (
	Alive            State = iota
	StoreUnreachable       // it is alive, but the state service does not answer it
	Suspected              // no heartbeat of it has come here for a while
	Dead                   // no controller gets heartbeats of it, as a majority agrees
)

// String returns the state in words.
func (s State) String() string {
	return [...]string{"alive", "refused by the store", "suspected", "dead"}[s]
}

const (
	// HeartbeatInterval is the time between two heartbeats of a controller.
	HeartbeatInterval = time.Second
	// SuspectAfter is after how long without a heartbeat a peer is suspected: two may be lost or late.
	SuspectAfter = 2500 * time.Millisecond
	// DeadAfter is for how long no controller may have got a heartbeat of a peer before it counts
	// as dead. What other controllers report about it is up to an interval old.
	DeadAfter = 4 * time.Second
)

// HeartbeatAges maps each peer to how long ago a controller got its last heartbeat. It is part of a
// gob message, which needs its form but not its name.
type HeartbeatAges map[string]time.Duration

// peerState is the content of a peer's last heartbeat.
type peerState struct {
	lastHeartbeat  time.Time
	storeReachable bool
	reportedAges   HeartbeatAges
}

// Detector is what one controller knows of its peers. It does no I/O: times and heartbeats are
// passed in. It is not safe for concurrent use.
type Detector struct {
	peers map[string]*peerState
}

// New returns the detector for peers, none of which has sent a heartbeat yet.
func New(names []string) *Detector {
	d := &Detector{peers: make(map[string]*peerState)}
	for _, name := range names {
		d.peers[name] = &peerState{}
	}
	return d
}

// RecordHeartbeat records a peer's heartbeat, and the ages that it reports for the other peers.
func (d *Detector) RecordHeartbeat(now time.Time, name string, storeReachable bool, reportedAges HeartbeatAges) {
	if s := d.peers[name]; s != nil {
		s.lastHeartbeat, s.storeReachable, s.reportedAges = now, storeReachable, reportedAges
	}
}

// HeartbeatAges returns how old each peer's last heartbeat is, to be sent in this controller's own.
// A peer that has never sent one is left out.
func (d *Detector) HeartbeatAges(now time.Time) HeartbeatAges {
	out := make(HeartbeatAges, len(d.peers))
	for name, s := range d.peers {
		if !s.lastHeartbeat.IsZero() {
			out[name] = now.Sub(s.lastHeartbeat)
		}
	}
	return out
}

// State returns the state of a peer. One that has never sent a heartbeat is suspected: it may not
// have started.
func (d *Detector) State(now time.Time, name string) State {
	s := d.peers[name]
	switch {
	case s == nil || s.lastHeartbeat.IsZero():
		return Suspected
	case now.Sub(s.lastHeartbeat) < SuspectAfter && s.storeReachable:
		return Alive
	case now.Sub(s.lastHeartbeat) < SuspectAfter:
		return StoreUnreachable
	case d.confirmedDead(now, name):
		return Dead
	}
	return Suspected
}

// confirmedDead reports whether a majority, of this controller and all peers that it gets
// heartbeats of, get none of a peer. A controller that reaches no majority may be cut off itself,
// and confirms nothing.
func (d *Detector) confirmedDead(now time.Time, name string) bool {
	if now.Sub(d.peers[name].lastHeartbeat) < DeadAfter {
		return false
	}
	observers := 0
	for other, s := range d.peers {
		if other == name || now.Sub(s.lastHeartbeat) >= SuspectAfter || s.lastHeartbeat.IsZero() {
			continue
		}
		age, known := s.reportedAges[name]
		if !known || age+now.Sub(s.lastHeartbeat) < DeadAfter {
			return false
		}
		observers++
	}
	return observers > 0 && (observers+1)*2 > len(d.peers)+1 // with this controller, more than half of all
}

// FirstAlive reports whether a controller comes first, by name, among those that are alive: of
// several that see the same, one acts at once and the others only if that fails.
func (d *Detector) FirstAlive(now time.Time, self string) bool {
	for name := range d.peers {
		if strings.Compare(name, self) < 0 && d.State(now, name) == Alive {
			return false
		}
	}
	return true
}

// Alive names the peers that are alive and that the state service answers, in order.
func (d *Detector) Alive(now time.Time) []string {
	var out []string
	for name := range d.peers {
		if d.State(now, name) == Alive {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
