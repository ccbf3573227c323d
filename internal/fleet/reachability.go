package fleet

import "time"

// maxLostCommands is how many signs in a row that commands are lost count as proof: a single one may
// come from one lost response.
const maxLostCommands = 2

// commandLoss counts the signs that a machine receives no commands although its heartbeats arrive.
// Nothing is launched on such a machine.
type commandLoss struct {
	lostCommands      int       // signs in a row
	lostCommandsSince time.Time // when the first of them was seen
}

// noteLostCommand notes a sign that a command to the machine was lost.
func (l *commandLoss) noteLostCommand(now time.Time) {
	l.lostCommands++
	if l.lostCommands == 1 {
		l.lostCommandsSince = now
	}
}

// certain notes that commands are certainly lost.
func (l *commandLoss) certain(now time.Time) {
	l.lostCommands, l.lostCommandsSince = maxLostCommands, now
}

// ReceivesCommands reports whether a machine receives commands, as far as is known. A worker
// that is still in the same incarnation after longer than that could last without a response does.
func (f *Fleet) ReceivesCommands(now time.Time, m *Machine) bool {
	return m.lostCommands < maxLostCommands || now.Sub(m.lostCommandsSince) > f.leaseExpiry()+proofMargin
}

// HeartbeatsLost reports whether a machine has answered calls for so long while no heartbeat of its
// own came: its lease runs out, which calls don't renew, and with it what it runs.
func (m *Machine) HeartbeatsLost(now time.Time, wait time.Duration) bool {
	return !m.firstCallSinceHeartbeat.IsZero() && now.Sub(m.firstCallSinceHeartbeat) > wait
}
