package reshard

import (
	"slices"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/store"
)

// Assignment says which shard answers for each task of a job in the present sharding. It is not safe for
// concurrent use.
type Assignment struct {
	sharding *fleet.Sharding
	previous *Previous
	inferred map[string]inferredRanges // by job whose record is of an earlier sharding
}

// inferredRanges follow from the previous ledgers for a batch of jobs at a version.
type inferredRanges struct {
	version uint64
	ranges  []store.ShardRange
}

// NewAssignment returns the assignment of a sharding that may have divided a state anew.
func NewAssignment(sharding *fleet.Sharding, previous *Previous) *Assignment {
	return &Assignment{sharding: sharding, previous: previous, inferred: make(map[string]inferredRanges)}
}

// Generation gives the number of the present sharding, 0 for the first.
func (a *Assignment) Generation() uint64 { return a.previous.generation }

// Unassigned reports whether a job's record does not say which shards its tasks belong to in this sharding.
func (a *Assignment) Unassigned(l *store.LiveJob) bool {
	return l.Record.ShardingGeneration != a.previous.generation
}

// Ranges gives all ranges of a job. Where its record is of an earlier sharding, they follow from the ledgers
// of that. What was left to a shard that no longer exists belongs to the first.
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

// inferredRanges gives the ranges of a job whose record is of an earlier sharding. What follows from a
// record that says where tasks have finished is not kept: it may be the leader's own, of a round that
// is refused, and the version of the batch does not tell it from the stored one.
func (a *Assignment) inferredRanges(l *store.LiveJob) []store.ShardRange {
	id := l.Record.Job.ID
	if len(l.Record.FinishedIn) > 0 {
		return a.previous.Ranges(id, &l.Record)
	}
	if c, ok := a.inferred[id]; ok && c.version == l.Batch.Version {
		return c.ranges
	}
	c := inferredRanges{l.Batch.Version, a.previous.Ranges(id, &l.Record)}
	a.inferred[id] = c
	return c.ranges
}

// Forget drops what was inferred of a job that is over or whose record says its ranges now.
func (a *Assignment) Forget(job string) { delete(a.inferred, job) }
