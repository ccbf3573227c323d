package fleet

import (
	"slices"
	"time"
)

// Allowances that every proof by lease expiry adds to the lease.
const (
	// clockDrift is the fraction by which a worker's clock may be slower than the leader's.
	clockDrift = 0.001
	// proofMargin allows for a response in flight: a worker drops responses that are older than 4 s.
	proofMargin = 5 * time.Second
)

// leaseExpiry returns how long after the last response a machine's lease has certainly expired.
func (f *Fleet) leaseExpiry() time.Duration {
	return time.Duration(float64(f.workerLease)*(1+clockDrift)) + proofMargin
}

// recordResponse records that the machine's lease may have been renewed as late as now.
func (m *Machine) recordResponse(now time.Time) {
	if m.LastResponse.Before(now) {
		m.LastResponse = now
	}
}

// ExpireLeases applies the proofs by lease expiry (3 and 5) and returns an event for each placement
// that they show to be gone.
func (f *Fleet) ExpireLeases(now time.Time) (events []Event) {
	expiry := f.leaseExpiry()
	for _, m := range f.Machines() {
		switch {
		case m.SeenAtToken && now.Sub(m.LastResponse) > expiry:
			// Proof 3: every task of the incarnation has been killed, and the next incarnation does not
			// execute what was sent to this one.
			events = append(events, f.removeAll(m)...)
			if m.incarnationSeen { // otherwise nothing can have been sent to the next one
				m.beginIncarnation(m.Incarnation + 1)
			}
			m.LastResponse = now
		case !m.SeenAtToken && !m.provenEmpty && now.Sub(f.ElectedAt) > expiry+f.predecessorGrace && now.Sub(m.LastResponse) > expiry:
			// Proof 5.
			m.provenEmpty = true
			events = append(events, f.removeAll(m)...)
		}
	}
	return events
}

// removeAll removes all placements of a machine, all of which are proven gone.
func (f *Fleet) removeAll(m *Machine) (events []Event) {
	for _, p := range m.Placements() {
		f.removePlacement(m, p)
		events = append(events, Event{Placement: p, Gone: true})
	}
	return events
}

// MustLetLeaseExpire reports whether a machine's lease must be left to expire: a pending call may launch a task
// of a job that has ended as long as the incarnation lasts, and each response would prolong the
// incarnation beyond the time by which the job's tasks must be gone. Releasing the machine instead is
// not always possible: the cloud may be unavailable, or this leader not entitled to release it.
func (f *Fleet) MustLetLeaseExpire(now time.Time, machineID string) bool {
	m := f.machines[machineID]
	return m != nil && slices.ContainsFunc(m.placements, func(p *Placement) bool {
		return p.callPending && p.State <= Sent && p.Stop != nil && p.Stop.JobFinished && !now.Before(p.Stop.RenewUntil)
	})
}
