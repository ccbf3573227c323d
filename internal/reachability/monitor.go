// Package reachability tells a shard's leader which machines it still receives heartbeats from,
// which ones it should call to find out more, and whether missing heartbeats are the fault of the
// machines or of the network between them and the leader.
//
// Monitor classifies single machines by the age of their last heartbeat and the results of direct
// calls, Fencing schedules the calls that only bring a fencing token and fetch a heartbeat, and
// Detector judges the fleet as a whole: when too many machines are missing at once, the leader
// itself is likely to be partitioned and must not evict anything.
//
// Nothing here is safe for concurrent use; the leader calls it under its lock. Time is an
// argument everywhere, so that every decision can be replayed.
package reachability

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
)

// Timeouts are the ages of a heartbeat at which a machine is treated differently. They follow from
// how often workers send heartbeats.
type Timeouts struct {
	Fresh       time.Duration // up to this age a machine is certainly connected
	Suspect     time.Duration // from this age it is called directly
	Unreachable time.Duration // from this age it may be evicted
	Lease       time.Duration // of a worker: after it without an answer, its tasks have stopped
	RebuildWait time.Duration // for which a new leader waits at most for the first heartbeat of a machine
}

const (
	// PauseThreshold is how long the leader may do nothing before it counts as paused. Rounds are
	// at most three seconds apart, also where the process is overloaded.
	PauseThreshold = 4 * time.Second
	// pauseGrace is for how long after a pause no machine counts as unreachable: heartbeats of the
	// pause found nobody to take them, and workers that tried other controllers need a few
	// seconds to come back.
	pauseGrace = 5 * time.Second
	// minConsecutiveFailures is how many calls in a row must fail before a machine that never sent a
	// heartbeat to this leader counts as unreachable. A single call may be lost.
	minConsecutiveFailures = 2
)

// Monitor tells how recently a leader received a heartbeat of each machine, and what became of the
// leader's calls to it.
type Monitor struct {
	Calls *CallLog

	fleet     *fleet.Fleet
	timeouts  Timeouts
	resumedAt time.Time // when the leader last continued after a pause
}

// NewMonitor returns a monitor of the machines of a fleet.
func NewMonitor(f *fleet.Fleet, t Timeouts) *Monitor {
	return &Monitor{Calls: newCallLog(), fleet: f, timeouts: t}
}

// NotePause records that the leader has just continued after a pause.
func (m *Monitor) NotePause(now time.Time) { m.resumedAt = now }

// PauseOver is when the leader last continued after a pause.
func (m *Monitor) PauseOver() time.Time { return m.resumedAt }

// CannotJudge reports whether the leader was elected or paused so lately that a missing heartbeat
// says nothing of a machine.
func (m *Monitor) CannotJudge(now time.Time) bool {
	return now.Sub(m.fleet.ElectedAt) < m.timeouts.Unreachable || m.resumedRecently(now)
}

func (m *Monitor) resumedRecently(now time.Time) bool { return now.Sub(m.resumedAt) < pauseGrace }

// HeartbeatAge is the time since the last heartbeat of a machine, or since the leader was elected
// if there was none under its token.
func (m *Monitor) HeartbeatAge(now time.Time, machine *fleet.Machine) time.Duration {
	if machine.LastHeartbeat.After(m.fleet.ElectedAt) {
		return now.Sub(machine.LastHeartbeat)
	}
	return now.Sub(m.fleet.ElectedAt)
}

// Suspected reports whether a heartbeat of a machine is overdue.
func (m *Monitor) Suspected(now time.Time, machine *fleet.Machine) bool {
	return m.HeartbeatAge(now, machine) > m.timeouts.Suspect
}

// Fresh reports whether a machine's last heartbeat is not yet due to be followed by another.
func (m *Monitor) Fresh(now time.Time, machine *fleet.Machine) bool {
	return m.HeartbeatAge(now, machine) < m.timeouts.Fresh
}

// Unreachable reports whether heartbeats of a machine have been missing for too long. A machine
// that never sent one under this leader's token may still be answered by the leader before, and
// calling all of a large fleet takes a while: only failed calls, or the end of every lease, show
// that such a machine is unreachable.
func (m *Monitor) Unreachable(now time.Time, machine *fleet.Machine) bool {
	if m.resumedRecently(now) {
		return false
	}
	if !machine.LastHeartbeat.IsZero() {
		return m.HeartbeatAge(now, machine) > m.timeouts.Unreachable
	}
	since := now.Sub(m.fleet.ElectedAt)
	if m.Calls.Last(machine.ID).Failures >= minConsecutiveFailures && since > min(m.timeouts.RebuildWait, m.timeouts.Unreachable) {
		return true
	}
	return since > m.timeouts.Unreachable+m.timeouts.Lease
}

// CallsFailed reports whether a call to a machine has failed since its last heartbeat.
func (m *Monitor) CallsFailed(machine *fleet.Machine) bool {
	last := m.Calls.Last(machine.ID)
	return last.Failures > 0 && last.StartedAt.After(machine.LastHeartbeat)
}

// PresumedLost reports whether an unreachable machine is likely to be lost: calls to it fail while
// calls to others are answered, or its heartbeats have been missing for so long that its tasks
// have stopped anyway. An answer counts only if it came after the first failed call: one from
// just before the network failed says nothing of the machine.
func (m *Monitor) PresumedLost(now time.Time, machine *fleet.Machine) bool {
	answered := now.Sub(m.Calls.lastAnswered) < answeredMaxAge && !m.Calls.lastAnswered.Before(m.Calls.Last(machine.ID).firstFailed)
	return m.CallsFailed(machine) && answered || m.HeartbeatAge(now, machine) > m.timeouts.Unreachable+m.timeouts.Lease
}

// CallFinished records whether a call from here was answered.
func (m *Monitor) CallFinished(now time.Time, machineID string, answered bool) {
	m.Calls.finish(now, machineID, answered)
	m.NoteCallResult(now, machineID, answered)
}

// NoteCallResult keeps the result of a call for CallsFailing. A failed call counts only if the
// machine is connected otherwise and takes commands: the others tell nothing of the way from here.
func (m *Monitor) NoteCallResult(now time.Time, machineID string, answered bool) {
	machine := m.fleet.Machine(machineID)
	if machine == nil {
		return
	}
	// This bound includes the age itself, unlike Fresh.
	connected := !machine.LastHeartbeat.IsZero() && m.HeartbeatAge(now, machine) <= m.timeouts.Fresh && m.fleet.ReceivesCommands(now, machine)
	if answered || connected {
		m.Calls.recordResult(now, answered)
	}
}

// ZoneHealth counts the machines of a zone that should send heartbeats, and those whose heartbeats
// are overdue. Controllers send it to each other: the names of its fields are part of the protocol.
type ZoneHealth struct{ Up, Quiet int }

// MostlyMissing reports whether heartbeats of more than half of the machines are overdue.
func (h ZoneHealth) MostlyMissing() bool { return h.Up >= MinMachinesToJudge && h.Quiet*2 > h.Up }

// ZoneHealth returns the health of each zone.
func (m *Monitor) ZoneHealth(now time.Time) map[string]ZoneHealth {
	out := make(map[string]ZoneHealth)
	for _, machine := range m.fleet.Machines() {
		if !shouldSendHeartbeats(machine) {
			continue
		}
		h := out[machine.Zone]
		h.Up++
		if m.Suspected(now, machine) || m.Unreachable(now, machine) {
			h.Quiet++
		}
		out[machine.Zone] = h
	}
	return out
}

// expected reports whether a machine should send heartbeats.
func shouldSendHeartbeats(machine *fleet.Machine) bool {
	return (machine.Up || machine.Recorded) && !machine.Releasing
}
