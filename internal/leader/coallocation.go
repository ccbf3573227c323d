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

// splitGang is a gang of which this shard has some tasks and other shards have the rest.
type splitGang struct {
	id     string
	job    *store.LiveJob
	state  *jobState
	ranges []store.ShardRange
	lead   string // the shard that leads it
}

// splitGangs lists the gangs that are split over this shard and others, by id.
func (h *Leader) splitGangs() (gangs []splitGang) {
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
		gangs = append(gangs, splitGang{id, h.liveJobs[id], h.jobState(id), split[id], lead})
	}
	return gangs
}

// ownsUnfinished reports whether this shard has yet to finish some of the ranges.
func (h *Leader) ownsUnfinished(ranges []store.ShardRange) bool {
	return slices.ContainsFunc(ranges, func(s store.ShardRange) bool { return s.Shard == h.lease.Shard && !s.Done })
}

// advanceSplitGangs takes each split gang a step further.
func (h *Leader) advanceSplitGangs(now time.Time, d *Draft) {
	if h.sharding.IsSingle() || !h.rebuiltReachable {
		return
	}
	for _, g := range h.splitGangs() {
		h.advanceSplitGang(now, d, &g)
	}
}

func (h *Leader) advanceSplitGang(now time.Time, d *Draft, g *splitGang) {
	order := g.job.Record.CoAllocation
	g.state.coAllocation.Observe(now, order)
	waited := g.state.coAllocation.Age(now)
	switch {
	case order == store.CoAllocationReserve:
		if g.lead == h.lease.Shard {
			h.leadSplitGang(d, g, waited)
		}
		return
	case g.state.coAllocation.MayStart():
		if waited < handover.StartTimeout {
			return
		}
		g.state.coAllocation.Started = order // there is no capacity for it here any more
		h.log.Info("co-allocated gang not started in time", "job", g.id, "attempt", order)
	}
	if h.hasActiveTask(g.job) {
		return
	}
	if g.lead != h.lease.Shard {
		h.returnToLead(d, g)
	} else if order >= store.CoAllocationFirstAttempt {
		h.writeOrder(d, g.id, g.job, store.CoAllocationRelease)
	}
}

// leadSplitGang starts a gang once all shards that have tasks of it hold capacity for them, and aborts it when
// that takes too long.
func (h *Leader) leadSplitGang(d *Draft, g *splitGang, waited time.Duration) {
	for _, s := range g.ranges {
		ready := g.state.coAllocation.Ready
		if s.Shard != h.lease.Shard {
			ready = h.targets.HoldsGang(s.Shard, g.id)
		}
		if !s.Done && !ready {
			if h.targets.ReservationExpired(g.job.Record.Job, s.Shard, h.forecast.freeCapacity, waited) {
				h.writeOrder(d, g.id, g.job, store.CoAllocationRelease)
			}
			return
		}
	}
	if attempt := h.nextAttempt(h.lease.FencingToken); h.writeOrder(d, g.id, g.job, attempt) {
		h.log.Info("co-allocated gang started", "job", g.id, "attempt", attempt)
	}
}

// writeOrder writes into a gang's record what the shards that have tasks of it are to do: hold capacity, release it,
// or start an attempt.
func (h *Leader) writeOrder(d *Draft, id string, l *store.LiveJob, order uint64) bool {
	if _, ends := d.finished[id]; ends {
		return false
	}
	r := d.Update(l)
	if r == nil {
		return false
	}
	if order == store.CoAllocationRelease {
		h.log.Info("co-allocation aborted", "job", id)
	}
	h.liveJobs[id] = &store.LiveJob{Record: r.SetCoAllocation(id, order), Batch: l.Batch, SinceRevision: l.SinceRevision}
	return true
}

// returnToLead hands the tasks that this shard has of a gang over to the shard that leads it, once none of them is
// active here: a gang can only be started whole.
func (h *Leader) returnToLead(d *Draft, g *splitGang) {
	next := slices.Clone(g.ranges)
	for i := range next {
		if next[i].Shard == h.lease.Shard {
			next[i].Shard = g.lead
		}
	}
	if next = handover.Merge(next); !h.rewriteRanges(d, g.id, g.job, next) {
		return
	}
	h.log.Info("rest of a gang returned to its lead", "job", g.id, "to", g.lead)
	if _, shards := reshard.LeadShard(next); shards > 1 && g.job.Record.CoAllocation != 0 {
		h.writeOrder(d, g.id, h.liveJobs[g.id], store.CoAllocationRelease) // the others need not wait for these
	}
}

// coAllocate divides a gang over shards that together have capacity for it, or may get some by scaling out.
func (h *Leader) coAllocate(now time.Time, d *Draft, u *scheduler.UnplacedJob, l *store.LiveJob, waited time.Duration) bool {
	ranges := h.targets.Divide(now, u.Job, h.forecast.freeCapacity[u.Job.Class], h.types, waited)
	if ranges == nil || !h.rewriteRanges(d, u.Job.ID, l, ranges) {
		return false
	}
	h.log.Info("gang co-allocated", "job", u.Job.ID, "ranges", ranges)
	return h.writeOrder(d, u.Job.ID, h.liveJobs[u.Job.ID], store.CoAllocationReserve)
}

// stopAborted stops the tasks here of gangs whose co-allocation was aborted.
func (h *Leader) stopAborted(now time.Time) {
	if h.sharding.IsSingle() {
		return
	}
	for _, g := range h.splitGangs() {
		if g.job.Record.CoAllocation != store.CoAllocationRelease {
			continue
		}
		for i := range g.job.Record.Tasks {
			if p := h.fleet.ActivePlacement(wire.TaskID{Job: g.id, Index: i}); p != nil && p.Stop == nil {
				h.stopTask(now, p, g.job.Record.Job, "the gang is called off")
			}
		}
	}
}

// mayPlaceSplit reports whether the tasks here of a split gang may be placed: while its capacity is reserved, or until
// its attempt was started here. While it is reserved, they are placed but not launched.
func (h *Leader) mayPlaceSplit(now time.Time, j *scheduler.Job, state *jobState, order uint64) bool {
	if state == nil {
		return false
	}
	state.coAllocation.Observe(now, order)
	j.ReserveOnly = order == store.CoAllocationReserve
	return j.ReserveOnly || state.coAllocation.MayStart()
}
