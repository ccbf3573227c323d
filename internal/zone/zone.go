// Package zone decides whether a zone is up, suspected, unreachable or recovering, from the evidence of several
// controllers. A controller that receives no heartbeats from a zone may be partitioned itself. Therefore a zone is
// unreachable only if most of the controllers that run outside it and can judge it find it so. It is recovering as
// soon as its machines send heartbeats to controllers outside it again.
//
// The package does no I/O: times and evidence are arguments, and the leader writes the returned changes in the round
// that decides them. Until the store has committed a change, the previous state applies; the next leader continues
// from the stored records. The state of a zone determines where work may be placed and where scaling out makes sense.
// It does not determine which tasks run where: the proofs that a task no longer runs do not depend on it.
package zone

import "time"

// State is the state of a zone. Its text is part of the stored format.
type State string

// The states of a zone.
const (
	Up          State = "up"
	Suspected   State = "in doubt" // the leader receives hardly any heartbeats from it; nothing changes yet
	Unreachable State = "dark"     // most other controllers receive none either; only probes are requested there
	Recovering  State = "back"     // its machines send heartbeats again; it is not yet up
)

// Record is the state of a zone as the store holds it.
type Record struct {
	State   State
	Number  uint64    // number of changes so far; it never decreases
	Since   time.Time // time of the last change, by the clock of the leader that decided it
	Outages int       // how often the zone became unreachable; reset to 0 after it was up for outageMemory
}

// A recovering zone is up after a stable period. The period doubles with each outage, so that work does not return each
// time to a zone whose network fails repeatedly.
const (
	minStablePeriod = 10 * time.Second // after the first outage: a few heartbeats of each machine
	maxStablePeriod = 2 * time.Minute
	outageMemory    = 5 * time.Minute // how long a zone must be up until earlier outages no longer count
)

// StablePeriod returns how long a zone must be recovering without interruption until it is up.
func (r Record) StablePeriod() time.Duration {
	return min(maxStablePeriod, minStablePeriod<<max(0, min(r.Outages-1, 8)))
}

// AcceptsScaleOut reports whether machines may be requested in a zone without restriction. After a second outage, only
// probes are allowed for the first half of the stable period, since the requested machines may be lost again.
func (r Record) AcceptsScaleOut(now time.Time) bool {
	switch r.State {
	case Unreachable:
		return false
	case Recovering, Suspected:
		return r.Outages <= 1 || now.Sub(r.Since) >= r.StablePeriod()/2
	}
	return true
}
