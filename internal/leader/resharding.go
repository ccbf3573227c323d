package leader

import (
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// maxAssignedBatches bounds the batches that a round writes only to assign ranges to shards.
	maxAssignedBatches = 2
	// maxDroppedSegments bounds the segments of previous ledgers that a round deletes.
	maxDroppedSegments = 4
	// finalDropChanges is how many changes a round keeps free beside these deletions: deleting the last segment is
	// followed by an update of the sharding record.
	finalDropChanges = 2
)

// assignRanges adds ranges of the current sharding to the records of jobs that were written under a previous sharding.
// Each batch is written by the lead shard of its first such job, so that the rounds of two shards don't conflict.
func (l *Leader) assignRanges(d *Draft) {
	if l.sharding.IsSingle() || l.assignment.Generation() == 0 {
		return
	}
	before, unassigned := d.UpdateCount(), make(map[string]bool)
	for id, live := range l.liveJobs { // usually none is unassigned
		if l.assignment.Unassigned(live) {
			unassigned[id] = true
		} else {
			l.assignment.Forget(id)
		}
	}
	for _, id := range sortedKeys(unassigned) {
		live := l.liveJobs[id]
		if d.UpdateCount()-before >= maxAssignedBatches && d.Pending(live) == nil || !l.assignsBatchOf(live) {
			continue
		}
		l.rewriteRanges(d, id, live, l.assignment.Ranges(live))
	}
}

// assignsBatchOf reports whether this shard assigns ranges to the jobs in the batch of a job.
func (l *Leader) assignsBatchOf(live *store.LiveJob) bool {
	for _, member := range live.Batch.Jobs {
		if other := l.liveJobs[member.ID]; other != nil && l.assignment.Unassigned(other) && other.Batch == live.Batch {
			leadShard, _ := reshard.LeadShard(l.assignment.Ranges(other))
			return leadShard == l.lease.Shard
		}
	}
	return false
}

// dropPreviousLedgers deletes the ledgers of previous shardings once no shard needs them. Only the leader of the first
// shard does so.
func (l *Leader) dropPreviousLedgers(d *Draft, snap store.Snapshot) {
	sharding := snap.Sharding
	if len(sharding.Record.PreviousLedgers) == 0 || d.ChangesLeft() <= finalDropChanges || !l.previousLedgersUnused(snap) {
		return
	}
	segments := l.jobIndex.PreviousSegmentKeys()
	for _, key := range segments[:min(len(segments), maxDroppedSegments, d.ChangesLeft()-finalDropChanges)] {
		d.AddChange(wire.Operation{Delete: key})
	}
	if len(segments) > 0 {
		return
	}
	d.AddChangeIf(wire.Condition{Key: store.ShardingKey, Version: sharding.Version},
		wire.Operation{Put: store.ShardingKey, Value: store.ShardingRecord{Text: sharding.Record.Text, Generation: sharding.Record.Generation}})
	l.log.Info("previous ledgers dropped", "generation", l.assignment.Generation())
}

// previousLedgersUnused reports whether this shard may delete the previous ledgers. It may if it is the first shard,
// all shards have migrated the state of their machines, and the record of every live job assigns its tasks to shards.
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
