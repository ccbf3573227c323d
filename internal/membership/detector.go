// Package member tells which controllers live, by what each of them hears: a controller
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
	Alive     State = iota
	Refused         // it lives, but the store does not answer it
	Suspected       // not heard here for a while
	Dead            // heard by nobody for a while, as all that are heard agree
)

func (s State) String() string {
	return [...]string{"alive", "refused by the store", "suspected", "dead"}[s]
}

// Every is the time between two beats.
const Every = time.Second

// Times after which a controller that is not heard is suspected, and how long nobody may
// have heard it before it counts as dead. What others hear of it is a beat old.
const (
	SuspectAfter = 2500 * time.Millisecond
	DeadAfter    = 4 * time.Second
)

// Silences says for how long a controller has not heard each of its siblings.
type Silences map[string]time.Duration

type sibling struct {
	heard   time.Time
	storeOK bool
	says    Silences
}

// List is what one controller knows of the others. It is pure: times and beats come in.
type List struct {
	siblings map[string]*sibling
}

// New gives the list of a controller's siblings, none of which has been heard yet.
func New(names []string) *List {
	l := &List{siblings: make(map[string]*sibling)}
	for _, name := range names {
		l.siblings[name] = &sibling{}
	}
	return l
}

// Heard takes in a beat.
func (l *List) Heard(now time.Time, name string, storeOK bool, says Silences) {
	if s := l.siblings[name]; s != nil {
		s.heard, s.storeOK, s.says = now, storeOK, says
	}
}

// Says tells for how long each sibling has not been heard here, for the beats to them. One
// that never was is left out.
func (l *List) Says(now time.Time) Silences {
	out := make(Silences, len(l.siblings))
	for name, s := range l.siblings {
		if !s.heard.IsZero() {
			out[name] = now.Sub(s.heard)
		}
	}
	return out
}

// State tells what is thought of a sibling. One that was never heard is suspected: it may
// not have begun.
func (l *List) State(now time.Time, name string) State {
	s := l.siblings[name]
	switch {
	case s == nil || s.heard.IsZero():
		return Suspected
	case now.Sub(s.heard) < SuspectAfter && s.storeOK:
		return Alive
	case now.Sub(s.heard) < SuspectAfter:
		return Refused
	case l.agreed(now, name):
		return Dead
	}
	return Suspected
}

// agreed reports whether every sibling that is heard says that it does not hear another
// either. Whoever hears no one at all, or too few, is cut off itself and says nothing.
func (l *List) agreed(now time.Time, name string) bool {
	if now.Sub(l.siblings[name].heard) < DeadAfter {
		return false
	}
	witnesses := 0
	for other, s := range l.siblings {
		if other == name || now.Sub(s.heard) >= SuspectAfter || s.heard.IsZero() {
			continue
		}
		silent, known := s.says[name]
		if !known || silent+now.Sub(s.heard) < DeadAfter {
			return false
		}
		witnesses++
	}
	return witnesses > 0 && (witnesses+1)*2 > len(l.siblings)+1 // with this one, more than half of all
}

// First reports whether a controller comes first among those that live: of several that
// see the same, one acts at once and the others after it.
func (l *List) First(now time.Time, me string) bool {
	for name := range l.siblings {
		if strings.Compare(name, me) < 0 && l.State(now, name) == Alive {
			return false
		}
	}
	return true
}

// Alive names the siblings that live and that the store answers, in order.
func (l *List) Alive(now time.Time) []string {
	var out []string
	for name := range l.siblings {
		if l.State(now, name) == Alive {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Lives tells the beats of a process from those of an earlier one of its name, which may
// arrive after it: what a life before said of itself and of others holds no more.
type Lives struct{ latest map[string]life }

type life struct {
	begun  int64 // by its own clock
	number uint64
	heard  time.Time
}

// Past reports whether a life has been followed by another. Clocks may have been set back
// between the two, so that this is only believed while the other is heard. From a version
// that does not say when it began none is past.
func (l *Lives) Past(now time.Time, name string, begun int64) bool {
	last := l.latest[name]
	return begun != 0 && begun < last.begun && now.Sub(last.heard) < SuspectAfter
}

// Fresh takes in a beat, and reports whether it is news: of no past life, no copy, and not
// overtaken by another.
func (l *Lives) Fresh(now time.Time, name string, begun int64, number uint64) bool {
	last, known := l.latest[name]
	switch {
	case begun == 0:
		return true
	case known && begun == last.begun && number <= last.number:
		return false
	case l.Past(now, name, begun):
		return false
	}
	if l.latest == nil {
		l.latest = make(map[string]life)
	}
	l.latest[name] = life{begun, number, now}
	return true
}
