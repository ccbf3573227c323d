package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// eachSplitGang lists the gangs of which this part has some tasks and others have the rest.
func (h *Leader) eachSplitGang(do func(id string, l *store.LiveJob, j *jobState, ranges []store.ShardRange, lead string)) {
	split := make(map[string][]store.ShardRange)
	for id, l := range h.liveJobs { // mostly none
		if l.Record.Job.Shape != wire.Gang {
			continue
		}
		ranges := h.assignment.Ranges(l)
		if _, shards := reshard.LeadShard(ranges); shards > 1 && h.ownsUnfinished(ranges) && !gangCompleted(l, ranges) {
			split[id] = ranges
		}
	}
	for _, id := range sortedKeys(split) {
		lead, _ := reshard.LeadShard(split[id])
		do(id, h.liveJobs[id], h.jobState(id), split[id], lead)
	}
}

func (h *Leader) ownsUnfinished(ranges []store.ShardRange) bool {
	return slices.ContainsFunc(ranges, func(s store.ShardRange) bool { return s.Shard == h.lease.Shard && !s.Done })
}

// advanceSplitGangs goes on with the gangs that are in pieces.
func (h *Leader) advanceSplitGangs(now time.Time, d *Draft) {
	if h.sharding.IsSingle() || !h.rebuiltReachable {
		return
	}
	h.eachSplitGang(func(id string, l *store.LiveJob, j *jobState, ranges []store.ShardRange, lead string) {
		j.coAllocation.Observe(now, l.Record.CoAllocation)
		waited := j.coAllocation.Age(now)
		switch order := l.Record.CoAllocation; {
		case order == store.CoAllocationReserve:
			if lead == h.lease.Shard {
				h.leadSplitGang(now, d, id, l, ranges, waited)
			}
			return
		case j.coAllocation.MayStart():
			if waited < handover.StartTimeout {
				return
			}
			j.coAllocation.Started = order // there is no room here any more
			h.log.Info("a gang is not started here in time", "job", id, "attempt", order)
		}
		if h.hasActiveTask(l) {
			return
		}
		if lead != h.lease.Shard {
			h.returnToLead(d, id, l, ranges, lead)
		} else if l.Record.CoAllocation >= store.CoAllocationFirstAttempt {
			h.writeOrder(d, id, l, store.CoAllocationRelease)
		}
	})
}

// leadSplitGang has a gang start once all parts that have tasks of it have room for them, and calls
// it off when that takes too long.
func (h *Leader) leadSplitGang(now time.Time, d *Draft, id string, l *store.LiveJob, ranges []store.ShardRange, waited time.Duration) {
	for _, s := range ranges {
		ready := h.jobState(id).coAllocation.Ready
		if s.Shard != h.lease.Shard {
			ready = h.targets.HoldsGang(s.Shard, id)
		}
		if !s.Done && !ready {
			if waited > handover.ReservationTimeout {
				h.writeOrder(d, id, l, store.CoAllocationRelease)
			}
			return
		}
	}
	h.attemptSequence++
	if attempt := h.lease.FencingToken<<24 | h.attemptSequence; h.writeOrder(d, id, l, attempt) {
		h.log.Info("a gang is started in several parts", "job", id, "attempt", attempt)
	}
}

// writeOrder writes what the parts that have tasks of a gang are to do.
func (h *Leader) writeOrder(d *Draft, id string, l *store.LiveJob, order uint64) bool {
	if _, ends := d.finished[id]; ends {
		return false
	}
	r := d.Update(l)
	if r == nil {
		return false
	}
	if order == store.CoAllocationRelease {
		h.log.Info("a gang is called off", "job", id)
	}
	h.liveJobs[id] = &store.LiveJob{Record: r.SetCoAllocation(id, order), Batch: l.Batch, SinceRevision: l.SinceRevision}
	return true
}

// returnToLead gives what this part has of a gang to the part that leads it, once nothing of it is
// left here: a gang can only be started whole.
func (h *Leader) returnToLead(d *Draft, id string, l *store.LiveJob, ranges []store.ShardRange, lead string) {
	next := slices.Clone(ranges)
	for i := range next {
		if next[i].Shard == h.lease.Shard {
			next[i].Shard = lead
		}
	}
	if next = handover.Merge(next); !h.rewriteRanges(d, id, l, next) {
		return
	}
	h.log.Info("what was left of a gang given to the part that leads it", "job", id, "to", lead)
	if _, shards := reshard.LeadShard(next); shards > 1 && l.Record.CoAllocation != 0 {
		h.writeOrder(d, id, h.liveJobs[id], store.CoAllocationRelease) // the others need not wait for these
	}
}

// coAllocate divides a gang over shards that together have capacity for it, or may get some by scaling out.
func (h *Leader) coAllocate(now time.Time, d *Draft, u *scheduler.UnplacedJob, l *store.LiveJob, waited time.Duration) bool {
	ranges := h.targets.Divide(now, u.Job, h.forecast.freeCapacity[u.Job.Class], h.types, waited)
	if ranges == nil || !h.rewriteRanges(d, u.Job.ID, l, ranges) {
		return false
	}
	h.log.Info("a gang is co-allocated over several shards", "job", u.Job.ID, "ranges", ranges)
	return h.writeOrder(d, u.Job.ID, h.liveJobs[u.Job.ID], store.CoAllocationReserve)
}

// stopAborted stops what this part has of gangs that are called off.
func (h *Leader) stopAborted(now time.Time) {
	if h.sharding.IsSingle() {
		return
	}
	h.eachSplitGang(func(id string, l *store.LiveJob, _ *jobState, _ []store.ShardRange, _ string) {
		if l.Record.CoAllocation != store.CoAllocationRelease {
			return
		}
		for i := range l.Record.Tasks {
			if p := h.fleet.ActivePlacement(wire.TaskID{Job: id, Index: i}); p != nil && p.Stop == nil {
				h.stopTask(now, p, l.Record.Job, "the gang is called off")
			}
		}
	})
}

// mayPlaceSplit says what is to be done with the tasks of a gang that other parts have tasks of
// too: they are placed while it is held or started here, and else left alone.
func (h *Leader) mayPlaceSplit(now time.Time, j *scheduler.Job, hist *jobState, order uint64) (place bool) {
	if hist == nil {
		return false
	}
	hist.coAllocation.Observe(now, order)
	j.ReserveOnly = order == store.CoAllocationReserve
	return j.ReserveOnly || hist.coAllocation.MayStart()
}
