package leader

import (
	"slices"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// When a state has been divided anew, each part begins with an empty ledger. It takes what is
// of its machines in those of earlier groupings into its own, round by round, and says
// when it has; jobs are written with shares of their own meanwhile. Once all parts have
// and all jobs are, the earlier ledgers go.

// ledgerMigration is what is not yet in the part's own ledger.
type ledgerMigration struct {
	machines         map[string]bool
	scaleOutRequests map[string]bool
	jobs             map[string]bool // of which tasks have finished
	zones            []string        // whose states are told
	complete         bool            // all of it is
	recorded         bool            // and the ledger says so
}

// startMigration adds to what the own ledger tells what those of earlier groupings do.
func (h *Leader) startMigration(migrated bool, recalled *store.RecoveredState) {
	h.migration = ledgerMigration{machines: map[string]bool{}, scaleOutRequests: map[string]bool{}, jobs: map[string]bool{}, recorded: migrated}
	if !h.sharding.IsSingle() {
		h.ledgerTasks = handover.NewLedgerTasks(recalled.Machines)
	}
	if migrated {
		return
	}
	for id, m := range h.previous.Machines {
		if _, newer := recalled.Machines[id]; !newer && h.sharding.ShardOf(m.Zone, m.Type) == h.lease.Shard {
			recalled.Machines[id], h.migration.machines[id] = m, true
		}
	}
	for name, a := range h.previous.ScaleOuts {
		if _, known := recalled.ScaleOuts[name]; !known && h.sharding.ShardOf(a.Zone, a.Type) == h.lease.Shard {
			recalled.ScaleOuts[name], h.migration.scaleOutRequests[name] = a, true
		}
	}
}

// migrateFinished takes over which tasks of live jobs have finished. What a record marks as done
// is in no ledger, and stays in the record.
func (h *Leader) migrateFinished() {
	if h.shardingNumber == 0 {
		return
	}
	for _, id := range sortedKeys(h.liveJobs) {
		l := h.liveJobs[id]
		if !h.migration.recorded && h.previous.FinishedTasks[id] != nil {
			j := h.jobState(id)
			for _, i := range h.previous.FinishedTasks[id].Difference(store.NewTaskSet(0)) {
				j.finished.Add(i)
			}
			h.migration.jobs[id] = true
			h.unstored.Add(id, h.lastRound)
		}
		for _, s := range l.Record.Ranges {
			if !s.Done || !s.Within(l.Record.Tasks) || !h.unassigned(l) {
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
}

// writeMigrated writes what is not yet in the part's own ledger, as far as the round has room.
func (h *Leader) writeMigrated(d *Draft) {
	if h.migration.complete {
		return
	}
	for _, id := range sortedKeys(h.migration.machines) {
		m := h.fleet.Machine(id)
		if m == nil || h.ledger.HasMachine(id) {
			delete(h.migration.machines, id)
		} else if !d.machines[id] && d.Add(h.machineEntry(d, id)) {
			d.machines[id] = true
		}
	}
	for _, name := range sortedKeys(h.migration.scaleOutRequests) {
		a := h.scaleOutRequests.Request(name)
		if a == nil || h.ledger.HasScaleOut(name) {
			delete(h.migration.scaleOutRequests, name)
		} else {
			d.Add(store.ScaleOutEntry(name, scaleOutRecord(a.ScaleOut)))
		}
	}
	h.migration.zones = slices.DeleteFunc(h.migration.zones, h.ledger.HasZone)
	for _, name := range h.migration.zones {
		if !slices.ContainsFunc(d.zones, func(c zone.Change) bool { return c.Zone == name }) { // or the round says what follows
			d.Add(zoneEntry(name, h.zones.Record(name)))
		}
	}
	for id := range h.migration.jobs {
		if j := h.jobStates[id]; h.liveJobs[id] == nil || j == nil || len(j.finished.Difference(j.storedFinished)) == 0 {
			delete(h.migration.jobs, id)
		}
	}
	if h.migration.complete = len(h.migration.machines)+len(h.migration.scaleOutRequests)+len(h.migration.jobs)+len(h.migration.zones) == 0; h.migration.complete && h.shardingNumber > 0 && !h.migration.recorded {
		h.log.Info("all of earlier groupings taken over", "grouping", h.shardingNumber)
	}
}

// migrationDue reports whether a round is to be written that says that nothing is left to carry.
func (h *Leader) migrationDue() bool { return h.migration.complete && !h.migration.recorded }

// cachedRanges is what followed from the earlier ledgers for a job's home at a version.
type cachedRanges struct {
	version uint64
	ranges  []store.ShardRange
}

// unassigned reports whether a job's record says nothing of whose its tasks are in this grouping.
func (h *Leader) unassigned(l *store.LiveJob) bool {
	return l.Record.ShardingGeneration != h.shardingNumber
}

func (h *Leader) inferredRanges(l *store.LiveJob) []store.ShardRange {
	id := l.Record.Job.ID
	if c, ok := h.inferredShares[id]; ok && c.version == l.Batch.Version && len(l.Record.FinishedIn) == 0 {
		return c.ranges
	}
	c := cachedRanges{l.Batch.Version, h.previous.Ranges(id, &l.Record)}
	h.inferredShares[id] = c
	return c.ranges
}

// maxAssignedBatches bounds the homes that a round writes only to say whose the tasks of their jobs are.
const maxAssignedBatches = 2

// assignRanges writes jobs with their shares whose records are of an earlier grouping. Each home is
// written by the part that leads the first of them, so that no two refuse each other's rounds.
func (h *Leader) assignRanges(d *Draft) {
	if h.sharding.IsSingle() || h.shardingNumber == 0 {
		return
	}
	before, remaining := d.Updates(), make(map[string]bool)
	for id, l := range h.liveJobs { // mostly none
		if h.unassigned(l) {
			remaining[id] = true
		} else {
			delete(h.inferredShares, id)
		}
	}
	for _, id := range sortedKeys(remaining) {
		l := h.liveJobs[id]
		if d.Updates()-before >= maxAssignedBatches && d.Pending(l) == nil || !h.assigner(l) {
			continue
		}
		h.rewriteRanges(d, id, l, h.allRanges(l))
	}
}

func (h *Leader) assigner(l *store.LiveJob) bool {
	for _, m := range l.Batch.Jobs {
		if other := h.liveJobs[m.ID]; other != nil && h.unassigned(other) && other.Batch == l.Batch {
			lead, _ := reshard.LeadShard(h.allRanges(other))
			return lead == h.lease.Shard
		}
	}
	return false
}

// hasActiveTask reports whether a task of a job may be in this part.
func (h *Leader) hasActiveTask(l *store.LiveJob) bool {
	for i := range l.Record.Tasks {
		if h.fleet.ActivePlacement(wire.TaskID{Job: l.Record.Job.ID, Index: i}) != nil {
			return true
		}
	}
	return false
}

// gangCompleted reports whether another part has seen a gang complete: its tasks do so together.
func gangCompleted(l *store.LiveJob, ranges []store.ShardRange) bool {
	return l.Record.Job.Shape == wire.Gang && slices.ContainsFunc(ranges, func(s store.ShardRange) bool { return s.Done })
}

// maxDroppedSlots bounds the slots that a round drops.
const maxDroppedSlots = 4

// dropPreviousLedgers drops the ledgers of earlier groupings once nobody needs them: all parts have taken
// over what is of their machines, and every job that is not over says whose its tasks
// are. It is done by the holder of the first part.
func (h *Leader) dropPreviousLedgers(d *Draft, snap store.Snapshot) {
	g := snap.Sharding
	if len(g.Record.PreviousLedgers) == 0 || g.Record.Generation != h.shardingNumber || h.lease.Shard != h.sharding.Shards()[0] || !h.migration.recorded || d.ChangesLeft() <= 2 {
		return
	}
	for _, shard := range h.sharding.Shards() {
		if !h.jobIndex.Migrated(shard) {
			return
		}
	}
	for _, l := range snap.LiveJobs {
		if h.unassigned(l) && !h.sharding.IsSingle() {
			return
		}
	}
	slots := h.jobIndex.PreviousLedgerSlots()
	for _, key := range slots[:min(len(slots), maxDroppedSlots, d.ChangesLeft()-2)] {
		d.AddChange(wire.Operation{Delete: key})
	}
	if len(slots) > 0 {
		return
	}
	d.AddChangeIf(wire.Condition{Key: store.ShardingKey, Version: g.Version},
		wire.Operation{Put: store.ShardingKey, Value: store.ShardingRecord{Text: g.Record.Text, Generation: g.Record.Generation}})
	h.log.Info("the ledgers of earlier groupings are gone", "grouping", h.shardingNumber)
}
