package leader

import (
	"slices"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// ledgerMigration tracks what a shard still has to copy into its own ledger from the ledgers of earlier shardings.
//
// After a resharding, each shard starts with an empty ledger. Over several rounds, it copies what concerns its machines
// from the earlier ledgers, and then records in its own ledger that it is done. Meanwhile, the jobs' records are
// rewritten with ranges of the new sharding. Once all shards and all jobs are migrated, the earlier ledgers are
// dropped.
type ledgerMigration struct {
	previous *reshard.Previous
	machines map[string]bool // machines whose records are yet to be written
	scaler   map[string]bool // scale-out requests that are yet to be written
	jobs     map[string]bool // jobs whose finished tasks are yet to be written
	zones    []string        // zones whose states are yet to be written
	complete bool            // nothing is left to migrate
	recorded bool            // the shard's ledger records that nothing is left
}

// newLedgerMigration adds the machines and scale-out requests that the earlier ledgers name, and that the shard owns,
// to what was recovered from its own ledger. migrated says that its own ledger already holds all of them.
func newLedgerMigration(previous *reshard.Previous, migrated bool, recovered *store.RecoveredState, owns func(zone, machineType string) bool) *ledgerMigration {
	m := &ledgerMigration{previous: previous, machines: make(map[string]bool), scaler: make(map[string]bool), jobs: make(map[string]bool), recorded: migrated}
	if migrated {
		return m
	}
	for id, r := range previous.Machines {
		if _, newer := recovered.Machines[id]; !newer && owns(r.Zone, r.Type) {
			recovered.Machines[id], m.machines[id] = r, true
		}
	}
	for name, r := range previous.ScaleOuts {
		if _, known := recovered.ScaleOuts[name]; !known && owns(r.Zone, r.Type) {
			recovered.ScaleOuts[name], m.scaler[name] = r, true
		}
	}
	return m
}

// empty reports whether nothing is left to migrate.
func (m *ledgerMigration) empty() bool {
	return len(m.machines)+len(m.scaler)+len(m.jobs)+len(m.zones) == 0
}

// due reports whether a round must be written to record that the migration is complete.
func (m *ledgerMigration) due() bool { return m.complete && !m.recorded }

// startMigration sets up ledgerTasks and the migration from what the shard's own and the earlier ledgers say.
func (l *Leader) startMigration(previous *reshard.Previous, migrated bool, recovered *store.RecoveredState) {
	if !l.sharding.IsSingle() {
		l.ledgerTasks = handover.NewLedgerTasks(recovered.Machines)
	}
	l.migration = newLedgerMigration(previous, migrated, recovered, func(zone, machineType string) bool {
		return l.sharding.ShardOf(zone, machineType) == l.lease.Shard
	})
}

// migrateFinished migrates the finished tasks of live jobs. Ranges that a job's record marks as done are not in any
// ledger; they stay in the record.
func (l *Leader) migrateFinished() {
	if l.assignment.Generation() == 0 {
		return
	}
	for _, id := range sortedKeys(l.liveJobs) {
		live := l.liveJobs[id]
		if finished := l.migration.previous.FinishedTasks[id]; !l.migration.recorded && finished != nil {
			j := l.jobState(id)
			for _, i := range finished.Difference(store.NewTaskSet(0)) {
				j.finished.Add(i)
			}
			l.migration.jobs[id] = true
			l.unstoredCompletions.Add(id, l.lastRound)
		}
		if l.assignment.Unassigned(live) {
			l.migrateDoneRanges(id, live)
		}
	}
}

// migrateDoneRanges marks the tasks as finished that a job's record of an earlier sharding marks as done.
func (l *Leader) migrateDoneRanges(id string, live *store.LiveJob) {
	for _, r := range live.Record.Ranges {
		if !r.Done || !r.Within(live.Record.Tasks) {
			continue
		}
		j := l.jobState(id)
		for i := r.From; i < r.To; i++ {
			j.finished.Add(i)
			j.storedFinished.Add(i)
		}
		l.unstoredCompletions.Add(id, l.lastRound)
		if gangCompleted(live, live.Record.Ranges) { // its tasks complete together
			l.markFinished(wire.TaskID{Job: id, Index: r.From}, j)
		}
	}
}

// writeMigrated adds to a round what is not yet in the shard's own ledger, as far as the round has capacity.
func (l *Leader) writeMigrated(d *Draft) {
	m := l.migration
	if m.complete {
		return
	}
	l.writeMigratedMachines(d)
	l.writeMigratedScaleOuts(d)
	l.writeMigratedZones(d)
	for id := range m.jobs {
		if j := l.jobStates[id]; l.liveJobs[id] == nil || j == nil || len(j.finished.Difference(j.storedFinished)) == 0 {
			delete(m.jobs, id)
		}
	}
	m.complete = m.empty()
	if generation := l.assignment.Generation(); m.due() && generation > 0 {
		l.log.Info("previous ledgers migrated", "generation", generation)
	}
}

func (l *Leader) writeMigratedMachines(d *Draft) {
	for _, id := range sortedKeys(l.migration.machines) {
		m := l.fleet.Machine(id)
		if m == nil || l.ledger.HasMachine(id) {
			delete(l.migration.machines, id)
		} else if !d.machines[id] && d.Add(l.machineEntry(d, id)) {
			d.machines[id] = true
		}
	}
}

func (l *Leader) writeMigratedScaleOuts(d *Draft) {
	for _, name := range sortedKeys(l.migration.scaler) {
		r := l.scaler.Request(name)
		if r == nil || l.ledger.HasScaleOut(name) {
			delete(l.migration.scaler, name)
		} else {
			d.Add(store.ScaleOutEntry(name, scaleOutRecord(r.ScaleOut)))
		}
	}
}

func (l *Leader) writeMigratedZones(d *Draft) {
	l.migration.zones = slices.DeleteFunc(l.migration.zones, l.ledger.HasZone)
	for _, name := range l.migration.zones {
		if !slices.ContainsFunc(d.zones, func(c zone.Change) bool { return c.Zone == name }) { // else the round has a newer state
			d.Add(zoneEntry(name, l.zones.Record(name)))
		}
	}
}
