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
// "start commands still in flight" until cancel_s. A start whose command was sent before the user was
// told is therefore only counted, while a command that is sent afterwards is a violation, provided
// that no fault is active: during a fault, a leader without access to the state service cannot learn
// of the cancellation. LaunchChecker does no I/O: times and events are passed in.
type LaunchChecker struct {
	mu                sync.Mutex
	cancelled         map[string]time.Time // when the user was told, by job
	firstSent         map[launchKey]time.Time
	newestAttemptSent map[wire.TaskID]time.Time // when a launch of the newest attempt was first sent
	faultFreeSince    time.Time                 // zero while a fault is active
	lateLaunches      []string                  // launches that were first sent after the user was told
	lateStarts        []string                  // starts after the user was told
	violations        []string
}

// propagationDelay is how long after the user was told a launch may still be sent while no fault is
// active, since its sender learns of the cancellation through a watch.
const propagationDelay = 2 * time.Second

// launchKey identifies an attempt of a task.
type launchKey struct {
	task    wire.TaskID
	attempt uint64
}

// SetFaultFreeSince sets since when no fault has been active. The zero time means that a fault is active.
func (l *LaunchChecker) SetFaultFreeSince(since time.Time) {
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

// InspectMessage records the launches in a message that a host sends: a direct call to a machine, or the
// answer to its heartbeat.
func (l *LaunchChecker) InspectMessage(now time.Time, from string, message []byte) {
	if !bytes.Contains(message, []byte(wire.Launch)) {
		return
	}
	_, body, _ := bytes.Cut(message, []byte("\r\n\r\n"))
	var decoded struct {
		Commands []wire.Command `cbor:"orders"`
	}
	if wire.Decode(body, &decoded) != nil {
		return
	}
	for _, c := range decoded.Commands {
		if id, err := wire.ParseTaskID(c.Task); err == nil && c.Verb == wire.Launch {
			l.LaunchSent(now, from, id, c.Attempt)
		}
	}
}

// LaunchSent is called whenever a controller sends a launch. Only the first time counts.
func (l *LaunchChecker) LaunchSent(now time.Time, from string, task wire.TaskID, attempt uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstSent == nil {
		l.firstSent, l.newestAttemptSent = make(map[launchKey]time.Time), make(map[wire.TaskID]time.Time)
	}
	key := launchKey{task, attempt}
	if !l.firstSent[key].IsZero() {
		return // launches are repeated until the machine's next heartbeat
	}
	l.firstSent[key], l.newestAttemptSent[task] = now, now
	toldAt, ok := l.cancelled[task.Job]
	if !ok || now.Before(toldAt) {
		return
	}
	text := fmt.Sprintf("%v#%d by %s, %v after its user was told", task, attempt, from, now.Sub(toldAt))
	l.lateLaunches = append(l.lateLaunches, text)
	if !l.faultFreeSince.IsZero() && now.Sub(latest(toldAt, l.faultFreeSince)) > propagationDelay {
		l.violations = append(l.violations, "launched_cancelled: "+text)
	}
}

// TaskStarted is called when a task starts.
func (l *LaunchChecker) TaskStarted(now time.Time, task wire.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if toldAt, ok := l.cancelled[task.Job]; ok {
		text := fmt.Sprintf("%v, %v after its user was told", task, now.Sub(toldAt))
		if sentAt := l.newestAttemptSent[task]; !sentAt.IsZero() {
			text += fmt.Sprintf(", launched %v after", sentAt.Sub(toldAt))
		}
		l.lateStarts = append(l.lateStarts, text)
	}
}

// AfterCancellation lists the starts that took place after the user was told of a cancellation, and the
// launches that were first sent after that.
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
