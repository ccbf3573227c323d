package fleet

import (
	"slices"
	"time"
)

// What every proof by time leaves beside the lease.
const (
	// clockDrift is by how much a worker's clock may be slower than the leader's, as a part.
	clockDrift = 0.001
	// proofMargin is for a response on its way: a worker drops one that is older than 4 s.
	proofMargin = 5 * time.Second
)

// leaseExpiry is how long after its last response a machine's lease has surely run out.
func (f *Fleet) leaseExpiry() time.Duration {
	return time.Duration(float64(f.workerLease)*(1+clockDrift)) + proofMargin
}

// recordResponse notes that the lease may count from as late as now.
func (m *Machine) recordResponse(now time.Time) {
	if m.LastResponse.Before(now) {
		m.LastResponse = now
	}
}

// ExpireLeases applies the proofs that time gives, and returns what they show gone.
func (f *Fleet) ExpireLeases(now time.Time) (events []Event) {
	expiry := f.leaseExpiry()
	for _, m := range f.Machines() {
		switch {
		case m.SeenAtToken && now.Sub(m.LastResponse) > expiry:
			// Proof 3: every task of the incarnation is killed, and what was sent to it can't be
			// executed in the next.
			events = append(events, f.removeAll(m)...)
			if m.incarnationSeen { // or nothing can have been sent to the one after it
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

// removeAll removes all placements of a machine that are proven gone.
func (f *Fleet) removeAll(m *Machine) (events []Event) {
	for _, p := range m.Placements() {
		f.removePlacement(m, p)
		events = append(events, Event{Placement: p, Gone: true})
	}
	return events
}

// MustLapse reports whether a machine is to lose its lease: a launch of a job that is over may be
// executed there as long as the incarnation lasts, and each response would let that last beyond the
// time within which the job's tasks must be gone. (The cloud may be out, or this leader not entitled
// to release a machine.)
func (f *Fleet) MustLapse(now time.Time, machineID string) bool {
	m := f.machines[machineID]
	return m != nil && slices.ContainsFunc(m.placements, func(p *Placement) bool {
		return p.callPending && p.State <= Sent && p.Stop != nil && p.Stop.JobFinished && !now.Before(p.Stop.RenewUntil)
	})
}
