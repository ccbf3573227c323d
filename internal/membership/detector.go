// Package membership tells which controllers live, by what each of them hears: a controller
// that one sibling does not hear may only be cut off from that one. It follows the ideas
// of the SWIM family (suspicion before removal, evidence of several) over the beats that
// controllers send each other anyway.
//
// No rule rests on it. It says who should hold what, and when it is worth while to end a
// silent holder's lease before its time; the store's fence decides who holds.
package membership

import (
	"slices"
	"strings"
	"time"
)

// State is what is thought of a controller.
type State int

// The states of a controller, the worse the higher.
const (
	Alive            State = iota
	StoreUnreachable       // it lives, but the store does not answer it
	Suspected              // not heard here for a while
	Dead                   // heard by nobody for a while, as all that are heard agree
)

func (s State) String() string {
	return [...]string{"alive", "refused by the store", "suspected", "dead"}[s]
}

// HeartbeatInterval is the time between two beats.
const HeartbeatInterval = time.Second

// Times after which a controller that is not heard is suspected, and how long nobody may
// have heard it before it counts as dead. What others hear of it is a beat old.
const (
	SuspectAfter = 2500 * time.Millisecond
	DeadAfter    = 4 * time.Second
)

// HeartbeatAges says for how long a controller has not heard each of its siblings.
type HeartbeatAges map[string]time.Duration

type peerState struct {
	lastHeartbeat time.Time
	storeOK       bool
	reportedAges  HeartbeatAges
}

// Detector is what one controller knows of the others. It is pure: times and beats come in.
type Detector struct {
	peers map[string]*peerState
}

// New gives the list of a controller's siblings, none of which has been heard yet.
func New(names []string) *Detector {
	l := &Detector{peers: make(map[string]*peerState)}
	for _, name := range names {
		l.peers[name] = &peerState{}
	}
	return l
}

// RecordHeartbeat takes in a beat.
func (l *Detector) RecordHeartbeat(now time.Time, name string, storeOK bool, reportedAges HeartbeatAges) {
	if s := l.peers[name]; s != nil {
		s.lastHeartbeat, s.storeOK, s.reportedAges = now, storeOK, reportedAges
	}
}

// HeartbeatAges tells for how long each sibling has not been heard here, for the beats to them. One
// that never was is left out.
func (l *Detector) HeartbeatAges(now time.Time) HeartbeatAges {
	out := make(HeartbeatAges, len(l.peers))
	for name, s := range l.peers {
		if !s.lastHeartbeat.IsZero() {
			out[name] = now.Sub(s.lastHeartbeat)
		}
	}
	return out
}

// State tells what is thought of a sibling. One that was never heard is suspected: it may
// not have begun.
func (l *Detector) State(now time.Time, name string) State {
	s := l.peers[name]
	switch {
	case s == nil || s.lastHeartbeat.IsZero():
		return Suspected
	case now.Sub(s.lastHeartbeat) < SuspectAfter && s.storeOK:
		return Alive
	case now.Sub(s.lastHeartbeat) < SuspectAfter:
		return StoreUnreachable
	case l.confirmedDead(now, name):
		return Dead
	}
	return Suspected
}

// confirmedDead reports whether every sibling that is heard says that it does not hear another
// either. Whoever hears no one at all, or too few, is cut off itself and says nothing.
func (l *Detector) confirmedDead(now time.Time, name string) bool {
	if now.Sub(l.peers[name].lastHeartbeat) < DeadAfter {
		return false
	}
	observers := 0
	for other, s := range l.peers {
		if other == name || now.Sub(s.lastHeartbeat) >= SuspectAfter || s.lastHeartbeat.IsZero() {
			continue
		}
		age, known := s.reportedAges[name]
		if !known || age+now.Sub(s.lastHeartbeat) < DeadAfter {
			return false
		}
		observers++
	}
	return observers > 0 && (observers+1)*2 > len(l.peers)+1 // with this one, more than half of all
}

// FirstAlive reports whether a controller comes first among those that live: of several that
// see the same, one acts at once and the others after it.
func (l *Detector) FirstAlive(now time.Time, me string) bool {
	for name := range l.peers {
		if strings.Compare(name, me) < 0 && l.State(now, name) == Alive {
			return false
		}
	}
	return true
}

// Alive names the siblings that live and that the store answers, in order.
func (l *Detector) Alive(now time.Time) []string {
	var out []string
	for name := range l.peers {
		if l.State(now, name) == Alive {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
