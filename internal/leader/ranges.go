package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// unfinishedOwnRanges returns the unfinished ranges of a job's tasks that belong to this shard, and the number of tasks in
// unfinished ranges of other shards.
func (l *Leader) unfinishedOwnRanges(live *store.LiveJob) (own []store.ShardRange, remoteTasks int) {
	if l.sharding.IsSingle() {
		return []store.ShardRange{{From: 0, To: live.Record.Tasks, Shard: l.lease.Shard}}, 0
	}
	for _, r := range l.assignment.Ranges(live) {
		switch {
		case r.Done, !r.Within(live.Record.Tasks):
		case r.Shard == l.lease.Shard:
			own = append(own, r)
		default:
			remoteTasks += r.To - r.From
		}
	}
	return own, remoteTasks
}

// ownTasksFinished reports whether all tasks of a job that belong to this shard have finished.
func (l *Leader) ownTasksFinished(live *store.LiveJob, j *jobState) bool {
	if l.sharding.IsSingle() {
		return j.finished.Count() >= live.Record.Tasks
	}
	own, _ := l.unfinishedOwnRanges(live)
	for _, r := range own {
		for i := r.From; i < r.To; i++ {
			if !j.finished.Contains(i) {
				return false
			}
		}
	}
	return len(own) > 0
}

// finishRanges marks this shard's ranges of a job as finished. If the record that is written already marks the ranges
// of all other shards as finished, it marks the job as done and returns true.
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
	case l.assignment.Unassigned(live): // the record may have no space for all ranges of the job
		l.liveJobs[id] = &store.LiveJob{Record: r.MarkFinishedIn(id, store.LedgerName(l.lease.Shard, l.assignment.Generation())), Batch: live.Batch, SinceRevision: live.SinceRevision}
	default:
		l.updateRanges(r, id, live, ranges)
	}
	return last
}

// updateRanges writes new ranges of a job to an update of its batch, and replaces the live job accordingly.
func (l *Leader) updateRanges(r *store.BatchUpdate, id string, live *store.LiveJob, ranges []store.ShardRange) {
	l.liveJobs[id] = &store.LiveJob{Record: r.AssignRanges(id, ranges, l.assignment.Generation()), Batch: live.Batch, SinceRevision: live.SinceRevision}
}

// rewriteRanges adds new ranges of a job to a round, and reports whether it did. They are left out if the round or the
// job's batch has no space for them, or if a task that would move to another shard is still in this shard's ledger.
func (l *Leader) rewriteRanges(d *Draft, id string, live *store.LiveJob, ranges []store.ShardRange) bool {
	if _, ends := d.finished[id]; ends {
		return false // this round already records finished tasks of the job, which takes precedence
	}
	for i := range l.staleTasks(id) {
		if handover.ShardOf(ranges, i) != l.lease.Shard {
			return false // the task can move only once this shard's ledger no longer names it
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

// hasActiveTask reports whether any task of a job may be on a machine of this shard.
func (l *Leader) hasActiveTask(live *store.LiveJob) bool {
	for i := range live.Record.Tasks {
		if l.fleet.ActivePlacement(wire.TaskID{Job: live.Record.Job.ID, Index: i}) != nil {
			return true
		}
	}
	return false
}

// gangCompleted reports whether a job is a gang of which some shard has marked its tasks as finished. The tasks of a
// gang finish together, so the others have finished as well.
func gangCompleted(live *store.LiveJob, ranges []store.ShardRange) bool {
	return live.Record.Job.Shape == wire.Gang && slices.ContainsFunc(ranges, func(r store.ShardRange) bool { return r.Done })
}
