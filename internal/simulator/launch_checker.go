package simulator

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// LaunchChecker counts tasks that start although their user was already told that the job is
// cancelled. The protocol says "From then on, no task of the job may be started", but allows
// "start commands still in flight" until cancel_s: a start whose command was sent before is only
// counted, while a command *sent* afterwards is a violation once no fault is active (while there
// are faults, a leader without access to the state service cannot learn of the cancellation). It
// does no I/O: times and events are passed in.
type LaunchChecker struct {
	mu                sync.Mutex
	cancelled         map[string]time.Time
	firstSent         map[launchKey]time.Time
	newestAttemptSent map[wire.TaskID]time.Time // when the newest attempt was first sent
	faultFreeSince    time.Time                 // zero while there are faults
	lateLaunches      []string                  // commands first sent after the answer
	lateStarts        []string                  // starts after the answer
	violations        []string
}

// propagationDelay is how long after the answer a launch may still be sent without faults: its
// sender learns of the cancellation by a watch.
const propagationDelay = 2 * time.Second

// launchKey identifies an attempt of a task.
type launchKey struct {
	task    wire.TaskID
	attempt uint64
}

// SetQuietSince sets since when no fault is active; a zero time means that there are faults.
func (l *LaunchChecker) SetQuietSince(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultFreeSince = since
}

// Cancelled is called when a user was told that a job is cancelled.
func (l *LaunchChecker) Cancelled(now time.Time, job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled == nil {
		l.cancelled = make(map[string]time.Time)
	}
	if l.cancelled[job].IsZero() {
		l.cancelled[job] = now
	}
}

// InspectMessage looks for launches in a message as a host sends it: a direct call to a machine,
// or the answer to its heartbeat.
func (l *LaunchChecker) InspectMessage(now time.Time, from string, message []byte) {
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
			l.LaunchSent(now, from, id, c.Attempt)
		}
	}
}

// LaunchSent is called when a controller sends a launch, for the first time or again.
func (l *LaunchChecker) LaunchSent(now time.Time, from string, task wire.TaskID, attempt uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstSent == nil {
		l.firstSent, l.newestAttemptSent = make(map[launchKey]time.Time), make(map[wire.TaskID]time.Time)
	}
	k := launchKey{task, attempt}
	if !l.firstSent[k].IsZero() {
		return // a launch is repeated until the next heartbeat of its machine
	}
	l.firstSent[k], l.newestAttemptSent[task] = now, now
	told, ok := l.cancelled[task.Job]
	if !ok || now.Before(told) {
		return
	}
	text := fmt.Sprintf("%v#%d by %s, %v after its user was told", task, attempt, from, now.Sub(told))
	l.lateLaunches = append(l.lateLaunches, text)
	if !l.faultFreeSince.IsZero() && now.Sub(latest(told, l.faultFreeSince)) > propagationDelay {
		l.violations = append(l.violations, "launched_cancelled: "+text)
	}
}

// TaskStarted is called when a task starts.
func (l *LaunchChecker) TaskStarted(now time.Time, task wire.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if told, ok := l.cancelled[task.Job]; ok {
		text := fmt.Sprintf("%v, %v after its user was told", task, now.Sub(told))
		if at := l.newestAttemptSent[task]; !at.IsZero() {
			text += fmt.Sprintf(", launched %v after", at.Sub(told))
		}
		l.lateStarts = append(l.lateStarts, text)
	}
}

// AfterCancellation lists the starts after a confirmed cancellation, and the launches that were
// first sent after it.
func (l *LaunchChecker) AfterCancellation() (starts, launches []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lateStarts), slices.Clone(l.lateLaunches)
}

// Violations lists the launches that should not have been sent.
func (l *LaunchChecker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}
