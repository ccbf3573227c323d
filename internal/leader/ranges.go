package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// ownRanges gives the ranges of a job's tasks that this shard answers for and that have not all finished, and
// how many tasks other shards have yet to finish.
func (l *Leader) ownRanges(live *store.LiveJob) (own []store.ShardRange, elsewhere int) {
	if l.sharding.IsSingle() {
		return []store.ShardRange{{From: 0, To: live.Record.Tasks, Shard: l.lease.Shard}}, 0
	}
	for _, r := range l.assignment.Ranges(live) {
		switch {
		case r.Done, !r.Within(live.Record.Tasks):
		case r.Shard == l.lease.Shard:
			own = append(own, r)
		default:
			elsewhere += r.To - r.From
		}
	}
	return own, elsewhere
}

// allFinished reports whether every task of a job that belongs to this shard has finished.
func (l *Leader) allFinished(live *store.LiveJob, j *jobState) bool {
	if l.sharding.IsSingle() {
		return j.finished.Count() >= live.Record.Tasks
	}
	own, _ := l.ownRanges(live)
	for _, r := range own {
		for i := r.From; i < r.To; i++ {
			if !j.finished.Contains(i) {
				return false
			}
		}
	}
	return len(own) > 0
}

// finishRanges marks the tasks of a job that belong to this shard as finished. The last shard to do so marks the job
// as done: all others must say so in the very record that is written.
func (l *Leader) finishRanges(r *store.BatchUpdate, id string, live *store.LiveJob, now time.Time) (done bool) {
	if l.sharding.IsSingle() {
		r.EndJob(id, wire.Done, now)
		return true
	}
	ranges, last := slices.Clone(l.assignment.Ranges(live)), true
	for i := range ranges {
		if ranges[i].Shard == l.lease.Shard {
			ranges[i].Done = true
		}
		last = last && ranges[i].Done
	}
	switch {
	case last:
		r.EndJob(id, wire.Done, now)
	case l.assignment.Unassigned(live): // it may have too many ranges to be written
		l.liveJobs[id] = &store.LiveJob{Record: r.MarkFinishedIn(id, store.LedgerName(l.lease.Shard, l.assignment.Generation())), Batch: live.Batch, SinceRevision: live.SinceRevision}
	default:
		l.updateRanges(r, id, live, ranges)
	}
	return last
}

// updateRanges writes other ranges of a job, and goes by them from here on.
func (l *Leader) updateRanges(r *store.BatchUpdate, id string, live *store.LiveJob, ranges []store.ShardRange) {
	l.liveJobs[id] = &store.LiveJob{Record: r.AssignRanges(id, ranges, l.assignment.Generation()), Batch: live.Batch, SinceRevision: live.SinceRevision}
}

// rewriteRanges adds other ranges of a job to a round, if there is capacity for them in the round and in the
// job's batch.
func (l *Leader) rewriteRanges(d *Draft, id string, live *store.LiveJob, ranges []store.ShardRange) bool {
	if _, ends := d.finished[id]; ends {
		return false // the end that this round records goes first
	}
	for i := range l.staleTasks(id) {
		if handover.ShardOf(ranges, i) != l.lease.Shard {
			return false // it may go once the ledger no longer names it
		}
	}
	r := d.Pending(live)
	if r == nil {
		r = live.Batch.Update()
	}
	if r.BytesWithRanges(id, ranges, l.assignment.Generation()) > l.cfg.Store.ValueBytes {
		return false
	}
	if r = d.Update(live); r == nil {
		return false
	}
	l.updateRanges(r, id, live, ranges)
	return true
}

// hasActiveTask reports whether a task of a job may be on a machine of this shard.
func (l *Leader) hasActiveTask(live *store.LiveJob) bool {
	for i := range live.Record.Tasks {
		if l.fleet.ActivePlacement(wire.TaskID{Job: live.Record.Job.ID, Index: i}) != nil {
			return true
		}
	}
	return false
}

// gangCompleted reports whether another shard has seen a gang complete: its tasks do so together.
func gangCompleted(live *store.LiveJob, ranges []store.ShardRange) bool {
	return live.Record.Job.Shape == wire.Gang && slices.ContainsFunc(ranges, func(r store.ShardRange) bool { return r.Done })
}
