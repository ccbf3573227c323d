package leader

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
)

// statusCache holds the status and the task counts that were last computed for users and peers.
type statusCache struct {
	status   ShardStatus
	statusAt time.Time
	counts   map[string]TaskCount
	countsAt time.Time
	rejected RejectedHeartbeats
}

// Status returns the status of the shard, which may be up to statusInterval old. Its maps are shared and must not be
// modified.
func (l *Leader) Status(now time.Time) ShardStatus {
	counts := l.TaskCounts(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.display.status.Counts != nil && now.Sub(l.display.statusAt) < statusInterval {
		return l.display.status
	}
	s := ShardStatus{
		Term:     l.lease.FencingToken,
		Counts:   counts,
		Wants:    maps.Clone(l.quota.Forecast().Demands),
		Used:     resourcePairs(l.teamUsage()),
		Stays:    l.quota.Forecast().Services,
		Zones:    l.monitor.ZoneHealth(now),
		Machines: len(l.fleet.Machines()),
		Ready:    l.forecast.readyGangs,
		Tiers:    l.tierStatuses(),
	}
	if l.rebuiltReachable {
		s.Rooms = l.forecast.freeCapacity
	}
	for _, unplaced := range l.forecast.unplaced {
		s.Backlog += unplaced.Coming + unplaced.Unserved
	}
	l.display.status, l.display.statusAt = s, now
	return s
}

// SetPeerShards records the statuses of the other shards, and the number of peers that forward heartbeats to this
// controller.
func (l *Leader) SetPeerShards(shards map[string]ShardStatus, ingestPeers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerShards, l.ingestPeers = shards, ingestPeers
	l.quota.SetPeers(quotaPeers(shards))
	l.targets.SetPeers(handoverPeers(shards))
	l.detector.SetPeers(peerZoneHealth(shards))
}

// Rebuilt reports whether all machines have been accounted for under the fencing token of this leader.
func (l *Leader) Rebuilt() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rebuilt
}

// TaskCount is the number of running and of finished tasks of a job, for display.
type TaskCount struct{ Running, Done int }

// statusInterval is the maximum age of the cached task counts and status. Users expect them to be only a few seconds
// behind.
const statusInterval = time.Second

// TaskCounts returns the counts of all live jobs with running or finished tasks. The map is shared and must not be
// modified.
func (l *Leader) TaskCounts(now time.Time) map[string]TaskCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.display.counts != nil && now.Sub(l.display.countsAt) < statusInterval {
		return l.display.counts
	}
	out := make(map[string]TaskCount, len(l.liveJobs))
	for id, j := range l.jobStates {
		if n := j.storedFinished.Count(); n > 0 && l.liveJobs[id] != nil {
			out[id] = TaskCount{Done: n}
		}
	}
	for _, m := range l.fleet.Machines() {
		for _, p := range m.Placements() {
			if (p.State == fleet.Running || p.State == fleet.Saving) && l.liveJobs[p.Task.Job] != nil {
				c := out[p.Task.Job]
				c.Running++
				out[p.Task.Job] = c
			}
		}
	}
	l.display.counts, l.display.countsAt = out, now
	return out
}
