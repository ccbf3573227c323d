package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/wire"
)

// reachabilityTimeouts returns the timeouts that package reachability uses.
func reachabilityTimeouts(t timeouts, cfg *config.Config) reachability.Timeouts {
	return reachability.Timeouts{Fresh: t.launchWithin, Suspect: t.suspectAfter, Unreachable: t.unreachableAfter, Lease: cfg.Workers.Lease, RebuildWait: maxRebuildWait}
}

// releaseUnusableMachines releases machines that can't be used: drained machines without tasks, machines that did not boot in
// time, unreachable machines, and machines that send heartbeats but receive no commands. If too many machines are
// missing at once, the leader itself is probably partitioned, and no unreachable machine is released.
func (l *Leader) releaseUnusableMachines(now time.Time) {
	partitioned := l.detector.Partitioned(now)
	onlyShardUnreachable := l.ingestPeers > 0 && l.detector.ShardAloneUnreachable(now)
	oneWay := l.detector.OneWayMachines(now)
	for _, m := range l.fleet.Machines() {
		busy := slices.ContainsFunc(m.Placements(), func(p *fleet.Placement) bool { return p.Active() && p.State != fleet.Planned })
		switch {
		case m.Up && !busy && (m.Cordoned || !m.TerminationTime.IsZero()):
			l.releaseMachine(m, "drained")
		case l.bootTimedOut(now, m):
			l.releaseMachine(m, "did not boot")
		case !partitioned && l.presumedLost(now, m, onlyShardUnreachable) && !l.retainsLostMachine(now, m):
			l.releaseMachine(m, "unreachable")
			l.detector.RecordEviction(now, m.Zone)
		case oneWay[m] && !m.Releasing:
			l.releaseMachine(m, "takes no commands")
		}
	}
}

// A machine that has sent no heartbeat after bootTimeoutFactor times the boot time of its type plus bootTimeoutMargin
// has failed to boot. The timeout is long because clouds are slow at times, and a machine that is released too early
// has been paid for and was never used.
const (
	bootTimeoutFactor = 4
	bootTimeoutMargin = 20 * time.Second // for the cloud to start the machine
)

// bootTimedOut reports whether a new machine has sent no heartbeat within its boot timeout.
func (l *Leader) bootTimedOut(now time.Time, m *fleet.Machine) bool {
	boot := l.machineType(m.Type).BootS
	return !m.Up && !m.Recorded && boot > 0 && now.Sub(m.DiscoveredAt) > wire.Seconds(bootTimeoutFactor*boot)+bootTimeoutMargin
}

// presumedLost reports whether a machine is unreachable and presumed lost. If only this shard is unreachable, a failed
// call is enough, because the leader reaches no other machine of the shard to compare with.
func (l *Leader) presumedLost(now time.Time, m *fleet.Machine, shardUnreachable bool) bool {
	if !m.Up && !m.Recorded || m.Releasing || !l.monitor.Unreachable(now, m) {
		return false
	}
	return l.monitor.PresumedLost(now, m) || shardUnreachable && l.monitor.CallsFailed(m)
}

// UnreachableMachines returns how many machines this leader can't reach because of a network fault. It is 0 if only few
// machines are missing.
func (l *Leader) UnreachableMachines(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.detector.UnreachableMachines(now)
}
