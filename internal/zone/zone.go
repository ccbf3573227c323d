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

import (
	"fmt"
	"slices"
	"time"
)

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

// Observation counts what a controller observes of a zone's machines. Controllers send it to each
// other: the names of its fields are part of the protocol.
type Observation struct {
	Heard, Quiet   int // machines whose last heartbeat is recent, and overdue
	Lost           int // machines that were lately evicted because their heartbeats were missing
	Answered, Vain int // recent calls from this controller that were answered, and that failed
}

// minMissing is how many machines must be missing before a zone is suspected: fewer may fail by coincidence.
const minMissing = 4

// unreachable reports whether nine of ten machines are missing, and enough of them to judge by.
func (s Observation) unreachable() bool {
	missing := s.Quiet + s.Lost
	return missing >= minMissing && missing*10 >= (s.Heard+missing)*9
}

// mostlyMissing reports whether more than half of the machines are missing.
func (s Observation) mostlyMissing() bool { return (s.Quiet+s.Lost)*2 > s.Heard+s.Quiet+s.Lost }

// healthy reports whether at most a third of the machines is missing.
func (s Observation) healthy() bool {
	missing := s.Quiet + s.Lost
	return s.Heard > 0 && missing*3 <= s.Heard+missing
}

// Observer is a controller and what it observes.
type Observer struct {
	Zone         string // in which it runs
	Observations map[string]Observation
}

// verdict is what the observations of a controller say of a zone.
type verdict int

const (
	undecided verdict = iota
	saysReachable
	saysUnreachable
)

// verdictOn gives the verdict of a peer outside a zone. It is undecided if the peer receives hardly any
// heartbeats from elsewhere and none of its calls there is answered: all heartbeats may go to other
// controllers, or the peer may be partitioned.
func (w Observer) verdictOn(zone string) verdict {
	s, reachesElsewhere := w.Observations[zone], false
	hearsElsewhere := false
	for name, o := range w.Observations {
		if name != zone {
			hearsElsewhere = hearsElsewhere || o.healthy()
			reachesElsewhere = reachesElsewhere || o.Answered > 0
		}
	}
	switch {
	case !hearsElsewhere && !reachesElsewhere:
		return undecided
	case s.Answered > 0 || s.Heard > 0 && s.Heard >= s.Quiet:
		return saysReachable
	case s.Quiet >= 2 || s.Vain >= 2 && reachesElsewhere: // failed calls count only if others are answered
		return saysUnreachable
	}
	return undecided
}

// Evidence is what a leader judges zones by.
type Evidence struct {
	Own           Observer             // what it observes, heartbeats that peers forward included
	LastHeartbeat map[string]time.Time // the last heartbeat from each zone
	CannotJudge   bool                 // it paused or was elected just now: missing heartbeats say nothing
	Peers         map[string]Observer  // peers whose heartbeats arrive
	Controllers   int                  // the number of controllers
}

// canJudge reports whether the leader's own observations say anything of a zone: another zone is
// healthy, which is not only the one that the leader runs in. A leader that is connected to no
// other zone may be cut off together with its own, unless most controllers are connected as well.
func (e *Evidence) canJudge(zone string) bool {
	if e.CannotJudge {
		return false
	}
	quorum := (len(e.Peers)+1)*2 > e.Controllers
	for name, s := range e.Own.Observations {
		if name != zone && s.healthy() && (name != e.Own.Zone || quorum) {
			return true
		}
	}
	return false
}

// votes counts the controllers outside a zone: all of them, those that say it is reachable and
// those that say it is unreachable. The leader is one of them if it runs outside the zone.
func (e *Evidence) votes(zone string) (outside, reachable, unreachable int) {
	for _, w := range e.Peers {
		if w.Zone == zone {
			continue // a zone that is cut off still reaches itself
		}
		outside++
		switch w.verdictOn(zone) {
		case saysReachable:
			reachable++
		case saysUnreachable:
			unreachable++
		}
	}
	if e.Own.Zone != zone {
		outside++
		if own := e.Own.Observations[zone]; e.canJudge(zone) && own.unreachable() {
			unreachable++
		} else if e.canJudge(zone) && own.healthy() {
			reachable++
		}
	}
	return outside, reachable, unreachable
}

// majorityUnreachable reports whether most of the controllers outside a zone that can judge find it unreachable, and
// at least two where there are two outside.
func (e *Evidence) majorityUnreachable(zone string) bool {
	outside, reachable, unreachable := e.votes(zone)
	return unreachable > reachable && unreachable >= min(2, outside)
}

// recovered reports whether machines of an unreachable zone send heartbeats again: to the leader, after
// the outage began, from more than the few machines that made no difference then, and to a leader
// that runs outside the zone or can judge it; or to two other controllers while no majority
// finds the zone unreachable.
func (e *Evidence) recovered(zone string, r Record) bool {
	own := e.Own.Observations[zone]
	if own.Heard > 0 && e.LastHeartbeat[zone].After(r.Since) && own.Heard*9 >= own.Quiet && (e.Own.Zone != zone || e.canJudge(zone)) {
		return true
	}
	_, reachable, _ := e.votes(zone)
	return reachable >= 2 && !e.majorityUnreachable(zone)
}

// Change is the next record of a zone, which counts once the store has taken it.
type Change struct {
	Zone     string
	Record   Record
	Previous State
	Reason   string
}

// Tracker holds the record of each zone that has one; any other zone is up.
type Tracker struct {
	records map[string]Record
	probes  map[string]probe
}

// New begins with the records that the store holds. A time in the future, which a leader with another
// clock wrote, counts as now.
func New(now time.Time, records map[string]Record) *Tracker {
	z := &Tracker{records: make(map[string]Record), probes: make(map[string]probe)}
	for name, r := range records {
		if r.Since.After(now) {
			r.Since = now
		}
		z.records[name] = r
	}
	return z
}

// Record returns the record of a zone.
func (z *Tracker) Record(zone string) Record {
	if r, ok := z.records[zone]; ok {
		return r
	}
	return Record{State: Up}
}

// Records returns every record. The map is the caller's.
func (z *Tracker) Records() map[string]Record {
	out := make(map[string]Record, len(z.records))
	for name, r := range z.records {
		out[name] = r
	}
	return out
}

// Next returns the changes that are due by the evidence, without making them.
func (z *Tracker) Next(now time.Time, e *Evidence) []Change {
	names := make(map[string]bool)
	for name := range z.records {
		names[name] = true
	}
	for name := range e.Own.Observations {
		names[name] = true
	}
	var out []Change
	for name := range names {
		r := z.Record(name)
		to := r.next(now, name, e)
		if to == r.State {
			continue
		}
		next := Record{to, r.Number + 1, now, r.Outages}
		if r.State == Up && now.Sub(r.Since) >= outageMemory {
			next.Outages = 0
		}
		if to == Unreachable {
			next.Outages++
		}
		out = append(out, Change{name, next, r.State, e.summary(name)})
	}
	slices.SortFunc(out, func(a, b Change) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return out
}

// next returns the state that follows.
func (r Record) next(now time.Time, zone string, e *Evidence) State {
	if r.State == Unreachable {
		if e.recovered(zone, r) {
			return Recovering
		}
		return Unreachable
	}
	own := e.Own.Observations[zone]
	switch {
	case e.canJudge(zone) && own.unreachable() && e.majorityUnreachable(zone):
		return Unreachable
	case r.State != Suspected && e.canJudge(zone) && own.unreachable():
		return Suspected
	case !e.canJudge(zone) || own.mostlyMissing(): // a suspicion ends only by evidence against it
	case r.State == Suspected:
		if r.Outages > 0 {
			return Recovering // whose stable period begins again
		}
		return Up
	case r.State == Recovering && now.Sub(r.Since) >= r.StablePeriod():
		return Up
	}
	return r.State
}

// summary describes the evidence, for logs.
func (e *Evidence) summary(zone string) string {
	own := e.Own.Observations[zone]
	outside, hear, none := e.votes(zone)
	return fmt.Sprintf("here %d heard, %d quiet, %d given up; of %d controllers outside %d hear it and %d don't",
		own.Heard, own.Quiet, own.Lost, outside, hear, none)
}

// Commit applies changes that the store has taken.
func (z *Tracker) Commit(changes []Change) {
	for _, c := range changes {
		z.records[c.Zone] = c.Record
		if c.Record.Outages <= 1 { // repeated outages don't bring probes forward
			delete(z.probes, c.Zone)
		}
	}
}
