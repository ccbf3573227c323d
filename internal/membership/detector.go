// Package membership detects failed controllers. It combines the observations of several
// controllers, because a controller whose heartbeats one peer misses may only be partitioned from
// that peer. It applies the ideas of the SWIM protocol family (suspicion before removal, evidence
// from several observers) to the heartbeats that controllers exchange anyway.
//
// No safety property depends on it. It is used to choose which controller should lead each shard,
// and when to revoke a dead leader's lease before it expires. The fencing token in the state
// service determines who actually leads.
package membership

import (
	"slices"
	"strings"
	"time"
)

// State is the state of a peer as this controller sees it.
type State int

// The states of a peer, from best to worst.
const (
	Alive            State = iota
	StoreUnreachable       // alive, but gets no answers from the state service
	Suspected              // this controller has received no heartbeat from it recently
	Dead                   // a majority of the controllers receive no heartbeats from it
)

// String returns a readable name of the state.
func (s State) String() string {
	return [...]string{"alive", "refused by the store", "suspected", "dead"}[s]
}

const (
	// HeartbeatInterval is the interval at which a controller sends heartbeats to its peers.
	HeartbeatInterval = time.Second
	// SuspectAfter is the time without a heartbeat after which a peer is suspected. It tolerates two
	// lost or late heartbeats.
	SuspectAfter = 2500 * time.Millisecond
	// DeadAfter is the time without a heartbeat to any controller after which a peer counts as dead.
	// The ages that other controllers report are up to one HeartbeatInterval old.
	DeadAfter = 4 * time.Second
)

// HeartbeatAges maps each peer to the time since a controller received its last heartbeat. It is
// part of a gob message: its underlying type must not change, its name may.
type HeartbeatAges map[string]time.Duration

// peerState is what a peer's last heartbeat reported, and when it arrived.
type peerState struct {
	lastHeartbeat  time.Time
	storeReachable bool
	reportedAges   HeartbeatAges
}

// Detector tracks the state of one controller's peers. It performs no I/O: the caller passes in
// times and heartbeats. It is not safe for concurrent use.
type Detector struct {
	peers map[string]*peerState
}

// New returns a detector for the named peers, none of which has sent a heartbeat yet.
func New(names []string) *Detector {
	d := &Detector{peers: make(map[string]*peerState)}
	for _, name := range names {
		d.peers[name] = &peerState{}
	}
	return d
}

// RecordHeartbeat records a heartbeat from a peer and the heartbeat ages that it reports for other
// controllers. Heartbeats from unknown names are ignored.
func (d *Detector) RecordHeartbeat(now time.Time, name string, storeReachable bool, reportedAges HeartbeatAges) {
	if peer := d.peers[name]; peer != nil {
		peer.lastHeartbeat, peer.storeReachable, peer.reportedAges = now, storeReachable, reportedAges
	}
}

// HeartbeatAges returns the age of each peer's last heartbeat, for inclusion in this controller's own
// heartbeats. Peers that have never sent one are omitted.
func (d *Detector) HeartbeatAges(now time.Time) HeartbeatAges {
	ages := make(HeartbeatAges, len(d.peers))
	for name, peer := range d.peers {
		if !peer.lastHeartbeat.IsZero() {
			ages[name] = now.Sub(peer.lastHeartbeat)
		}
	}
	return ages
}

// State returns the state of a peer. A peer that has never sent a heartbeat is Suspected rather than
// Dead, because it may not have started yet.
func (d *Detector) State(now time.Time, name string) State {
	peer := d.peers[name]
	switch {
	case peer == nil || peer.lastHeartbeat.IsZero():
		return Suspected
	case now.Sub(peer.lastHeartbeat) < SuspectAfter && peer.storeReachable:
		return Alive
	case now.Sub(peer.lastHeartbeat) < SuspectAfter:
		return StoreUnreachable
	case d.confirmedDead(now, name):
		return Dead
	}
	return Suspected
}

// confirmedDead reports whether this controller and all peers that it receives heartbeats from are a
// majority of the controllers, and none of them has received a heartbeat from the named peer for
// DeadAfter. A controller without a majority may itself be partitioned, and confirms nothing.
func (d *Detector) confirmedDead(now time.Time, name string) bool {
	if now.Sub(d.peers[name].lastHeartbeat) < DeadAfter {
		return false
	}
	observers := 0
	for other, peer := range d.peers {
		if other == name || now.Sub(peer.lastHeartbeat) >= SuspectAfter || peer.lastHeartbeat.IsZero() {
			continue
		}
		age, known := peer.reportedAges[name]
		if !known || age+now.Sub(peer.lastHeartbeat) < DeadAfter {
			return false
		}
		observers++
	}
	return observers > 0 && (observers+1)*2 > len(d.peers)+1 // more than half, including this controller
}

// FirstAlive reports whether self sorts first by name among the controllers that are alive. Of
// several controllers with the same view, one can then act at once, and the others only if it fails.
func (d *Detector) FirstAlive(now time.Time, self string) bool {
	for name := range d.peers {
		if strings.Compare(name, self) < 0 && d.State(now, name) == Alive {
			return false
		}
	}
	return true
}

// Alive returns the sorted names of the peers in state Alive.
func (d *Detector) Alive(now time.Time) []string {
	var names []string
	for name := range d.peers {
		if d.State(now, name) == Alive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
