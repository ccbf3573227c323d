package simulator

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Launches counts what is started though its user was told that its job is cancelled. "From then
// on, no task of the job may be started", but "start commands still in flight" get cancel_s: so
// a start of what was sent before is counted and no more, and what is *sent* afterwards is a fault
// of the controllers, once all troubles are over: while they last a holder that the state service
// doesn't reach learns of it from nobody. It is pure: times and events come in.
type Launches struct {
	mu        sync.Mutex
	cancelled map[string]time.Time
	sent      map[launched]time.Time    // first
	newest    map[wire.TaskID]time.Time // when the newest attempt was first sent
	over      time.Time                 // since when all troubles are; zero while there are some
	late      []string                  // launches that were first sent after the answer
	after     []string                  // starts after it
	broken    []string
}

// knownWithin is for how long after the answer a launch may still be sent in quiet: whoever sends
// it learns of the cancellation by a watch.
const knownWithin = 2 * time.Second

// launched is an attempt of a task.
type launched struct {
	task    wire.TaskID
	attempt uint64
}

// Over tells since when all troubles are over; a zero time means that there are some.
func (l *Launches) Over(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = since
}

// Cancelled tells that a user was told that a job is cancelled.
func (l *Launches) Cancelled(now time.Time, job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled == nil {
		l.cancelled = make(map[string]time.Time)
	}
	if l.cancelled[job].IsZero() {
		l.cancelled[job] = now
	}
}

// Sees looks for launches in a message as it leaves a host: one to a machine, or the answer to
// its report.
func (l *Launches) Sees(now time.Time, from string, message []byte) {
	if !bytes.Contains(message, []byte(wire.Launch)) {
		return
	}
	_, body, _ := bytes.Cut(message, []byte("\r\n\r\n"))
	var m struct {
		Commands []wire.Command `cbor:"orders"`
	}
	if wire.Decode(body, &m) != nil {
		return
	}
	for _, c := range m.Commands {
		if id, err := wire.ParseTaskID(c.Task); err == nil && c.Verb == wire.Launch {
			l.Sent(now, from, id, c.Attempt)
		}
	}
}

// Sent tells that a controller sends a launch, for the first time or again.
func (l *Launches) Sent(now time.Time, from string, task wire.TaskID, attempt uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent == nil {
		l.sent, l.newest = make(map[launched]time.Time), make(map[wire.TaskID]time.Time)
	}
	k := launched{task, attempt}
	if !l.sent[k].IsZero() {
		return // once decided, it is sent until the machine is heard
	}
	l.sent[k], l.newest[task] = now, now
	told, ok := l.cancelled[task.Job]
	if !ok || now.Before(told) {
		return
	}
	text := fmt.Sprintf("%v#%d by %s, %v after its user was told", task, attempt, from, now.Sub(told))
	l.late = append(l.late, text)
	if !l.over.IsZero() && now.Sub(latest(told, l.over)) > knownWithin {
		l.broken = append(l.broken, "launched_cancelled: "+text)
	}
}

// Started tells that a task starts.
func (l *Launches) Started(now time.Time, task wire.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if told, ok := l.cancelled[task.Job]; ok {
		text := fmt.Sprintf("%v, %v after its user was told", task, now.Sub(told))
		if at := l.newest[task]; !at.IsZero() {
			text += fmt.Sprintf(", launched %v after", at.Sub(told))
		}
		l.after = append(l.after, text)
	}
}

// After lists the starts after an answer that the job is cancelled, and the launches that were
// first sent after it.
func (l *Launches) After() (starts, launches []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.after), slices.Clone(l.late)
}

// Broken lists the launches that no controller had to send.
func (l *Launches) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.broken)
}
