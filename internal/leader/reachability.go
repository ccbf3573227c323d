package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/wire"
)

// reachabilityTimeouts returns the timeouts of the package reachability.
func reachabilityTimeouts(t timeouts, cfg *config.Config) reachability.Timeouts {
	return reachability.Timeouts{Fresh: t.launchWithin, Suspect: t.suspectAfter, Unreachable: t.unreachableAfter, Lease: cfg.Workers.Lease, RebuildWait: maxRebuildWait}
}

// releaseUnusable releases machines that are of no use: drained ones without tasks, ones that don't come
// up, unreachable ones, and ones that send heartbeats but take nothing. If too many are missing at
// once, the leader itself is likely to be partitioned, and no unreachable machine is released.
func (h *Leader) releaseUnusable(now time.Time) {
	partitioned := h.detector.Partitioned(now)
	onlyShardUnreachable := h.ingestPeers > 0 && h.detector.ShardAloneUnreachable(now)
	oneWay := h.detector.OneWay(now)
	for _, m := range h.fleet.Machines() {
		busy := slices.ContainsFunc(m.Placements(), func(p *fleet.Placement) bool { return p.Active() && p.State != fleet.Planned })
		switch {
		case m.Up && !busy && (m.DrainReason != "" || !m.TerminationTime.IsZero()):
			h.releaseMachine(m, "drained")
		case h.bootFailed(now, m):
			h.releaseMachine(m, "did not boot")
		case !partitioned && h.presumedLost(now, m, onlyShardUnreachable) && !h.keepsLostMachine(now, m):
			h.releaseMachine(m, "unreachable")
			h.detector.NoteEviction(now, m.Zone)
		case oneWay[m] && !m.Releasing:
			h.releaseMachine(m, "takes no commands")
		}
	}
}

// A machine has failed to boot after bootFactor times what its type takes, and bootMargin for the
// cloud to begin: clouds are slow at times, and a machine that is returned early is paid for in vain.
const (
	bootFactor = 4
	bootMargin = 20 * time.Second
)

// bootFailed reports whether a new machine should have sent a heartbeat long ago.
func (h *Leader) bootFailed(now time.Time, m *fleet.Machine) bool {
	boot := h.machineType(m.Type).BootS
	return !m.Up && !m.Recorded && boot > 0 && now.Sub(m.Since) > wire.Seconds(bootFactor*boot)+bootMargin
}

// presumedLost reports whether a machine is unreachable and presumed lost. Where this shard alone is unreachable, a
// failed call is enough: the leader reaches none of its machines to compare with.
func (h *Leader) presumedLost(now time.Time, m *fleet.Machine, shardUnreachable bool) bool {
	if !m.Up && !m.Recorded || m.Releasing || !h.monitor.Unreachable(now, m) {
		return false
	}
	return h.monitor.PresumedLost(now, m) || shardUnreachable && h.monitor.CallsFailed(m)
}

// UnreachableMachines returns how many machines are unreachable for this leader by the fault of the network; it is 0
// if few are missing.
func (h *Leader) UnreachableMachines(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.detector.UnreachableMachines(now)
}
