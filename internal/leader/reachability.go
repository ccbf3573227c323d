package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/wire"
)

// Which machines and zones are heard, and what is given up for its silence.

// releaseUnusable gives up machines that serve nobody: drained ones that are
// empty, ones that never come up, and silent ones.
func (h *Leader) releaseUnusable(now time.Time) {
	expected, missing := h.healthSummary(now, true)
	onlyShardUnreachable := h.unreachableAlone(now)
	oneWay := h.oneWayPartitioned(now)
	for _, m := range h.fleet.Machines() {
		busy := slices.ContainsFunc(m.Placements(), func(p *fleet.Placement) bool { return p.Active() && p.State != fleet.Planned })
		boot := h.machineType(m.Type).BootS
		switch {
		case m.Up && !busy && (m.DrainReason != "" || !m.TerminationTime.IsZero()):
			h.releaseMachine(m, "drained")
		case !m.Up && !m.Recorded && boot > 0 && now.Sub(m.Since) > wire.Seconds(4*boot)+20*time.Second:
			h.releaseMachine(m, "it does not come up")
		case (m.Up || m.Recorded) && !m.Releasing && h.unreachable(now, m) && (h.presumedLost(now, m) || onlyShardUnreachable && h.callsFailed(m)) && missing*3 <= expected && !h.keepsLostMachine(now, m):
			h.releaseMachine(m, "silent")
			h.evictedUnreachable = append(h.evictedUnreachable, eviction{now, m.Zone})
		case oneWay[m] && !m.Releasing:
			h.releaseMachine(m, "deaf")
		}
	}
}

// oneWayPartitioned lists machines that report and take nothing, which an earlier holder may have launched
// on: what that left is not proven gone while they are answered, though their leases are over.
// When it is more than a third of them, one zone aside, a network has failed that will be back.
func (h *Leader) oneWayPartitioned(now time.Time) map[*fleet.Machine]bool {
	if now.Sub(h.fleet.ElectedAt) < h.timeouts.unreachableAfter+h.cfg.Workers.Lease {
		return nil
	}
	out, upByZone, oneWayByZone, worst := make(map[*fleet.Machine]bool), make(map[string]int), make(map[string]int), ""
	for _, m := range h.fleet.UnprovenMachines() {
		if !h.fleet.ReceivesCommands(now, m) && h.callStates[m.ID].failures >= 2 && h.heartbeatAge(now, m) < h.timeouts.unreachableAfter {
			out[m] = true
			if oneWayByZone[m.Zone]++; worst == "" || oneWayByZone[m.Zone] > oneWayByZone[worst] {
				worst = m.Zone
			}
		}
	}
	if len(out) == 0 {
		return nil
	}
	up, n := 0, 0
	for _, m := range h.fleet.Machines() {
		if m.Up {
			upByZone[m.Zone]++
		}
	}
	for zone, all := range upByZone {
		if zone != worst || len(upByZone) == 1 {
			up, n = up+all, n+oneWayByZone[zone]
		}
	}
	if n*3 > up {
		return nil
	}
	return out
}

// healthSummary counts the machines that should be heard and those that are overdue. Ones
// that were lately given up for their silence count as both: when many fall
// silent, it is more likely that a network failed than that they all died, and
// their tasks live on for as long as their leases. The zone with the most
// silent machines is left out where there are others, and so is each that is dark: one
// that is cut off whole says nothing of the way to this controller, and its tasks are lost
// anyway.
// The zones of parts that siblings hold count too, if others is set: what a holder of
// one zone alone can't tell apart, they can.
func (h *Leader) healthSummary(now time.Time, others bool) (expected, missing int) {
	h.evictedUnreachable = slices.DeleteFunc(h.evictedUnreachable, func(s eviction) bool { return now.Sub(s.at) > h.cfg.Workers.Lease })
	expectedByZone, missingByZone := make(map[string]int), make(map[string]int)
	for _, s := range h.evictedUnreachable {
		expectedByZone[s.zone]++
		missingByZone[s.zone]++
	}
	for zone, r := range h.zoneHealth(now) {
		expectedByZone[zone] += r.Up
		missingByZone[zone] += r.Quiet
	}
	if others {
		for _, part := range sortedKeys(h.peerShards) {
			for zone, r := range h.peerShards[part].Zones {
				expectedByZone[zone] += r.Up
				missingByZone[zone] += r.Quiet
			}
		}
	}
	worst := ""
	for _, zone := range sortedKeys(expectedByZone) {
		expected += expectedByZone[zone]
		missing += missingByZone[zone]
		if worst == "" || missingByZone[zone] > missingByZone[worst] {
			worst = zone
		}
	}
	for _, zone := range sortedKeys(expectedByZone) {
		if (zone == worst || h.zoneUnreachable(zone)) && len(expectedByZone) > 1 {
			expected, missing = expected-expectedByZone[zone], missing-missingByZone[zone]
			delete(expectedByZone, zone)
		}
	}
	return expected, missing
}

// minMachinesToJudge is how many silent machines are more than a few.
const minMachinesToJudge = 4

// eviction is a machine that was given up for its silence.
type eviction struct {
	at   time.Time
	zone string
}

// UnreachableMachines reports how many machines this holder does not hear, if those are
// too many for their own fault.
func (h *Leader) UnreachableMachines(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if up, quiet := h.healthSummary(now, false); quiet*3 <= up {
		return 0
	}
	n := 0
	for _, m := range h.fleet.Machines() {
		if (m.Up || m.Recorded) && h.unreachable(now, m) {
			n++
		}
	}
	return n
}

// A holder that did nothing for so long has stood still, and for so long after that it can't tell
// which machines are silent: their reports found nobody, and they try elsewhere.
const (
	pauseThreshold = 4 * time.Second
	pauseGrace     = 5 * time.Second
)

// unreachable reports whether a machine has been quiet for too long. One that was
// never heard under the term may still be answered by an earlier holder, and it
// takes a while to call a large fleet: only calls in vain say that it is gone.
func (h *Leader) unreachable(now time.Time, m *fleet.Machine) bool {
	if now.Sub(h.lastPauseEnd) < pauseGrace {
		return false
	}
	if !m.LastHeartbeat.IsZero() {
		return h.heartbeatAge(now, m) > h.timeouts.unreachableAfter
	}
	since := now.Sub(h.fleet.ElectedAt)
	return h.callStates[m.ID].failures >= 2 && since > min(maxRebuildWait, h.timeouts.unreachableAfter) || since > h.timeouts.unreachableAfter+h.cfg.Workers.Lease
}

// heartbeatAge tells for how long a machine has not been heard under this term.
func (h *Leader) heartbeatAge(now time.Time, m *fleet.Machine) time.Duration {
	if m.LastHeartbeat.After(h.fleet.ElectedAt) {
		return now.Sub(m.LastHeartbeat)
	}
	return now.Sub(h.fleet.ElectedAt)
}
