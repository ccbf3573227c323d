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
func (l *Leader) releaseUnusable(now time.Time) {
	partitioned := l.detector.Partitioned(now)
	onlyShardUnreachable := l.ingestPeers > 0 && l.detector.ShardAloneUnreachable(now)
	oneWay := l.detector.OneWay(now)
	for _, m := range l.fleet.Machines() {
		busy := slices.ContainsFunc(m.Placements(), func(p *fleet.Placement) bool { return p.Active() && p.State != fleet.Planned })
		switch {
		case m.Up && !busy && (m.DrainReason != "" || !m.TerminationTime.IsZero()):
			l.releaseMachine(m, "drained")
		case l.bootFailed(now, m):
			l.releaseMachine(m, "did not boot")
		case !partitioned && l.presumedLost(now, m, onlyShardUnreachable) && !l.keepsLostMachine(now, m):
			l.releaseMachine(m, "unreachable")
			l.detector.NoteEviction(now, m.Zone)
		case oneWay[m] && !m.Releasing:
			l.releaseMachine(m, "takes no commands")
		}
	}
}

// A machine has failed to boot after bootFactor times what its type takes, and bootMargin for the
// cloud to begin: clouds are slow at times, and a machine that is returned early is paid for and never used.
const (
	bootFactor = 4
	bootMargin = 20 * time.Second
)

// bootFailed reports whether a new machine should have sent a heartbeat long ago.
func (l *Leader) bootFailed(now time.Time, m *fleet.Machine) bool {
	boot := l.machineType(m.Type).BootS
	return !m.Up && !m.Recorded && boot > 0 && now.Sub(m.Since) > wire.Seconds(bootFactor*boot)+bootMargin
}

// presumedLost reports whether a machine is unreachable and presumed lost. Where this shard alone is unreachable, a
// failed call is enough: the leader reaches none of its machines to compare with.
func (l *Leader) presumedLost(now time.Time, m *fleet.Machine, shardUnreachable bool) bool {
	if !m.Up && !m.Recorded || m.Releasing || !l.monitor.Unreachable(now, m) {
		return false
	}
	return l.monitor.PresumedLost(now, m) || shardUnreachable && l.monitor.CallsFailed(m)
}

// UnreachableMachines returns how many machines are unreachable for this leader by the fault of the network; it is 0
// if few are missing.
func (l *Leader) UnreachableMachines(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.UnreachableMachines(now)
}
