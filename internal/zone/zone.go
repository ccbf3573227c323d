// Package zone tells whether a zone is up, in doubt, dark or back, by the evidence of
// several controllers. What one of them does not hear may be its own deafness: a zone is
// dark when most of those outside it that can tell say so, and back as soon as its machines
// are heard again from outside.
//
// It is pure: times and evidence come in, and changes go out, which the holder writes in
// the round that decides them. Until the store has taken one, the state before it counts;
// the next holder goes on from the records. Its state says where work might run and what
// is worth renting, never what runs where: the proofs of absence rest on none of it.
package zone

import (
	"fmt"
	"slices"
	"time"
)

// State is what is thought of a zone.
type State string

// The states of a zone.
const (
	Up          State = "up"
	Suspected   State = "in doubt" // the holder hears hardly any machine of it: nothing changes yet
	Unreachable State = "dark"     // nor do most others: nothing is rented there but a probe
	Recovering  State = "back"     // machines of it are heard again
)

// Record is the state of a zone as the store holds it.
type Record struct {
	State   State
	Number  uint64    // of its changes: it only rises
	Since   time.Time // time of day of the holder that decided it
	Outages int       // how often it went dark, until it was up for long
}

// A zone that is back is up after so long without doubt, twice as long for each fall
// before it was up for long, so that one that comes and goes is not begun anew each time.
const (
	minStablePeriod = 10 * time.Second
	maxStablePeriod = 2 * time.Minute
	outageMemory    = 5 * time.Minute // of being up
)

// StablePeriod is how long a zone that is back must stay so until it is up.
func (r Record) StablePeriod() time.Duration {
	return min(maxStablePeriod, minStablePeriod<<max(0, min(r.Outages-1, 8)))
}

// AcceptsScaleOut reports whether machines are rented in a zone as in any other. One that fell
// again has its probes for half its time: what is rented there would be lost again.
func (r Record) AcceptsScaleOut(now time.Time) bool {
	switch r.State {
	case Unreachable:
		return false
	case Recovering, Suspected:
		return r.Outages <= 1 || now.Sub(r.Since) >= r.StablePeriod()/2
	}
	return true
}

// Observation is what a controller sees of a zone's machines.
type Observation struct {
	Heard, Quiet   int // of those that should be heard
	Lost           int // that were given up lately for their silence
	Answered, Vain int // calls from there, lately
}

// minMissing is how many machines must be silent before a zone is in question.
const minMissing = 4

// unreachable reports whether hardly any machine is heard, and many should be.
func (s Observation) unreachable() bool {
	missing := s.Quiet + s.Lost
	return missing >= minMissing && missing*10 >= (s.Heard+missing)*9
}

// mostlyMissing reports whether more machines than not are missing.
func (s Observation) mostlyMissing() bool { return (s.Quiet+s.Lost)*2 > s.Heard+s.Quiet+s.Lost }

// healthy reports whether most machines are heard.
func (s Observation) healthy() bool {
	missing := s.Quiet + s.Lost
	return s.Heard > 0 && missing*3 <= s.Heard+missing
}

// Observer is a controller with what it sees.
type Observer struct {
	Zone         string // in which it stands
	Observations map[string]Observation
}

// verdict is what a controller says of a zone.
type verdict int

const (
	undecided verdict = iota
	saysReachable
	saysUnreachable
)

// verdictOn tells what a sibling outside says of a zone: nothing, if it hears hardly anything
// anywhere else, nor is any of its calls answered there. All reports may go to others.
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
	case s.Quiet >= 2 || s.Vain >= 2 && reachesElsewhere: // where calls from there are answered at all
		return saysUnreachable
	}
	return undecided
}

// Evidence is what a holder has to go by.
type Evidence struct {
	Own           Observer             // its own, with what siblings pass on to it
	LastHeartbeat map[string]time.Time // when a machine of each zone was last heard
	CannotJudge   bool                 // it stood still, or has just claimed: it can't tell who is silent
	Peers         map[string]Observer  // siblings whose beats come in
	Controllers   int                  // controllers there are
}

// canJudge reports whether a holder's own ears say anything of a zone: it hears another
// well, and not only the one that it stands in. Whoever hears no other may be cut off with
// its zone, unless most controllers are heard as well.
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

// votes counts the controllers outside a zone: all, and those that say that they hear it
// or hear nothing of it. The holder is one of them where it stands outside.
func (e *Evidence) votes(zone string) (outside, reachable, unreachable int) {
	for _, w := range e.Peers {
		if w.Zone == zone {
			continue // a dark zone hears itself
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

// majorityUnreachable reports whether most controllers outside a zone that can tell hear nothing of it: at
// least two where there are two to ask.
func (e *Evidence) majorityUnreachable(zone string) bool {
	outside, reachable, unreachable := e.votes(zone)
	return unreachable > reachable && unreachable >= min(2, outside)
}

// recovered reports whether machines of a dark zone are heard again: by the holder, since it
// went dark, and more than the few that made no difference then, from outside or not only
// from there; or by two others, and most don't say that it is dark.
func (e *Evidence) recovered(zone string, r Record) bool {
	own := e.Own.Observations[zone]
	if own.Heard > 0 && e.LastHeartbeat[zone].After(r.Since) && own.Heard*9 >= own.Quiet && (e.Own.Zone != zone || e.canJudge(zone)) {
		return true
	}
	_, reachable, _ := e.votes(zone)
	return reachable >= 2 && !e.majorityUnreachable(zone)
}

// Change is a zone's next record, which counts once the store has taken it.
type Change struct {
	Zone     string
	Record   Record
	Previous State
	Reason   string
}

// Tracker holds the record of each zone that has one; any other is up.
type Tracker struct {
	records map[string]Record
	probes  map[string]probe
}

// New begins with the records that the store holds. A time of another clock that is yet to
// come counts as now.
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

// Record gives the state of a zone.
func (z *Tracker) Record(zone string) Record {
	if r, ok := z.records[zone]; ok {
		return r
	}
	return Record{State: Up}
}

// Records gives every record. The map is the caller's.
func (z *Tracker) Records() map[string]Record {
	out := make(map[string]Record, len(z.records))
	for name, r := range z.records {
		out[name] = r
	}
	return out
}

// Next gives the changes that are due by the evidence. Nothing changes by that alone.
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

// next gives the state that follows.
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
	case !e.canJudge(zone) || own.mostlyMissing(): // nothing ends a doubt but that it is over
	case r.State == Suspected:
		if r.Outages > 0 {
			return Recovering // and its time begins anew
		}
		return Up
	case r.State == Recovering && now.Sub(r.Since) >= r.StablePeriod():
		return Up
	}
	return r.State
}

// summary tells the evidence, for logs.
func (e *Evidence) summary(zone string) string {
	own := e.Own.Observations[zone]
	outside, hear, none := e.votes(zone)
	return fmt.Sprintf("here %d heard, %d quiet, %d given up; of %d controllers outside %d hear it and %d don't",
		own.Heard, own.Quiet, own.Lost, outside, hear, none)
}

// Commit takes in changes that the store has taken.
func (z *Tracker) Commit(changes []Change) {
	for _, c := range changes {
		z.records[c.Zone] = c.Record
		if c.Record.Outages <= 1 { // one that comes and goes is probed no sooner for that
			delete(z.probes, c.Zone)
		}
	}
}
