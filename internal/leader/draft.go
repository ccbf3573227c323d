package leader

import (
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/leader/commit"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/internal/zonerecovery"
)

// Draft is a round that was decided but not yet committed.
type Draft struct {
	*commit.Builder
	Number uint64

	drainedRevision uint64 // revision up to which it records the shard as drained of ended jobs
	migrated        bool   // it records that the migration from previous shardings is complete
	launches        []*fleet.Placement
	finished        map[string][]int             // tasks that it stores as finished, by job
	done            []string                     // jobs that it stores as done
	machines        map[string]bool              // machines whose records it writes
	ledgerTasks     map[string]map[string]uint64 // tasks that these records name, by machine
	zones           []zone.Change                // changes of zone states
	zoneRecoveries  map[string]*zonerecovery.Plan
	scaleOuts       []string
	dropped         []string // scale-out requests and machines whose records it deletes
	storesTypes     bool     // it stores the machine types
	decidedAt       time.Time
	expansions      map[string]*tier.Preemption  // preemptions that get more reservations, by job
	stale           map[tier.ReservationKey]bool // reservation records; true if still outdated after this round
}

// newDraft returns an empty round that is limited to what the state service accepts.
func (l *Leader) newDraft() *Draft {
	maxChanges := min(l.cfg.Store.TxnOps, store.LeaderBurst(l.cfg.Store.WriteRPS, l.cfg.Writers().MinWriteShare(), len(l.sharding.Shards())))
	conditions := l.conflictBackoff.Limit(4*l.cfg.Store.TxnOps - l.cfg.Store.TxnOps/2 - 3)
	return &Draft{Builder: commit.NewBuilder(commit.Limits{Changes: maxChanges, Conditions: conditions}), Number: l.lastRound + 1,
		finished: map[string][]int{}, machines: map[string]bool{}, ledgerTasks: map[string]map[string]uint64{},
		expansions: map[string]*tier.Preemption{}, stale: map[tier.ReservationKey]bool{}}
}

// Committed applies the effects of a round that was committed at the given revision.
func (l *Leader) Committed(d *Draft, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRound = d.Number
	l.conflictBackoff.Committed()
	if len(d.launches) > 0 {
		l.stalls.Launched(d.decidedAt)
	}
	l.drainedWritten = max(l.drainedWritten, d.drainedRevision)
	l.migration.recorded = l.migration.recorded || d.migrated
	l.ledger.Commit(d.Packed(), revision)
	l.commitPreemptions(d)
	for _, p := range d.launches {
		p.Committed = true
		if j := l.jobStates[p.Task.Job]; j != nil {
			j.coAllocation.Committed(p.Attempt)
		}
	}
	for id, tasks := range d.finished {
		j := l.jobState(id)
		for _, i := range tasks {
			j.storedFinished.Add(i)
		}
	}
	for _, id := range d.done {
		l.log.Info("job done", "job", id, "round", d.Number)
	}
	for id := range d.machines {
		l.ledgerTasks.Update(id, d.ledgerTasks[id])
		if m := l.fleet.Machine(id); m != nil {
			m.Recorded = true
		} else {
			l.machinesToDrop[id] = true
		}
	}
	l.scaler.RecordsStored(d.scaleOuts)
	l.commitZones(d.zones)
	l.commitZoneRecoveries(d.zoneRecoveries)
	for _, name := range d.dropped {
		l.scaler.RecordDeleted(name)
		if !d.machines[name] {
			delete(l.machinesToDrop, name)
			l.ledgerTasks.Update(name, nil)
		}
	}
	if len(d.launches) > 0 || len(d.done) > 0 {
		l.log.Debug("round committed", "number", d.Number, "launches", len(d.launches), "done", len(d.done), "requests", len(d.scaleOuts), "slots", len(d.Packed().Then))
	}
}

// Discard reverts a round that will never be committed.
func (l *Leader) Discard(d *Draft) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conflictBackoff.Refused(d.GuardedCount())
	l.discardDraft(d)
}

// discardDraft withdraws the launches and scale-out requests of a round.
func (l *Leader) discardDraft(d *Draft) {
	for _, p := range d.launches {
		if l.fleet.Machine(p.Machine) != nil {
			l.fleet.Withdraw(p)
		}
	}
	for _, name := range d.scaleOuts {
		l.scaler.Forget(name)
	}
	l.typesChanged = l.typesChanged || d.storesTypes
}
