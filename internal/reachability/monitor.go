// Package reachability tells the leader of a shard which machines it still receives heartbeats from,
// which machines to call to find out more, and whether missing heartbeats are due to the machines or to
// the network between them and the leader.
//
// Monitor classifies single machines by the age of their last heartbeat and the results of direct
// calls. Fencing schedules the calls that only deliver a fencing token and fetch a heartbeat. Detector
// judges the fleet as a whole: when too many machines are missing at once, the leader itself is likely
// to be partitioned and must not evict anything.
//
// Nothing in this package is safe for concurrent use; the leader calls it under its lock. The time is
// always passed as an argument, so that every decision can be replayed.
package reachability

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
)

// Timeouts are the heartbeat ages at which the treatment of a machine changes. They are derived from the
// interval at which workers send heartbeats.
type Timeouts struct {
	Fresh       time.Duration // up to this age a machine is certainly connected
	Suspect     time.Duration // from this age it is called directly
	Unreachable time.Duration // from this age it may be evicted
	Lease       time.Duration // of a worker: once it has received no response for so long, its tasks have stopped
	RebuildWait time.Duration // how long a new leader waits at most for the first heartbeat of a machine
}

const (
	// PauseThreshold is how long the leader may be inactive before it counts as having been paused.
	// Scheduling rounds are at most 3 s apart, even if the process is overloaded.
	PauseThreshold = 4 * time.Second
	// pauseGrace is how long after a pause no machine counts as unreachable: heartbeats that were sent
	// during the pause were not received, and workers that tried other controllers need a few seconds
	// to return.
	pauseGrace = 5 * time.Second
	// minConsecutiveFailures is how many calls in a row must fail before a machine that never sent a
	// heartbeat to this leader counts as unreachable. A single call may be lost.
	minConsecutiveFailures = 2
)

// Monitor tracks how recently a leader received a heartbeat from each machine, and the results of the
// calls to it.
type Monitor struct {
	Calls *CallLog

	fleet     *fleet.Fleet
	timeouts  Timeouts
	resumedAt time.Time // when the leader last resumed after a pause
}

// NewMonitor returns a monitor of the machines of a fleet.
func NewMonitor(f *fleet.Fleet, t Timeouts) *Monitor {
	return &Monitor{Calls: newCallLog(), fleet: f, timeouts: t}
}

// RecordPause records that the leader has just resumed after a pause.
func (m *Monitor) RecordPause(now time.Time) { m.resumedAt = now }

// ResumedAt returns when the leader last resumed after a pause.
func (m *Monitor) ResumedAt() time.Time { return m.resumedAt }

// CannotJudge reports whether the leader was elected or resumed after a pause so recently that a missing
// heartbeat says nothing about a machine.
func (m *Monitor) CannotJudge(now time.Time) bool {
	return now.Sub(m.fleet.ElectedAt) < m.timeouts.Unreachable || m.resumedRecently(now)
}

// resumedRecently reports whether the grace period after a pause is not over yet.
func (m *Monitor) resumedRecently(now time.Time) bool { return now.Sub(m.resumedAt) < pauseGrace }

// HeartbeatAge returns the time since the last heartbeat of a machine, or since the leader was elected
// if none has been received since then.
func (m *Monitor) HeartbeatAge(now time.Time, machine *fleet.Machine) time.Duration {
	if machine.LastHeartbeat.After(m.fleet.ElectedAt) {
		return now.Sub(machine.LastHeartbeat)
	}
	return now.Sub(m.fleet.ElectedAt)
}

// Suspected reports whether a machine's heartbeat is overdue.
func (m *Monitor) Suspected(now time.Time, machine *fleet.Machine) bool {
	return m.HeartbeatAge(now, machine) > m.timeouts.Suspect
}

// Fresh reports whether a machine's last heartbeat is so recent that the next one is not due yet.
func (m *Monitor) Fresh(now time.Time, machine *fleet.Machine) bool {
	return m.HeartbeatAge(now, machine) < m.timeouts.Fresh
}

// Unreachable reports whether heartbeats of a machine have been missing for too long. A machine from
// which this leader never received one may still be answered by the previous leader, and calling all
// machines of a large fleet takes a while. Only failed calls, or the expiry of every lease, show that
// such a machine is unreachable.
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
// calls to others are answered, or its heartbeats have been missing for so long that its tasks have
// stopped anyway. An answer counts only if it was not received before the first failed call started: an
// answer from just before a network failure says nothing about the machine.
func (m *Monitor) PresumedLost(now time.Time, machine *fleet.Machine) bool {
	answered := now.Sub(m.Calls.lastAnswered) < answeredMaxAge && !m.Calls.lastAnswered.Before(m.Calls.Last(machine.ID).firstFailed)
	return m.CallsFailed(machine) && answered || m.HeartbeatAge(now, machine) > m.timeouts.Unreachable+m.timeouts.Lease
}

// CallFinished records whether a call from this controller was answered.
func (m *Monitor) CallFinished(now time.Time, machineID string, answered bool) {
	m.Calls.finish(now, machineID, answered)
	m.RecordCallResult(now, machineID, answered)
}

// RecordCallResult records the result of a call for CallLog.Failing. A failed call counts only if
// heartbeats from the machine arrive and it receives commands: a failed call to any other machine says
// nothing about the network between this controller and the machines.
func (m *Monitor) RecordCallResult(now time.Time, machineID string, answered bool) {
	machine := m.fleet.Machine(machineID)
	if machine == nil {
		return
	}
	// Unlike Fresh, this also accepts an age equal to the timeout.
	connected := !machine.LastHeartbeat.IsZero() && m.HeartbeatAge(now, machine) <= m.timeouts.Fresh && m.fleet.ReceivesCommands(now, machine)
	if answered || connected {
		m.Calls.recordResult(now, answered)
	}
}

// ZoneHealth counts the machines of a zone that should send heartbeats (Up) and those of them whose
// heartbeats are overdue (Quiet). Controllers send it to each other, so the names of its fields are part
// of the protocol.
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

// shouldSendHeartbeats reports whether heartbeats are expected from a machine.
func shouldSendHeartbeats(machine *fleet.Machine) bool {
	return (machine.Up || machine.Recorded) && !machine.Releasing
}
