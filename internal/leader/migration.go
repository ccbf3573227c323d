package leader

import (
	"slices"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// ledgerMigration is what a shard has yet to take over into its own ledger.
//
// After a resharding each shard begins with an empty ledger. It takes what concerns its machines over from those
// of earlier shardings, round by round, and records in its own when it has; meanwhile jobs are written with ranges of
// the new sharding. Once all shards have, and all jobs are, the earlier ledgers are dropped.
type ledgerMigration struct {
	previous *reshard.Previous
	machines map[string]bool // whose records are yet to be written
	scaler   map[string]bool
	jobs     map[string]bool // of which finished tasks are yet to be written
	zones    []string        // whose states are yet to be written
	complete bool            // nothing is left
	recorded bool            // and the shard's ledger says so
}

// newLedgerMigration adds to what the shard's own ledger has recalled what earlier ones say of the machines that it
// owns. Migrated says that its ledger already holds all of that.
func newLedgerMigration(previous *reshard.Previous, migrated bool, recalled *store.RecoveredState, owns func(zone, machineType string) bool) *ledgerMigration {
	m := &ledgerMigration{previous: previous, machines: make(map[string]bool), scaler: make(map[string]bool), jobs: make(map[string]bool), recorded: migrated}
	if migrated {
		return m
	}
	for id, r := range previous.Machines {
		if _, newer := recalled.Machines[id]; !newer && owns(r.Zone, r.Type) {
			recalled.Machines[id], m.machines[id] = r, true
		}
	}
	for name, r := range previous.ScaleOuts {
		if _, known := recalled.ScaleOuts[name]; !known && owns(r.Zone, r.Type) {
			recalled.ScaleOuts[name], m.scaler[name] = r, true
		}
	}
	return m
}

// empty reports whether nothing is left to take over.
func (m *ledgerMigration) empty() bool {
	return len(m.machines)+len(m.scaler)+len(m.jobs)+len(m.zones) == 0
}

// due reports whether a round is to be written that records that nothing is left to take over.
func (m *ledgerMigration) due() bool { return m.complete && !m.recorded }

// startMigration continues with the shard's own ledger, and with what is yet to be taken over from earlier ones.
func (h *Leader) startMigration(previous *reshard.Previous, migrated bool, recalled *store.RecoveredState) {
	if !h.sharding.IsSingle() {
		h.ledgerTasks = handover.NewLedgerTasks(recalled.Machines)
	}
	h.migration = newLedgerMigration(previous, migrated, recalled, func(zone, machineType string) bool {
		return h.sharding.ShardOf(zone, machineType) == h.lease.Shard
	})
}

// migrateFinished takes over which tasks of live jobs have finished. What a job's record marks as done is in no
// ledger, and stays in the record.
func (h *Leader) migrateFinished() {
	if h.assignment.Generation() == 0 {
		return
	}
	for _, id := range sortedKeys(h.liveJobs) {
		l := h.liveJobs[id]
		if finished := h.migration.previous.FinishedTasks[id]; !h.migration.recorded && finished != nil {
			j := h.jobState(id)
			for _, i := range finished.Difference(store.NewTaskSet(0)) {
				j.finished.Add(i)
			}
			h.migration.jobs[id] = true
			h.unstored.Add(id, h.lastRound)
		}
		if h.assignment.Unassigned(l) {
			h.migrateDoneRanges(id, l)
		}
	}
}

// migrateDoneRanges takes over the tasks that a job's record of an earlier sharding marks as done.
func (h *Leader) migrateDoneRanges(id string, l *store.LiveJob) {
	for _, s := range l.Record.Ranges {
		if !s.Done || !s.Within(l.Record.Tasks) {
			continue
		}
		j := h.jobState(id)
		for i := s.From; i < s.To; i++ {
			j.finished.Add(i)
			j.storedFinished.Add(i)
		}
		h.unstored.Add(id, h.lastRound)
		if gangCompleted(l, l.Record.Ranges) { // its tasks complete together
			h.markFinished(wire.TaskID{Job: id, Index: s.From}, j)
		}
	}
}

// writeMigrated writes what is not yet in the shard's own ledger, as far as the round has capacity.
func (h *Leader) writeMigrated(d *Draft) {
	m := h.migration
	if m.complete {
		return
	}
	h.writeMigratedMachines(d)
	h.writeMigratedScaleOuts(d)
	h.writeMigratedZones(d)
	for id := range m.jobs {
		if j := h.jobStates[id]; h.liveJobs[id] == nil || j == nil || len(j.finished.Difference(j.storedFinished)) == 0 {
			delete(m.jobs, id)
		}
	}
	m.complete = m.empty()
	if generation := h.assignment.Generation(); m.due() && generation > 0 {
		h.log.Info("previous ledgers migrated", "generation", generation)
	}
}

func (h *Leader) writeMigratedMachines(d *Draft) {
	for _, id := range sortedKeys(h.migration.machines) {
		m := h.fleet.Machine(id)
		if m == nil || h.ledger.HasMachine(id) {
			delete(h.migration.machines, id)
		} else if !d.machines[id] && d.Add(h.machineEntry(d, id)) {
			d.machines[id] = true
		}
	}
}

func (h *Leader) writeMigratedScaleOuts(d *Draft) {
	for _, name := range sortedKeys(h.migration.scaler) {
		r := h.scaler.Request(name)
		if r == nil || h.ledger.HasScaleOut(name) {
			delete(h.migration.scaler, name)
		} else {
			d.Add(store.ScaleOutEntry(name, scaleOutRecord(r.ScaleOut)))
		}
	}
}

func (h *Leader) writeMigratedZones(d *Draft) {
	h.migration.zones = slices.DeleteFunc(h.migration.zones, h.ledger.HasZone)
	for _, name := range h.migration.zones {
		if !slices.ContainsFunc(d.zones, func(c zone.Change) bool { return c.Zone == name }) { // else the round writes a newer state
			d.Add(zoneEntry(name, h.zones.Record(name)))
		}
	}
}
