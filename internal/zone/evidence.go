package zone

import (
	"fmt"
	"time"
)

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

// summary describes the evidence, for logs.
func (e *Evidence) summary(zone string) string {
	own := e.Own.Observations[zone]
	outside, hear, none := e.votes(zone)
	return fmt.Sprintf("here %d heard, %d quiet, %d given up; of %d controllers outside %d hear it and %d don't",
		own.Heard, own.Quiet, own.Lost, outside, hear, none)
}
