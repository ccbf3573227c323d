// Package leader is the holder's loop: it collects what the workers and the
// cloud report, decides, and writes each round as one fenced transaction.
// Only after the store has taken a round are its launches said to anyone.
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

// Leader holds one part of the fleet under one term. Its methods are pure but
// for the lock: times and events come in, commands and transactions go out.
type Leader struct {
	cfg      *config.Config
	lease    leadership.Tenure
	log      *slog.Logger
	jobIndex JobIndex

	mu sync.Mutex
	jobTable
	roundState
	recoveryState
	display          statusCache
	rejected         RejectedHeartbeats
	idle             idleTracker
	loop             wakeups
	fleet            *fleet.Fleet
	types            []wire.MachineType
	ledger           *store.Ledger
	timeouts         timeouts
	stalls           stall.Detector
	sharding         *fleet.Sharding
	peerShards       map[string]ShardStatus // of the parts that siblings hold, as last told
	ingestPeers      int                    // siblings that pass reports on to here
	forecast         forecast
	targets          *handover.Targets    // of tasks that find no capacity here
	ledgerTasks      handover.LedgerTasks // what the own ledger names
	quota            *quota.Quota
	clearedWritten   uint64              // up to which revision the ledger says that nothing is left of ended jobs
	assignment       *reshard.Assignment // of tasks to shards
	migration        *ledgerMigration
	scaleOutRequests *autoscale.Scaler
	monitor          *reachability.Monitor
	detector         *reachability.Detector
	fencing          *reachability.Fencing
	zones            *zone.Watch
	recovery         *zonerecovery.Tracker
	preemptions      *tier.Preemptions
}

// New gives the holder of a claim, from a snapshot and the part's ledgers, which are not
// older.
func New(cfg *config.Config, lease leadership.Tenure, snap store.Snapshot, ledgers store.ShardLedgers, types []wire.MachineType,
	jobIndex JobIndex, now time.Time, log *slog.Logger) *Leader {
	ledger, last := store.NewLedger(ledgers.Name, cfg.Store.ValueBytes, ledgers.Own)
	h := &Leader{
		cfg: cfg, lease: lease, log: log.With("part", lease.Shard, "term", lease.FencingToken), jobIndex: jobIndex,
		fleet:  fleet.New(lease.FencingToken, now, cfg.Workers.Lease, maxAnswerTime(cfg), cfg.Cloud.ListLag),
		ledger: ledger, timeouts: timeoutsOf(cfg), types: types,
		jobTable: newJobTable(snap), roundState: newRoundState(last.Round, now), loop: newWakeups(),
		scaleOutRequests: autoscale.NewScaler(cfg.Cloud.RPS), stalls: stall.NewDetector(now),
		sharding: cfg.Sharding(),
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
	for _, id := range sortedKeys(last.Machines) { // in order, each is added at the end
		m := last.Machines[id]
		if h.sharding.ShardOf(m.Zone, m.Type) == lease.Shard {
			h.fleet.RestoreMachine(now, id, m.Addr, m.Type, m.Zone, m.Spot, m.Incarnation, unsettled(m.Tasks, jobIndex))
		}
	}
	for name, a := range last.ScaleOuts {
		h.scaleOutRequests.Recover(name, scheduler.ScaleOut{Offer: scheduler.Offer{Type: a.Type, Zone: a.Zone, Spot: a.Spot}, Count: a.Count})
	}
	for id, done := range last.FinishedTasks {
		if snap.LiveJobs[id] == nil {
			ledger.DiscardJob(id, wire.MaxTasks)
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
	h.migrateFinished()
	for id, l := range h.liveJobs {
		if l.Record.CoAllocation >= store.CoAllocationFirstAttempt { // whether it was started here, nobody knows
			h.jobState(id).coAllocation.Started = l.Record.CoAllocation
		}
	}
	h.log.Info("recalled", "machines", len(last.Machines), "asks", len(last.ScaleOuts), "ledger", ledger.String())
	return h
}

// FencingToken is the holder's term.
func (h *Leader) FencingToken() uint64 { return h.lease.FencingToken }

// Wake asks for a round soon.
func (h *Leader) Wake() {
	h.loop.wakeRound()
}

// SetTypes takes in the cloud's machine types.
func (h *Leader) SetTypes(t []wire.MachineType) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.types, h.typesChanged = t, true
}
