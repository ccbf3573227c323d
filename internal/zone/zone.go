// Package zone decides whether a zone is up, suspected, unreachable or recovering, by the
// evidence of several controllers. A controller that receives no heartbeats from a zone may be
// partitioned itself: a zone is unreachable when most of the controllers outside it that can
// judge say so, and recovering as soon as its machines send heartbeats to the outside again.
//
// The package does no I/O: times and evidence are arguments, and the changes it returns are
// written by the leader in the round that decides them. Until the store has taken a change, the
// state before it counts; the next leader continues from the stored records. The state of a zone
// says where work might run and where scaling out makes sense. It never says what runs where:
// the proofs that a task is gone don't depend on it.
package zone

import "time"

// State is the state of a zone. Its text is stored.
type State string

// The states of a zone.
const (
	Up          State = "up"
	Suspected   State = "in doubt" // the leader receives hardly any heartbeats from it; nothing changes yet
	Unreachable State = "dark"     // nor do most other controllers; only probes are requested there
	Recovering  State = "back"     // its machines send heartbeats again
)

// Record is the state of a zone as the store holds it.
type Record struct {
	State   State
	Number  uint64    // counts changes; it only rises
	Since   time.Time // by the clock of the leader that decided the change
	Outages int       // how often it became unreachable; 0 again once it was up for outageMemory
}

// A recovering zone is up after a stable period, which doubles with each outage, so that work does
// not return each time to a zone whose network comes and goes.
const (
	minStablePeriod = 10 * time.Second // after the first outage: a few heartbeats of each machine
	maxStablePeriod = 2 * time.Minute
	outageMemory    = 5 * time.Minute // of being up, after which earlier outages no longer count
)

// StablePeriod is how long a zone must be recovering without interruption until it is up.
func (r Record) StablePeriod() time.Duration {
	return min(maxStablePeriod, minStablePeriod<<max(0, min(r.Outages-1, 8)))
}

// AcceptsScaleOut reports whether machines are requested in a zone as in any other. After a second outage,
// only probes are for the first half of the stable period: what is requested there may be lost again.
func (r Record) AcceptsScaleOut(now time.Time) bool {
	switch r.State {
	case Unreachable:
		return false
	case Recovering, Suspected:
		return r.Outages <= 1 || now.Sub(r.Since) >= r.StablePeriod()/2
	}
	return true
}
