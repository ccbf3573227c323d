package leader

import (
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// maxAssignedBatches bounds the batches that a round writes only to assign the ranges of their jobs.
	maxAssignedBatches = 2
	// maxDroppedSegments bounds the segments of earlier ledgers that a round drops.
	maxDroppedSegments = 4
	// dropChanges are the changes that a round must have left for dropping the last of them.
	dropChanges = 2
)

// assignRanges writes jobs whose records are of an earlier sharding with ranges of this one. Each batch is written by
// the shard that leads the first of them, so that no two refuse each other's rounds.
func (l *Leader) assignRanges(d *Draft) {
	if l.sharding.IsSingle() || l.assignment.Generation() == 0 {
		return
	}
	before, unassigned := d.Updates(), make(map[string]bool)
	for id, live := range l.liveJobs { // mostly none
		if l.assignment.Unassigned(live) {
			unassigned[id] = true
		} else {
			l.assignment.Forget(id)
		}
	}
	for _, id := range sortedKeys(unassigned) {
		live := l.liveJobs[id]
		if d.Updates()-before >= maxAssignedBatches && d.Pending(live) == nil || !l.assigns(live) {
			continue
		}
		l.rewriteRanges(d, id, live, l.assignment.Ranges(live))
	}
}

// assigns reports whether this shard assigns the jobs of a job's batch.
func (l *Leader) assigns(live *store.LiveJob) bool {
	for _, m := range live.Batch.Jobs {
		if other := l.liveJobs[m.ID]; other != nil && l.assignment.Unassigned(other) && other.Batch == live.Batch {
			lead, _ := reshard.LeadShard(l.assignment.Ranges(other))
			return lead == l.lease.Shard
		}
	}
	return false
}

// dropPreviousLedgers drops the ledgers of earlier shardings once none needs them. The leader of the first shard does it.
func (l *Leader) dropPreviousLedgers(d *Draft, snap store.Snapshot) {
	sharding := snap.Sharding
	if len(sharding.Record.PreviousLedgers) == 0 || d.ChangesLeft() <= dropChanges || !l.previousLedgersUnused(snap) {
		return
	}
	segments := l.jobIndex.PreviousLedgerSlots()
	for _, key := range segments[:min(len(segments), maxDroppedSegments, d.ChangesLeft()-dropChanges)] {
		d.AddChange(wire.Operation{Delete: key})
	}
	if len(segments) > 0 {
		return
	}
	d.AddChangeIf(wire.Condition{Key: store.ShardingKey, Version: sharding.Version},
		wire.Operation{Put: store.ShardingKey, Value: store.ShardingRecord{Text: sharding.Record.Text, Generation: sharding.Record.Generation}})
	l.log.Info("previous ledgers dropped", "generation", l.assignment.Generation())
}

// previousLedgersUnused reports whether all shards have taken over what concerns their machines, every job that has not ended
// says which shards its tasks belong to, and this is the first shard, which drops the ledgers.
func (l *Leader) previousLedgersUnused(snap store.Snapshot) bool {
	if snap.Sharding.Record.Generation != l.assignment.Generation() || l.lease.Shard != l.sharding.Shards()[0] || !l.migration.recorded {
		return false
	}
	for _, shard := range l.sharding.Shards() {
		if !l.jobIndex.Migrated(shard) {
			return false
		}
	}
	for _, live := range snap.LiveJobs {
		if l.assignment.Unassigned(live) && !l.sharding.IsSingle() {
			return false
		}
	}
	return true
}
