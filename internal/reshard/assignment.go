package reshard

import (
	"slices"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
)

// Assignment determines which shard owns each task of a job in the present sharding. It is not safe for concurrent
// use.
type Assignment struct {
	sharding *fleet.Sharding
	previous *Previous
	inferred map[string]inferredRanges // by job, for jobs whose records are of an earlier sharding
}

// inferredRanges are the ranges of a job that follow from the previous ledgers, at a version of its batch record.
type inferredRanges struct {
	version uint64
	ranges  []store.ShardRange
}

// NewAssignment returns the assignment of a sharding, given the ledgers of earlier ones.
func NewAssignment(sharding *fleet.Sharding, previous *Previous) *Assignment {
	return &Assignment{sharding: sharding, previous: previous, inferred: make(map[string]inferredRanges)}
}

// Generation returns the generation of the present sharding, which is 0 for the first one.
func (a *Assignment) Generation() uint64 { return a.previous.generation }

// Unassigned reports whether a job's record is of an earlier sharding, so that it does not say which shards of the
// present one its tasks belong to.
func (a *Assignment) Unassigned(l *store.LiveJob) bool {
	return l.Record.ShardingGeneration != a.previous.generation
}

// Ranges returns all ranges of a job. If its record is of an earlier sharding, they are inferred from the previous
// ledgers. Ranges of a shard that no longer exists belong to the first shard.
func (a *Assignment) Ranges(l *store.LiveJob) []store.ShardRange {
	if a.Unassigned(l) {
		return a.inferredRanges(l)
	}
	first := a.sharding.Shards()[0]
	if len(l.Record.Ranges) == 0 {
		return []store.ShardRange{{From: 0, To: l.Record.Tasks, Shard: first}}
	}
	out := l.Record.Ranges
	for i, s := range out {
		if !slices.Contains(a.sharding.Shards(), s.Shard) {
			if &out[0] == &l.Record.Ranges[0] {
				out = slices.Clone(out)
			}
			out[i].Shard = first
		}
	}
	return out
}

// inferredRanges returns the ranges of a job whose record is of an earlier sharding. The result is not cached if the
// record lists shards that have finished: it may be the leader's own draft in a round that is rejected later, and
// the batch version does not distinguish the draft from the stored record.
func (a *Assignment) inferredRanges(l *store.LiveJob) []store.ShardRange {
	id := l.Record.Job.ID
	if len(l.Record.FinishedIn) > 0 {
		return a.previous.Ranges(id, &l.Record)
	}
	if entry, ok := a.inferred[id]; ok && entry.version == l.Batch.Version {
		return entry.ranges
	}
	entry := inferredRanges{l.Batch.Version, a.previous.Ranges(id, &l.Record)}
	a.inferred[id] = entry
	return entry.ranges
}

// Forget drops the cached ranges of a job that has ended or whose record now holds its ranges.
func (a *Assignment) Forget(job string) { delete(a.inferred, job) }
