package membership

import (
	"time"
)

// Incarnations tells the beats of a process from those of an earlier one of its name, which may
// arrive after it: what a life before said of itself and of others holds no more.
type Incarnations struct{ latest map[string]incarnation }

type incarnation struct {
	begun         int64 // by its own clock
	number        uint64
	lastHeartbeat time.Time
}

// Superseded reports whether a life has been followed by another. Clocks may have been set back
// between the two, so that this is only believed while the other is heard. From a version
// that does not say when it began none is past.
func (l *Incarnations) Superseded(now time.Time, name string, begun int64) bool {
	last := l.latest[name]
	return begun != 0 && begun < last.begun && now.Sub(last.lastHeartbeat) < SuspectAfter
}

// Accept takes in a beat, and reports whether it is news: of no past life, no copy, and not
// overtaken by another.
func (l *Incarnations) Accept(now time.Time, name string, begun int64, number uint64) bool {
	last, known := l.latest[name]
	switch {
	case begun == 0:
		return true
	case known && begun == last.begun && number <= last.number:
		return false
	case l.Superseded(now, name, begun):
		return false
	}
	if l.latest == nil {
		l.latest = make(map[string]incarnation)
	}
	l.latest[name] = incarnation{begun, number, now}
	return true
}
