// Package leader implements the leader of one shard of the fleet. It works in rounds. Each round reconciles
// the heartbeats and the cloud's machine list with the jobs in the state service, runs the scheduler, and
// writes the resulting changes as one compare-and-swap transaction, fenced by the leader's token. A launch is
// sent to a machine only after the round that plans it is committed, so that the next leader knows of it
// even if this one fails.
package leader

import (
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/autoscale"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/stall"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/internal/zonerecovery"
	"amberdeal.example/amberdeal/wire"
)

// identity holds the fields that New sets and that never change afterwards. They may be read without the lock.
type identity struct {
	cfg      *config.Config
	lease    leadership.Tenure
	log      *slog.Logger
	jobIndex JobIndex
	timeouts timeouts
}

// shardingState records which machines and tasks belong to this shard, and how much of the state of previous
// shardings has been migrated. New sets the sharding and the assignment, the rounds advance the migration,
// and SetPeerShards replaces what is known of the peers.
type shardingState struct {
	sharding       *fleet.Sharding
	assignment     *reshard.Assignment // assigns tasks to shards
	migration      *ledgerMigration
	drainedWritten uint64 // drained revision in the committed ledger (see drainedRevision)

	peerShards  map[string]ShardStatus // other shards by name, as last reported by their leaders
	ingestPeers int                    // number of controllers that forward heartbeats to this one
}

// handoverState is what the leader needs to hand tasks over to other shards. Each plan replaces the
// forecast, SetPeerShards replaces what the targets offer, and each committed round updates ledgerTasks.
type handoverState struct {
	forecast    forecast
	targets     *handover.Targets    // shards that may take tasks without capacity here
	ledgerTasks handover.LedgerTasks // tasks named by this shard's ledger
}

// machineHealth tracks which machines are reachable and the calls that probe them. Heartbeats and call
// results update it. It decides which unusable machines are released.
type machineHealth struct {
	monitor  *reachability.Monitor
	detector *reachability.Detector
	fencing  *reachability.FencingScheduler
}

// Leader leads one shard of the fleet under one fencing token. Only Run reads the clock and makes calls;
// all other methods take times and events as arguments, and return commands and transactions. One lock
// guards all of its mutable state; the components below have no locks of their own.
//
// The embedded structs are read by many components; the comment on each says what changes it.
type Leader struct {
	identity

	mu sync.Mutex
	jobTable
	roundState
	recoveryState
	shardingState
	handoverState
	machineHealth
	fleet       *fleet.Fleet
	types       []wire.MachineType
	ledger      *store.Ledger
	quota       *quota.Quota
	preemptions *tier.Preemptions
	zones       *zone.Watch
	recovery    *zonerecovery.Tracker
	scaler      *autoscale.Scaler
	stalls      stall.Detector
	idle        idleTracker
	display     statusCache
	loop        wakeups
}

// New returns the leader for an acquired lease. It recovers from a snapshot of the state and from the shard's
// ledgers, which are at least as recent as the snapshot.
func New(cfg *config.Config, lease leadership.Tenure, snap store.Snapshot, ledgers store.ShardLedgers, types []wire.MachineType,
	jobIndex JobIndex, now time.Time, log *slog.Logger) *Leader {
	ledger, last := store.NewLedger(ledgers.Name, cfg.Store.ValueBytes, ledgers.Own)
	l := &Leader{
		identity: identity{cfg: cfg, lease: lease, jobIndex: jobIndex, timeouts: newTimeouts(cfg),
			log: log.With("shard", lease.Shard, "token", lease.FencingToken)},
		jobTable:      newJobTable(snap),
		roundState:    newRoundState(last.Round, now),
		shardingState: shardingState{sharding: cfg.Sharding()},
		fleet:         fleet.New(lease.FencingToken, now, cfg.Workers.Lease, maxAnswerTime(cfg), cfg.Cloud.ListLag),
		types:         types,
		ledger:        ledger,
		scaler:        autoscale.NewScaler(cfg.Cloud.RPS),
		stalls:        stall.NewDetector(now),
		loop:          newWakeups(),
	}
	l.targets = handover.NewTargets(lease.Shard, l.sharding)
	l.quota = quota.New(lease.Shard, l.sharding, cfg.Tuning.MaxGangWait, l.log)
	l.monitor = reachability.NewMonitor(l.fleet, reachabilityTimeouts(l.timeouts, cfg))
	l.detector = reachability.NewDetector(l.monitor, l.zoneUnreachable)
	l.fencing = reachability.NewFencingScheduler(l.monitor)
	previous := reshard.NewPrevious(l.sharding, ledgers)
	l.assignment = reshard.NewAssignment(l.sharding, previous)
	l.startMigration(previous, ledgers.Migrated, &last)
	l.recoverZones(now, &last)
	l.resumeZoneRecoveries(now, &last)
	l.preemptions = tier.NewPreemptions(cfg.Tiers().PerShard(len(l.sharding.Shards()), l.sharding.KeepsZonesWhole()), last.Preemptions)
	l.recoverMachines(now, &last)
	l.recoverFinished(&last)
	l.migrateFinished()
	for id, live := range l.liveJobs {
		if live.Record.CoAllocation >= store.CoAllocationFirstAttempt { // whether it was started here is unknown
			l.jobState(id).coAllocation.Started = live.Record.CoAllocation
		}
	}
	l.log.Info("state recovered", "machines", len(last.Machines), "requests", len(last.ScaleOuts), "ledger", ledger.String())
	return l
}

// recoverMachines restores the machines and the scale-out requests that the ledger names.
func (l *Leader) recoverMachines(now time.Time, last *store.RecoveredState) {
	for _, id := range sortedKeys(last.Machines) { // sorted, so that the fleet appends each to its sorted list
		m := last.Machines[id]
		if l.sharding.ShardOf(m.Zone, m.Type) == l.lease.Shard {
			l.fleet.RestoreMachine(now, id, m.Addr, m.Type, m.Zone, m.Spot, m.Incarnation, uncompactedTasks(m.Tasks, l.jobIndex))
		}
	}
	for name, record := range last.ScaleOuts {
		l.scaler.Recover(name, scheduler.ScaleOut{Offer: scheduler.Offer{Type: record.Type, Zone: record.Zone, Spot: record.Spot}, Count: record.Count})
	}
}

// recoverFinished restores the finished tasks of live jobs from the ledger, and discards those of other jobs.
func (l *Leader) recoverFinished(last *store.RecoveredState) {
	for id, done := range last.FinishedTasks {
		if l.liveJobs[id] == nil {
			l.ledger.DiscardJob(id, wire.MaxTasks)
			continue
		}
		j := l.jobState(id)
		for _, i := range done.Difference(store.NewTaskSet(0)) {
			j.finished.Add(i)
			j.storedFinished.Add(i)
		}
		if !l.sharding.IsSingle() {
			l.unstoredCompletions.Add(id, l.lastRound) // the other tasks may have been handed over since
		}
	}
}

// FencingToken returns this leader's fencing token.
func (l *Leader) FencingToken() uint64 { return l.lease.FencingToken }

// Wake requests that the next round be decided soon.
func (l *Leader) Wake() {
	l.loop.wakeRound()
}

// SetTypes replaces the machine types with those that the cloud lists now.
func (l *Leader) SetTypes(t []wire.MachineType) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.types, l.typesChanged = t, true
}
