package fleet

import "time"

// maxSuspectedLosses is how many suspected losses of commands in a row count as proof that a machine
// receives none. A single one may come from one lost response.
const maxSuspectedLosses = 2

// commandLoss counts the signs that a machine receives no commands although its heartbeats arrive.
// Nothing is launched on a machine that receives no commands.
type commandLoss struct {
	suspectedLosses int       // in a row
	firstLossAt     time.Time // when the first of these was noticed
}

// recordLostCommand records a sign that a command to the machine was lost.
func (l *commandLoss) recordLostCommand(now time.Time) {
	l.suspectedLosses++
	if l.suspectedLosses == 1 {
		l.firstLossAt = now
	}
}

// markCommandsLost records that the machine certainly receives no commands.
func (l *commandLoss) markCommandsLost(now time.Time) {
	l.suspectedLosses, l.firstLossAt = maxSuspectedLosses, now
}

// ReceivesCommands reports whether a machine receives commands, as far as is known. Once the losses are
// older than an incarnation can last without a response, it counts as receiving them again: a worker
// that is still in the same incarnation must have received responses.
func (f *Fleet) ReceivesCommands(now time.Time, m *Machine) bool {
	return m.suspectedLosses < maxSuspectedLosses || now.Sub(m.firstLossAt) > f.leaseExpiry()+proofMargin
}

// HeartbeatsLost reports whether a machine has answered calls for longer than wait while none of its
// unsolicited heartbeats arrived. Calls do not renew its lease, so the lease will expire and end its
// tasks.
func (m *Machine) HeartbeatsLost(now time.Time, wait time.Duration) bool {
	return !m.firstCallSinceHeartbeat.IsZero() && now.Sub(m.firstCallSinceHeartbeat) > wait
}
