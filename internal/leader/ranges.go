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
func (h *Leader) ownRanges(l *store.LiveJob) (own []store.ShardRange, elsewhere int) {
	if h.sharding.IsSingle() {
		return []store.ShardRange{{From: 0, To: l.Record.Tasks, Shard: h.lease.Shard}}, 0
	}
	for _, s := range h.assignment.Ranges(l) {
		switch {
		case s.Done, !s.Within(l.Record.Tasks):
		case s.Shard == h.lease.Shard:
			own = append(own, s)
		default:
			elsewhere += s.To - s.From
		}
	}
	return own, elsewhere
}

// allFinished reports whether every task of a job that belongs to this shard has finished.
func (h *Leader) allFinished(l *store.LiveJob, j *jobState) bool {
	if h.sharding.IsSingle() {
		return j.finished.Count() >= l.Record.Tasks
	}
	own, _ := h.ownRanges(l)
	for _, s := range own {
		for i := s.From; i < s.To; i++ {
			if !j.finished.Contains(i) {
				return false
			}
		}
	}
	return len(own) > 0
}

// finishRanges marks the tasks of a job that belong to this shard as finished. The last shard to do so marks the job
// as done: all others must say so in the very record that is written.
func (h *Leader) finishRanges(r *store.BatchUpdate, id string, l *store.LiveJob, now time.Time) (done bool) {
	if h.sharding.IsSingle() {
		r.EndJob(id, wire.Done, now)
		return true
	}
	ranges, last := slices.Clone(h.assignment.Ranges(l)), true
	for i := range ranges {
		if ranges[i].Shard == h.lease.Shard {
			ranges[i].Done = true
		}
		last = last && ranges[i].Done
	}
	switch {
	case last:
		r.EndJob(id, wire.Done, now)
	case h.assignment.Unassigned(l): // it may have too many ranges to be written
		h.liveJobs[id] = &store.LiveJob{Record: r.MarkFinishedIn(id, store.LedgerName(h.lease.Shard, h.assignment.Generation())), Batch: l.Batch, SinceRevision: l.SinceRevision}
	default:
		h.updateRanges(r, id, l, ranges)
	}
	return last
}

// updateRanges writes other ranges of a job, and goes by them from here on.
func (h *Leader) updateRanges(r *store.BatchUpdate, id string, l *store.LiveJob, ranges []store.ShardRange) {
	h.liveJobs[id] = &store.LiveJob{Record: r.AssignRanges(id, ranges, h.assignment.Generation()), Batch: l.Batch, SinceRevision: l.SinceRevision}
}

// rewriteRanges adds other ranges of a job to a round, if there is capacity for them in the round and in the
// job's batch.
func (h *Leader) rewriteRanges(d *Draft, id string, l *store.LiveJob, ranges []store.ShardRange) bool {
	if _, ends := d.finished[id]; ends {
		return false // the end that this round records goes first
	}
	for i := range h.staleTasks(id) {
		if handover.ShardOf(ranges, i) != h.lease.Shard {
			return false // it may go once the ledger no longer names it
		}
	}
	r := d.Pending(l)
	if r == nil {
		r = l.Batch.Update()
	}
	if r.BytesWithRanges(id, ranges, h.assignment.Generation()) > h.cfg.Store.ValueBytes {
		return false
	}
	if r = d.Update(l); r == nil {
		return false
	}
	h.updateRanges(r, id, l, ranges)
	return true
}

// hasActiveTask reports whether a task of a job may be on a machine of this shard.
func (h *Leader) hasActiveTask(l *store.LiveJob) bool {
	for i := range l.Record.Tasks {
		if h.fleet.ActivePlacement(wire.TaskID{Job: l.Record.Job.ID, Index: i}) != nil {
			return true
		}
	}
	return false
}

// gangCompleted reports whether another shard has seen a gang complete: its tasks do so together.
func gangCompleted(l *store.LiveJob, ranges []store.ShardRange) bool {
	return l.Record.Job.Shape == wire.Gang && slices.ContainsFunc(ranges, func(s store.ShardRange) bool { return s.Done })
}
