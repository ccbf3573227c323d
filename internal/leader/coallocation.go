package leader

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// A gang that no part can take whole is co-allocated: the part that has it, which leads, deals its
// tasks out to several. Each holds room for its own and says so; once all do, the leader
// writes the attempt that all of them start. Whatever goes wrong, it is called off: each
// part stops what it has and gives it back once that is proven gone.

// reservationTimeout bounds how long parts hold room for a gang, and startTime how long one takes to
// start its tasks once all have room.
const (
	reservationTimeout = 90 * time.Second
	startTimeout       = 10 * time.Second
)

// coAllocation is what a holder remembers of a gang that is co-allocated.
type coAllocation struct {
	order   uint64 // what the record says, as it was first seen here
	since   time.Time
	started uint64 // the attempt that was started here, or will not be
	ready   bool   // there is room for the tasks of this part
}

// observe takes in what the record says.
func (m *coAllocation) observe(now time.Time, order uint64) {
	if m.order != order {
		*m = coAllocation{order: order, since: now, started: m.started}
	}
}

// mayStart reports whether the tasks of this part may be started with the attempt of the record.
func (m *coAllocation) mayStart() bool {
	return m.order >= store.CoAllocationFirstAttempt && m.started != m.order
}

// eachSplitGang lists the gangs of which this part has some tasks and others have the rest.
func (h *Leader) eachSplitGang(do func(id string, l *store.LiveJob, j *jobState, ranges []store.ShardRange, lead string)) {
	split := make(map[string][]store.ShardRange)
	for id, l := range h.liveJobs { // mostly none
		if l.Record.Job.Shape != wire.Gang {
			continue
		}
		ranges := h.allRanges(l)
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
		j.coAllocation.observe(now, l.Record.CoAllocation)
		waited := now.Sub(j.coAllocation.since)
		switch order := l.Record.CoAllocation; {
		case order == store.CoAllocationReserve:
			if lead == h.lease.Shard {
				h.leadSplitGang(now, d, id, l, ranges, waited)
			}
			return
		case j.coAllocation.mayStart():
			if waited < startTimeout {
				return
			}
			j.coAllocation.started = order // there is no room here any more
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
		ready := h.jobState(id).coAllocation.ready
		if s.Shard != h.lease.Shard {
			ready = slices.Contains(h.peerShards[s.Shard].Ready, id)
		}
		if !s.Done && !ready {
			if waited > reservationTimeout {
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
	if next = mergeAdjacent(next); !h.rewriteRanges(d, id, l, next) {
		return
	}
	h.log.Info("what was left of a gang given to the part that leads it", "job", id, "to", lead)
	if _, shards := reshard.LeadShard(next); shards > 1 && l.Record.CoAllocation != 0 {
		h.writeOrder(d, id, h.liveJobs[id], store.CoAllocationRelease) // the others need not wait for these
	}
}

// coAllocate deals a gang out to parts that together have room for it, or may rent some; no
// more than its zones may hold to each.
func (h *Leader) coAllocate(now time.Time, d *Draft, s *scheduler.UnplacedJob, l *store.LiveJob, waited time.Duration) bool {
	if s.Job.Shape != wire.Gang || s.Job.OneZone || s.Job.Zone != "" || s.Job.Active > 0 || s.Job.RemoteTasks > 0 || len(s.Job.Waiting) != s.Job.Tasks {
		return false
	}
	left := s.Job.Tasks
	var ranges []store.ShardRange
	for _, c := range h.candidates(now, s.Job, waited >= handoverToScaleOutAfter) {
		if n := min(left, c.tasks); n > 0 {
			ranges = append(ranges, store.ShardRange{From: s.Job.Tasks - left, To: s.Job.Tasks - left + n, Shard: c.shard})
			left -= n
		}
	}
	if left > 0 || len(ranges) < 2 || !h.rewriteRanges(d, s.Job.ID, l, ranges) {
		return false
	}
	h.log.Info("a gang is co-allocated over several parts", "job", s.Job.ID, "shares", ranges)
	return h.writeOrder(d, s.Job.ID, h.liveJobs[s.Job.ID], store.CoAllocationReserve)
}

// candidate is what a part may take of a gang.
type candidate struct {
	shard string
	tasks int
}

// candidates lists what each part may take of a gang, this one first and then the largest.
func (h *Leader) candidates(now time.Time, j *scheduler.Job, scaleOut bool) (out []candidate) {
	of := func(shard string, capacity scheduler.FreeCapacity, handed int) candidate {
		n := capacity.Now - handed
		if scaleOut && capacity.Rent {
			n = j.Tasks
		}
		return candidate{shard, min(n, h.spreadLimit(j, shard))}
	}
	for _, shard := range sortedKeys(h.peerShards) {
		if capacity, known := h.peerShards[shard].Rooms[j.Class]; known && h.sharding.MayHost(shard, j.Job, h.types) {
			out = append(out, of(shard, capacity, h.recentlyHandedTo(now, shard, j.Class)))
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return b.tasks - a.tasks })
	if h.sharding.MayHost(h.lease.Shard, j.Job, h.types) {
		out = slices.Insert(out, 0, of(h.lease.Shard, h.forecast.freeCapacity[j.Class], 0))
	}
	return out
}

// spreadLimit bounds the tasks of a gang that a part may have, by the half of them that may be
// in one zone. Where parts are by type, none knows all that is in a zone.
func (h *Leader) spreadLimit(j *scheduler.Job, shard string) int {
	switch {
	case !j.Spread:
		return j.Tasks
	case !h.sharding.KeepsZonesWhole():
		return 0
	}
	return (j.Tasks + 1) / 2 * max(1, len(h.sharding.ZonesOf(shard)))
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
	hist.coAllocation.observe(now, order)
	j.ReserveOnly = order == store.CoAllocationReserve
	return j.ReserveOnly || hist.coAllocation.mayStart()
}
