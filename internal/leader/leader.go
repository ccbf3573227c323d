// Package leader leads a shard of the fleet. In rounds, it squares what machines and the cloud report
// with the jobs of the state service, lets the scheduler plan, and writes what follows as one
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

// identity is what does not change while a leader leads.
type identity struct {
	cfg      *config.Config
	lease    leadership.Tenure
	log      *slog.Logger
	jobIndex JobIndex
	timeouts timeouts
}

// shardingState says which machines and tasks are this shard's, and how far the state of previous
// shardings has been taken over.
type shardingState struct {
	sharding       *fleet.Sharding
	assignment     *reshard.Assignment // of tasks to shards
	migration      *ledgerMigration
	clearedWritten uint64 // revision up to which the ledger says that nothing is left of ended jobs

	peerShards  map[string]ShardStatus // of the other shards, as their leaders last told
	ingestPeers int                    // controllers that forward heartbeats to this one
}

// handoverState is what the leader knows for giving tasks to other shards.
type handoverState struct {
	forecast    forecast
	targets     *handover.Targets    // of tasks that find no capacity here
	ledgerTasks handover.LedgerTasks // what the own ledger names
}

// machineHealth tells which machines are reachable, and keeps the calls that find out.
type machineHealth struct {
	monitor  *reachability.Monitor
	detector *reachability.Detector
	fencing  *reachability.Fencing
}

// Leader leads one shard of the fleet under one fencing token. It reads no clock and makes no calls
// but in Run: times and events come in, commands and transactions go out. One lock guards all of its
// state, and no concern below has one of its own.
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
	h := &Leader{
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
	h.targets = handover.NewTargets(lease.Shard, h.sharding)
	h.quota = quota.New(lease.Shard, h.sharding, cfg.Tuning.BeginWithin, h.log)
	h.monitor = reachability.NewMonitor(h.fleet, reachabilityTimeouts(h.timeouts, cfg))
	h.detector = reachability.NewDetector(h.monitor, h.zoneUnreachable)
	h.fencing = reachability.NewFencing(h.monitor)
	previous := reshard.NewPrevious(h.sharding, ledgers)
	h.assignment = reshard.NewAssignment(h.sharding, previous)
	h.startMigration(previous, ledgers.Migrated, &last)
	h.recoverZones(now, &last)
	h.continueZoneRecoveries(now, &last)
	h.preemptions = tier.NewPreemptions(cfg.Tiers().PerShard(len(h.sharding.Shards()), h.sharding.KeepsZonesWhole()), last.Preemptions)
	h.recoverMachines(now, &last)
	h.recoverFinished(&last)
	h.migrateFinished()
	for id, l := range h.liveJobs {
		if l.Record.CoAllocation >= store.CoAllocationFirstAttempt { // whether it was started here is not known
			h.jobState(id).coAllocation.Started = l.Record.CoAllocation
		}
	}
	h.log.Info("state recovered", "machines", len(last.Machines), "requests", len(last.ScaleOuts), "ledger", ledger.String())
	return h
}

// recoverMachines goes on from the machines and the scale-out requests that the ledger names.
func (h *Leader) recoverMachines(now time.Time, last *store.RecoveredState) {
	for _, id := range sortedKeys(last.Machines) { // in order, since each is added at the end
		m := last.Machines[id]
		if h.sharding.ShardOf(m.Zone, m.Type) == h.lease.Shard {
			h.fleet.RestoreMachine(now, id, m.Addr, m.Type, m.Zone, m.Spot, m.Incarnation, unsettled(m.Tasks, h.jobIndex))
		}
	}
	for name, a := range last.ScaleOuts {
		h.scaler.Recover(name, scheduler.ScaleOut{Offer: scheduler.Offer{Type: a.Type, Zone: a.Zone, Spot: a.Spot}, Count: a.Count})
	}
}

// recoverFinished goes on from the tasks of live jobs that the ledger says have finished.
func (h *Leader) recoverFinished(last *store.RecoveredState) {
	for id, done := range last.FinishedTasks {
		if h.liveJobs[id] == nil {
			h.ledger.DiscardJob(id, wire.MaxTasks)
			continue
		}
		j := h.jobState(id)
		for _, i := range done.Difference(store.NewTaskSet(0)) {
			j.finished.Add(i)
			j.storedFinished.Add(i)
		}
		if !h.sharding.IsSingle() {
			h.unstored.Add(id, h.lastRound) // the rest may have been given away since
		}
	}
}

// FencingToken returns the token under which this leader leads.
func (h *Leader) FencingToken() uint64 { return h.lease.FencingToken }

// Wake asks for a round soon.
func (h *Leader) Wake() {
	h.loop.wakeRound()
}

// SetTypes replaces the machine types by those that the cloud lists now.
func (h *Leader) SetTypes(t []wire.MachineType) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.types, h.typesChanged = t, true
}
