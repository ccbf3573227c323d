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
func (l *Leader) splitGangs() (gangs []splitGang) {
	split := make(map[string][]store.ShardRange)
	for id, live := range l.liveJobs { // mostly none
		if live.Record.Job.Shape != wire.Gang {
			continue
		}
		ranges := l.assignment.Ranges(live)
		if _, shards := reshard.LeadShard(ranges); shards > 1 && l.ownsUnfinished(ranges) && !gangCompleted(live, ranges) {
			split[id] = ranges
		}
	}
	for _, id := range sortedKeys(split) {
		lead, _ := reshard.LeadShard(split[id])
		gangs = append(gangs, splitGang{id, l.liveJobs[id], l.jobState(id), split[id], lead})
	}
	return gangs
}

// ownsUnfinished reports whether this shard has yet to finish some of the ranges.
func (l *Leader) ownsUnfinished(ranges []store.ShardRange) bool {
	return slices.ContainsFunc(ranges, func(r store.ShardRange) bool { return r.Shard == l.lease.Shard && !r.Done })
}

// advanceSplitGangs takes each split gang a step further.
func (l *Leader) advanceSplitGangs(now time.Time, d *Draft) {
	if l.sharding.IsSingle() || !l.rebuiltReachable {
		return
	}
	for _, g := range l.splitGangs() {
		l.advanceSplitGang(now, d, &g)
	}
}

func (l *Leader) advanceSplitGang(now time.Time, d *Draft, g *splitGang) {
	order := g.job.Record.CoAllocation
	g.state.coAllocation.Observe(now, order)
	waited := g.state.coAllocation.Age(now)
	switch {
	case order == store.CoAllocationReserve:
		if g.lead == l.lease.Shard {
			l.leadSplitGang(d, g, waited)
		}
		return
	case g.state.coAllocation.MayStart():
		if waited < handover.StartTimeout {
			return
		}
		g.state.coAllocation.Started = order // there is no capacity for it here any more
		l.log.Info("co-allocated gang not started in time", "job", g.id, "attempt", order)
	}
	if l.hasActiveTask(g.job) {
		return
	}
	if g.lead != l.lease.Shard {
		l.returnToLead(d, g)
	} else if order >= store.CoAllocationFirstAttempt {
		l.writeOrder(d, g.id, g.job, store.CoAllocationRelease)
	}
}

// leadSplitGang starts a gang once all shards that have tasks of it hold capacity for them, and aborts it when
// that takes too long.
func (l *Leader) leadSplitGang(d *Draft, g *splitGang, waited time.Duration) {
	for _, r := range g.ranges {
		ready := g.state.coAllocation.Ready
		if r.Shard != l.lease.Shard {
			ready = l.targets.HoldsGang(r.Shard, g.id)
		}
		if !r.Done && !ready {
			if l.targets.ReservationExpired(g.job.Record.Job, r.Shard, l.forecast.freeCapacity, waited) {
				l.writeOrder(d, g.id, g.job, store.CoAllocationRelease)
			}
			return
		}
	}
	if attempt := l.nextAttempt(l.lease.FencingToken); l.writeOrder(d, g.id, g.job, attempt) {
		l.log.Info("co-allocated gang started", "job", g.id, "attempt", attempt)
	}
}

// writeOrder writes into a gang's record what the shards that have tasks of it are to do: hold capacity, release it,
// or start an attempt.
func (l *Leader) writeOrder(d *Draft, id string, live *store.LiveJob, order uint64) bool {
	if _, ends := d.finished[id]; ends {
		return false
	}
	r := d.Update(live)
	if r == nil {
		return false
	}
	if order == store.CoAllocationRelease {
		l.log.Info("co-allocation aborted", "job", id)
	}
	l.liveJobs[id] = &store.LiveJob{Record: r.SetCoAllocation(id, order), Batch: live.Batch, SinceRevision: live.SinceRevision}
	return true
}

// returnToLead hands the tasks that this shard has of a gang over to the shard that leads it, once none of them is
// active here: a gang can only be started whole.
func (l *Leader) returnToLead(d *Draft, g *splitGang) {
	next := slices.Clone(g.ranges)
	for i := range next {
		if next[i].Shard == l.lease.Shard {
			next[i].Shard = g.lead
		}
	}
	if next = handover.Merge(next); !l.rewriteRanges(d, g.id, g.job, next) {
		return
	}
	l.log.Info("rest of a gang returned to its lead", "job", g.id, "to", g.lead)
	if _, shards := reshard.LeadShard(next); shards > 1 && g.job.Record.CoAllocation != 0 {
		l.writeOrder(d, g.id, l.liveJobs[g.id], store.CoAllocationRelease) // the others need not wait for these
	}
}

// coAllocate divides a gang over shards that together have capacity for it, or may get some by scaling out.
func (l *Leader) coAllocate(now time.Time, d *Draft, u *scheduler.UnplacedJob, live *store.LiveJob, waited time.Duration) bool {
	ranges := l.targets.Divide(now, u.Job, l.forecast.freeCapacity[u.Job.Class], l.types, waited)
	if ranges == nil || !l.rewriteRanges(d, u.Job.ID, live, ranges) {
		return false
	}
	l.log.Info("gang co-allocated", "job", u.Job.ID, "ranges", ranges)
	return l.writeOrder(d, u.Job.ID, l.liveJobs[u.Job.ID], store.CoAllocationReserve)
}

// stopAborted stops the tasks here of gangs whose co-allocation was aborted.
func (l *Leader) stopAborted(now time.Time) {
	if l.sharding.IsSingle() {
		return
	}
	for _, g := range l.splitGangs() {
		if g.job.Record.CoAllocation != store.CoAllocationRelease {
			continue
		}
		for i := range g.job.Record.Tasks {
			if p := l.fleet.ActivePlacement(wire.TaskID{Job: g.id, Index: i}); p != nil && p.Stop == nil {
				l.stopTask(now, p, g.job.Record.Job, "the co-allocation was aborted")
			}
		}
	}
}

// mayPlaceSplit reports whether the tasks here of a split gang may be placed: while its capacity is reserved, or until
// its attempt was started here. While it is reserved, they are placed but not launched.
func (l *Leader) mayPlaceSplit(now time.Time, j *scheduler.Job, state *jobState, order uint64) bool {
	if state == nil {
		return false
	}
	state.coAllocation.Observe(now, order)
	j.ReserveOnly = order == store.CoAllocationReserve
	return j.ReserveOnly || state.coAllocation.MayStart()
}
