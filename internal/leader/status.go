package leader

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/tier"
)

// ShardStatus is what the holder of a part tells its siblings of it, once a second. Rules
// never rest on it: it says where work might find room, not whose it is.
type ShardStatus struct {
	Term     uint64
	Counts   map[string]TaskCount
	Rooms    map[string]scheduler.FreeCapacity // by class
	Wants    map[string]scheduler.QuotaDemand  // by team: what its grant holds back
	Used     map[string][2]float64             // CPUs and GPUs, by team
	Stays    map[string]scheduler.Resources    // what services take of that, or are to, by team
	Zones    map[string]ZoneHealth
	Ready    []string // gangs for whose tasks here there is room, of which others have the rest
	Tiers    map[string]tier.Status
	Backlog  int // tasks that found no room
	Machines int
}

// ZoneHealth counts the machines of a zone that should be heard, and those that are overdue.
type ZoneHealth struct{ Up, Quiet int }

// Status gives the part's status, no older than the counts. Its maps are shared and
// never changed.
func (h *Leader) Status(now time.Time) ShardStatus {
	counts := h.TaskCounts(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastStatus.Counts != nil && now.Sub(h.lastStatusAt) < statusInterval {
		return h.lastStatus
	}
	s := ShardStatus{Term: h.lease.FencingToken, Counts: counts, Wants: maps.Clone(h.quota.Forecast().Demands), Used: resourcePairs(h.teamUsage()), Stays: h.quota.Forecast().Services, Zones: h.zoneHealth(now), Machines: len(h.fleet.Machines()), Ready: h.forecast.readyGangs}
	s.Tiers = h.tierStatuses()
	if h.rebuiltReachable {
		s.Rooms = h.forecast.freeCapacity
	}
	for _, short := range h.forecast.unplaced {
		s.Backlog += short.Coming + short.Unserved
	}
	h.lastStatus, h.lastStatusAt = s, now
	return s
}

// SetPeerShards takes in how the other parts stand, and how many siblings pass reports on to
// this controller.
func (h *Leader) SetPeerShards(shards map[string]ShardStatus, ingestPeers int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peerShards, h.ingestPeers = shards, ingestPeers
	h.quota.SetPeers(quotaPeers(shards))
}

// Rebuilt reports whether all machines have been accounted for under this term.
func (h *Leader) Rebuilt() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rebuilt
}

// zoneHealth counts by zone the machines that should be heard and those that are overdue.
func (h *Leader) zoneHealth(now time.Time) map[string]ZoneHealth {
	out := make(map[string]ZoneHealth)
	for _, m := range h.fleet.Machines() {
		if (m.Up || m.Recorded) && !m.Releasing {
			r := out[m.Zone]
			r.Up++
			if h.heartbeatAge(now, m) > h.timeouts.suspectAfter || h.unreachable(now, m) {
				r.Quiet++
			}
			out[m.Zone] = r
		}
	}
	return out
}

// unreachableAlone reports whether hardly any machine of this part is heard, by siblings either,
// while those of other parts are: its zones are dark, not the way to this controller.
func (h *Leader) unreachableAlone(now time.Time) bool {
	if h.ingestPeers == 0 || len(h.peerShards) == 0 {
		return false
	}
	up, quiet, otherUp, otherQuiet := 0, 0, 0, 0
	for _, r := range h.zoneHealth(now) {
		up, quiet = up+r.Up, quiet+r.Quiet
	}
	for _, o := range h.peerShards {
		for _, r := range o.Zones {
			otherUp, otherQuiet = otherUp+r.Up, otherQuiet+r.Quiet
		}
	}
	return up >= minMachinesToJudge && quiet*10 >= up*9 && otherUp >= minMachinesToJudge && otherQuiet*3 <= otherUp
}

// TaskCount is how many tasks of a job run and are done, for display.
type TaskCount struct{ Running, Done int }

// statusInterval is how old the counts may be: users expect no more of them than to
// follow within a few seconds.
const statusInterval = time.Second

// TaskCounts gives the counts of all live jobs that have any. The map is shared and
// never changed.
func (h *Leader) TaskCounts(now time.Time) map[string]TaskCount {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taskCounts != nil && now.Sub(h.taskCountsAt) < statusInterval {
		return h.taskCounts
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
	h.taskCounts, h.taskCountsAt = out, now
	return out
}
