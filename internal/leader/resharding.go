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
func (h *Leader) assignRanges(d *Draft) {
	if h.sharding.IsSingle() || h.assignment.Generation() == 0 {
		return
	}
	before, unassigned := d.Updates(), make(map[string]bool)
	for id, l := range h.liveJobs { // mostly none
		if h.assignment.Unassigned(l) {
			unassigned[id] = true
		} else {
			h.assignment.Forget(id)
		}
	}
	for _, id := range sortedKeys(unassigned) {
		l := h.liveJobs[id]
		if d.Updates()-before >= maxAssignedBatches && d.Pending(l) == nil || !h.assigns(l) {
			continue
		}
		h.rewriteRanges(d, id, l, h.assignment.Ranges(l))
	}
}

// assigns reports whether this shard assigns the jobs of a job's batch.
func (h *Leader) assigns(l *store.LiveJob) bool {
	for _, m := range l.Batch.Jobs {
		if other := h.liveJobs[m.ID]; other != nil && h.assignment.Unassigned(other) && other.Batch == l.Batch {
			lead, _ := reshard.LeadShard(h.assignment.Ranges(other))
			return lead == h.lease.Shard
		}
	}
	return false
}

// dropPreviousLedgers drops the ledgers of earlier shardings once none needs them. The leader of the first shard does it.
func (h *Leader) dropPreviousLedgers(d *Draft, snap store.Snapshot) {
	g := snap.Sharding
	if len(g.Record.PreviousLedgers) == 0 || d.ChangesLeft() <= dropChanges || !h.previousLedgersUnused(snap) {
		return
	}
	segments := h.jobIndex.PreviousLedgerSlots()
	for _, key := range segments[:min(len(segments), maxDroppedSegments, d.ChangesLeft()-dropChanges)] {
		d.AddChange(wire.Operation{Delete: key})
	}
	if len(segments) > 0 {
		return
	}
	d.AddChangeIf(wire.Condition{Key: store.ShardingKey, Version: g.Version},
		wire.Operation{Put: store.ShardingKey, Value: store.ShardingRecord{Text: g.Record.Text, Generation: g.Record.Generation}})
	h.log.Info("previous ledgers dropped", "generation", h.assignment.Generation())
}

// previousLedgersUnused reports whether all shards have taken over what concerns their machines, every job that has not ended
// says which shards its tasks belong to, and this is the first shard, which drops the ledgers.
func (h *Leader) previousLedgersUnused(snap store.Snapshot) bool {
	if snap.Sharding.Record.Generation != h.assignment.Generation() || h.lease.Shard != h.sharding.Shards()[0] || !h.migration.recorded {
		return false
	}
	for _, shard := range h.sharding.Shards() {
		if !h.jobIndex.Migrated(shard) {
			return false
		}
	}
	for _, l := range snap.LiveJobs {
		if h.assignment.Unassigned(l) && !h.sharding.IsSingle() {
			return false
		}
	}
	return true
}
