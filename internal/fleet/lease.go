package fleet

import (
	"slices"
	"time"
)

// The margin beyond the drift of clocks that every proof by time leaves: a
// worker drops an answer after 4 s.
const (
	clockDrift  = 0.001
	proofMargin = 5 * time.Second
)

// leaseExpiry is how long after its last answer a machine's lease has surely run out.
func (f *Fleet) leaseExpiry() time.Duration {
	return time.Duration(float64(f.workerLease)*(1+clockDrift)) + proofMargin
}

// ExpireLeases applies the proofs that time gives, and returns what they show gone.
func (f *Fleet) ExpireLeases(now time.Time) []Event {
	var events []Event
	over := f.leaseExpiry()
	for _, m := range f.Machines() {
		switch {
		case m.SeenAtToken && now.Sub(m.LastResponse) > over:
			// Proof 3: every task of the session is killed, and what was said
			// to it can't be executed in the next.
			for _, p := range m.Placements() {
				f.removePlacement(m, p)
				events = append(events, Event{p, true})
			}
			if m.incarnationSeen { // or nothing can have been said in the one after it
				m.beginIncarnation(m.Incarnation + 1)
			}
			m.LastResponse = now
		case !m.SeenAtToken && !m.provenEmpty && now.Sub(f.ElectedAt) > over+f.predecessorGrace && now.Sub(m.LastResponse) > over:
			// Proof 5.
			m.provenEmpty = true
			for _, p := range m.Placements() {
				f.removePlacement(m, p)
				events = append(events, Event{p, true})
			}
		}
	}
	return events
}

// MustLapse reports whether a machine is to lose its lease: a launch of a job that is over may be
// executed there as long as the session lasts, and each answer would let that last beyond the
// time within which the job's tasks must be gone. The cloud may be out, or this holder not
// entitled to release a machine.
func (f *Fleet) MustLapse(now time.Time, machine string) bool {
	m := f.machines[machine]
	return m != nil && slices.ContainsFunc(m.placements, func(p *Placement) bool {
		return p.callPending && p.State <= Sent && p.Stop != nil && p.Stop.JobFinished && !now.Before(p.Stop.RenewUntil)
	})
}

// noteResponse notes that the lease may count from as late as now.
func (m *Machine) noteResponse(now time.Time) {
	if m.LastResponse.Before(now) {
		m.LastResponse = now
	}
}
