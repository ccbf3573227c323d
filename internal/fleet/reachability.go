package fleet

import "time"

// maxSuspectedLosses is how many signs in a row that commands are lost count as proof: a single one may
// come from one lost response.
const maxSuspectedLosses = 2

// commandLoss counts the signs that a machine receives no commands although its heartbeats arrive.
// Nothing is launched on such a machine.
type commandLoss struct {
	suspectedLosses int       // signs in a row
	firstLossAt     time.Time // when the first of them was seen
}

// recordLostCommand notes a sign that a command to the machine was lost.
func (l *commandLoss) recordLostCommand(now time.Time) {
	l.suspectedLosses++
	if l.suspectedLosses == 1 {
		l.firstLossAt = now
	}
}

// certain notes that commands are certainly lost.
func (l *commandLoss) markCommandsLost(now time.Time) {
	l.suspectedLosses, l.firstLossAt = maxSuspectedLosses, now
}

// ReceivesCommands reports whether a machine receives commands, as far as is known. A worker
// that is still in the same incarnation after longer than that could last without a response does.
func (f *Fleet) ReceivesCommands(now time.Time, m *Machine) bool {
	return m.suspectedLosses < maxSuspectedLosses || now.Sub(m.firstLossAt) > f.leaseExpiry()+proofMargin
}

// HeartbeatsLost reports whether a machine has answered calls for so long while no heartbeat of its
// own came: its lease runs out, which calls don't renew, and with it what it runs.
func (m *Machine) HeartbeatsLost(now time.Time, wait time.Duration) bool {
	return !m.firstCallSinceHeartbeat.IsZero() && now.Sub(m.firstCallSinceHeartbeat) > wait
}
