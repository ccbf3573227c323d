package fleet

import "time"

// A machine may be deaf: its reports come, and what it is told is lost. After so many signs of
// it in a row nothing is launched there.
const maxLostCommands = 2

// ReceivesCommands reports whether a machine takes what it is told, as far as is known. One that is in a
// session for longer than that could last without an answer does.
func (f *Fleet) ReceivesCommands(now time.Time, m *Machine) bool {
	return m.lostCommands < maxLostCommands || now.Sub(m.lostCommandsSince) > f.leaseExpiry()+proofMargin
}

// noteLostCommand notes that what a machine was told was lost.
func (m *Machine) noteLostCommand(now time.Time) {
	if m.lostCommands++; m.lostCommands == 1 {
		m.lostCommandsSince = now
	}
}

// HeartbeatsLost reports whether a machine has answered calls for so long while no report of it came: what it
// runs ends with its lease, which calls don't renew.
func (m *Machine) HeartbeatsLost(now time.Time, wait time.Duration) bool {
	return !m.firstCallSinceHeartbeat.IsZero() && now.Sub(m.firstCallSinceHeartbeat) > wait
}
