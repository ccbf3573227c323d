// Package leader leads a shard of the fleet. In rounds, it reconciles heartbeats and the cloud's list with
// the jobs of the state service, lets the scheduler plan, and writes what follows as one
// compare-and-swap that is fenced by the leader's token. A launch is sent to a machine only after the
// round that plans it is committed, so that the next leader knows of it whatever happens to this one.
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

// identity is what New sets and nothing changes while the leader leads, so that it is read without the
// lock, too.
type identity struct {
	cfg      *config.Config
	lease    leadership.Tenure
	log      *slog.Logger
	jobIndex JobIndex
	timeouts timeouts
}

// shardingState says which machines and tasks are this shard's, and how far the state of previous
// shardings has been taken over. New sets the sharding and what is assigned by it; the migration is
// advanced by the rounds, and SetPeerShards replaces what is known of the peers.
type shardingState struct {
	sharding       *fleet.Sharding
	assignment     *reshard.Assignment // of tasks to shards
	migration      *ledgerMigration
	clearedWritten uint64 // revision up to which the ledger says that nothing is left of ended jobs

	peerShards  map[string]ShardStatus // of the other shards, as their leaders last told
	ingestPeers int                    // controllers that forward heartbeats to this one
}

// handoverState is what the leader knows for handing tasks over to other shards. Each plan replaces the
// forecast, SetPeerShards what the targets offer, and each committed round what the ledger names.
type handoverState struct {
	forecast    forecast
	targets     *handover.Targets    // of tasks that find no capacity here
	ledgerTasks handover.LedgerTasks // what the own ledger names
}

// machineHealth tells which machines are reachable, and keeps the calls that find out. It is fed by
// heartbeats and by the results of calls; the release of unusable machines goes by it.
type machineHealth struct {
	monitor  *reachability.Monitor
	detector *reachability.Detector
	fencing  *reachability.Fencing
}

// Leader leads one shard of the fleet under one fencing token. It reads no clock and makes no calls
// but in Run: times and events come in, commands and transactions go out. One lock guards all of its
// state that changes, and no concern below has one of its own.
//
// The groups of fields that are embedded are read by many concerns; the comment of each says what
// changes it.
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

// New returns the leader that a lease makes, from a snapshot of the state and from the shard's
// ledgers, which are not older than that.
func New(cfg *config.Config, lease leadership.Tenure, snap store.Snapshot, ledgers store.ShardLedgers, types []wire.MachineType,
	jobIndex JobIndex, now time.Time, log *slog.Logger) *Leader {
	ledger, last := store.NewLedger(ledgers.Name, cfg.Store.ValueBytes, ledgers.Own)
	l := &Leader{
		identity: identity{cfg: cfg, lease: lease, jobIndex: jobIndex, timeouts: timeoutsOf(cfg),
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
	l.quota = quota.New(lease.Shard, l.sharding, cfg.Tuning.BeginWithin, l.log)
	l.monitor = reachability.NewMonitor(l.fleet, reachabilityTimeouts(l.timeouts, cfg))
	l.detector = reachability.NewDetector(l.monitor, l.zoneUnreachable)
	l.fencing = reachability.NewFencing(l.monitor)
	previous := reshard.NewPrevious(l.sharding, ledgers)
	l.assignment = reshard.NewAssignment(l.sharding, previous)
	l.startMigration(previous, ledgers.Migrated, &last)
	l.recoverZones(now, &last)
	l.continueZoneRecoveries(now, &last)
	l.preemptions = tier.NewPreemptions(cfg.Tiers().PerShard(len(l.sharding.Shards()), l.sharding.KeepsZonesWhole()), last.Preemptions)
	l.recoverMachines(now, &last)
	l.recoverFinished(&last)
	l.migrateFinished()
	for id, live := range l.liveJobs {
		if live.Record.CoAllocation >= store.CoAllocationFirstAttempt { // whether it was started here is not known
			l.jobState(id).coAllocation.Started = live.Record.CoAllocation
		}
	}
	l.log.Info("state recovered", "machines", len(last.Machines), "requests", len(last.ScaleOuts), "ledger", ledger.String())
	return l
}

// recoverMachines goes on from the machines and the scale-out requests that the ledger names.
func (l *Leader) recoverMachines(now time.Time, last *store.RecoveredState) {
	for _, id := range sortedKeys(last.Machines) { // in order, since each is added at the end
		m := last.Machines[id]
		if l.sharding.ShardOf(m.Zone, m.Type) == l.lease.Shard {
			l.fleet.RestoreMachine(now, id, m.Addr, m.Type, m.Zone, m.Spot, m.Incarnation, unsettled(m.Tasks, l.jobIndex))
		}
	}
	for name, record := range last.ScaleOuts {
		l.scaler.Recover(name, scheduler.ScaleOut{Offer: scheduler.Offer{Type: record.Type, Zone: record.Zone, Spot: record.Spot}, Count: record.Count})
	}
}

// recoverFinished goes on from the tasks of live jobs that the ledger says have finished.
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
			l.unstored.Add(id, l.lastRound) // the rest may have been handed over since
		}
	}
}

// FencingToken returns the token under which this leader leads.
func (l *Leader) FencingToken() uint64 { return l.lease.FencingToken }

// Wake asks for a round soon.
func (l *Leader) Wake() {
	l.loop.wakeRound()
}

// SetTypes replaces the machine types by those that the cloud lists now.
func (l *Leader) SetTypes(t []wire.MachineType) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.types, l.typesChanged = t, true
}
