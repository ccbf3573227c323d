package zone

import (
	"fmt"
	"time"
)

// Evidence holds the observations from which a leader determines the states of zones.
type Evidence struct {
	Own           Observer             // the leader's observations, including heartbeats that peers forward
	LastHeartbeat map[string]time.Time // the time of the last heartbeat from each zone
	CannotJudge   bool                 // the leader has just paused or been elected: missing heartbeats prove nothing
	Peers         map[string]Observer  // the peers from which heartbeats arrive
	Controllers   int                  // the number of controllers
}

// canJudge reports whether the leader's own observations are evidence about a zone. For that, another zone must be
// healthy. If the only such zone is the leader's own, heartbeats from a quorum of controllers must arrive as well: a
// leader that is connected to no other zone may be partitioned together with its own zone.
func (e *Evidence) canJudge(zone string) bool {
	if e.CannotJudge {
		return false
	}
	quorum := (len(e.Peers)+1)*2 > e.Controllers
	for name, observation := range e.Own.Observations {
		if name != zone && observation.healthy() && (name != e.Own.Zone || quorum) {
			return true
		}
	}
	return false
}

// votes counts the controllers outside a zone: all of them, those that find it reachable and those that find it
// unreachable. The leader is included if it runs outside the zone.
func (e *Evidence) votes(zone string) (outside, reachable, unreachable int) {
	for _, peer := range e.Peers {
		if peer.Zone == zone {
			continue // controllers in a partitioned zone still reach its machines
		}
		outside++
		switch peer.verdictOn(zone) {
		case verdictReachable:
			reachable++
		case verdictUnreachable:
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

// majorityUnreachable reports whether most of the controllers that run outside a zone and can judge it find it
// unreachable. If two or more controllers run outside, at least two must do so.
func (e *Evidence) majorityUnreachable(zone string) bool {
	outside, reachable, unreachable := e.votes(zone)
	return unreachable > reachable && unreachable >= min(2, outside)
}

// recovered reports whether machines of an unreachable zone send heartbeats again. One of two conditions must hold:
//   - The leader has received heartbeats since the outage began, from at least one machine in ten (fewer do not keep a
//     zone from being unreachable), and the leader runs outside the zone or can judge it.
//   - At least two controllers outside the zone find it reachable, and no majority finds it unreachable.
func (e *Evidence) recovered(zone string, r Record) bool {
	own := e.Own.Observations[zone]
	if own.Heard > 0 && e.LastHeartbeat[zone].After(r.Since) && own.Heard*9 >= own.Quiet && (e.Own.Zone != zone || e.canJudge(zone)) {
		return true
	}
	_, reachable, _ := e.votes(zone)
	return reachable >= 2 && !e.majorityUnreachable(zone)
}

// summary describes the evidence about a zone for the log.
func (e *Evidence) summary(zone string) string {
	own := e.Own.Observations[zone]
	outside, reachable, unreachable := e.votes(zone)
	return fmt.Sprintf("here %d heard, %d quiet, %d given up; of %d controllers outside %d hear it and %d don't",
		own.Heard, own.Quiet, own.Lost, outside, reachable, unreachable)
}
