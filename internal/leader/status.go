package leader

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
)

// statusCache keeps what was last computed for display and for the peers.
type statusCache struct {
	status   ShardStatus
	statusAt time.Time
	counts   map[string]TaskCount
	countsAt time.Time
	rejected RejectedHeartbeats
}

// Status returns the shard's status, no older than the task counts. Its maps are shared and never
// changed.
func (h *Leader) Status(now time.Time) ShardStatus {
	counts := h.TaskCounts(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.display.status.Counts != nil && now.Sub(h.display.statusAt) < statusInterval {
		return h.display.status
	}
	s := ShardStatus{
		Term:     h.lease.FencingToken,
		Counts:   counts,
		Wants:    maps.Clone(h.quota.Forecast().Demands),
		Used:     resourcePairs(h.teamUsage()),
		Stays:    h.quota.Forecast().Services,
		Zones:    h.monitor.ZoneHealth(now),
		Machines: len(h.fleet.Machines()),
		Ready:    h.forecast.readyGangs,
		Tiers:    h.tierStatuses(),
	}
	if h.rebuiltReachable {
		s.Rooms = h.forecast.freeCapacity
	}
	for _, short := range h.forecast.unplaced {
		s.Backlog += short.Coming + short.Unserved
	}
	h.display.status, h.display.statusAt = s, now
	return s
}

// SetPeerShards records the statuses of the other shards, and how many peers forward heartbeats to this
// controller.
func (h *Leader) SetPeerShards(shards map[string]ShardStatus, ingestPeers int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerShards, h.ingestPeers = shards, ingestPeers
	h.quota.SetPeers(quotaPeers(shards))
	h.targets.SetPeers(handoverPeers(shards))
	h.detector.SetPeers(peerZones(shards))
}

// Rebuilt reports whether all machines have been accounted for under this token.
func (h *Leader) Rebuilt() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rebuilt
}

// TaskCount is how many tasks of a job run and are done, for display.
type TaskCount struct{ Running, Done int }

// statusInterval is how old the counts and the status may be: users expect no more of them than to
// follow within a few seconds.
const statusInterval = time.Second

// TaskCounts returns the counts of all live jobs that have any. The map is shared and never changed.
func (h *Leader) TaskCounts(now time.Time) map[string]TaskCount {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.display.counts != nil && now.Sub(h.display.countsAt) < statusInterval {
		return h.display.counts
	}
	out := make(map[string]TaskCount, len(h.liveJobs))
	for id, j := range h.jobStates {
		if n := j.storedFinished.Count(); n > 0 && h.liveJobs[id] != nil {
			out[id] = TaskCount{Done: n}
		}
	}
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if (p.State == fleet.Running || p.State == fleet.Saving) && h.liveJobs[p.Task.Job] != nil {
				c := out[p.Task.Job]
				c.Running++
				out[p.Task.Job] = c
			}
		}
	}
	h.display.counts, h.display.countsAt = out, now
	return out
}
