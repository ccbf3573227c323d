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

// splitGang is a gang whose tasks are divided among this shard and others.
type splitGang struct {
	id        string
	job       *store.LiveJob
	state     *jobState
	ranges    []store.ShardRange
	leadShard string // the shard that coordinates its start
}

// splitGangs returns the gangs that are split among this shard and others, sorted by job ID.
func (l *Leader) splitGangs() (gangs []splitGang) {
	split := make(map[string][]store.ShardRange)
	for id, live := range l.liveJobs { // usually there are no split gangs
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

// ownsUnfinished reports whether this shard owns a range that is not done.
func (l *Leader) ownsUnfinished(ranges []store.ShardRange) bool {
	return slices.ContainsFunc(ranges, func(r store.ShardRange) bool { return r.Shard == l.lease.Shard && !r.Done })
}

// advanceSplitGangs advances the co-allocation of each split gang by one step.
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
		if g.leadShard == l.lease.Shard {
			l.coordinateSplitGang(d, g, waited)
		}
		return
	case g.state.coAllocation.MayStart():
		if waited < handover.StartTimeout {
			return
		}
		g.state.coAllocation.Started = order // there is no longer capacity for it here
		l.log.Info("co-allocated gang not started in time", "job", g.id, "attempt", order)
	}
	if l.hasActiveTask(g.job) {
		return
	}
	if g.leadShard != l.lease.Shard {
		l.returnToLeadShard(d, g)
	} else if order >= store.CoAllocationFirstAttempt {
		l.writeCoAllocationOrder(d, g.id, g.job, store.CoAllocationRelease)
	}
}

// coordinateSplitGang starts a gang once all shards that own tasks of it hold capacity for them, and aborts the
// co-allocation if that takes too long.
func (l *Leader) coordinateSplitGang(d *Draft, g *splitGang, waited time.Duration) {
	for _, r := range g.ranges {
		ready := g.state.coAllocation.Ready
		if r.Shard != l.lease.Shard {
			ready = l.targets.HasReservedCapacity(r.Shard, g.id)
		}
		if !r.Done && !ready {
			if l.targets.ReservationExpired(g.job.Record.Job, r.Shard, l.forecast.freeCapacity, waited) {
				l.writeCoAllocationOrder(d, g.id, g.job, store.CoAllocationRelease)
			}
			return
		}
	}
	if attempt := l.nextAttempt(l.lease.FencingToken); l.writeCoAllocationOrder(d, g.id, g.job, attempt) {
		l.log.Info("co-allocated gang started", "job", g.id, "attempt", attempt)
	}
}

// writeCoAllocationOrder writes to a gang's record what the shards that own tasks of it must do: reserve capacity,
// release it, or start an attempt.
func (l *Leader) writeCoAllocationOrder(d *Draft, id string, live *store.LiveJob, order uint64) bool {
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

// returnToLeadShard hands this shard's tasks of a gang over to the gang's lead shard. The caller makes sure that none
// of them is active here: a gang can only be started as a whole.
func (l *Leader) returnToLeadShard(d *Draft, g *splitGang) {
	next := slices.Clone(g.ranges)
	for i := range next {
		if next[i].Shard == l.lease.Shard {
			next[i].Shard = g.leadShard
		}
	}
	if next = handover.Merge(next); !l.rewriteRanges(d, g.id, g.job, next) {
		return
	}
	l.log.Info("rest of a gang returned to its lead", "job", g.id, "to", g.leadShard)
	if _, shards := reshard.LeadShard(next); shards > 1 && g.job.Record.CoAllocation != 0 {
		l.writeCoAllocationOrder(d, g.id, l.liveJobs[g.id], store.CoAllocationRelease) // others need not wait for these
	}
}

// coAllocate divides a gang among shards that together have capacity for it or can get it by scaling out.
func (l *Leader) coAllocate(now time.Time, d *Draft, u *scheduler.UnplacedJob, live *store.LiveJob, waited time.Duration) bool {
	ranges := l.targets.Divide(now, u.Job, l.forecast.freeCapacity[u.Job.Class], l.types, waited)
	if ranges == nil || !l.rewriteRanges(d, u.Job.ID, live, ranges) {
		return false
	}
	l.log.Info("gang co-allocated", "job", u.Job.ID, "ranges", ranges)
	return l.writeCoAllocationOrder(d, u.Job.ID, l.liveJobs[u.Job.ID], store.CoAllocationReserve)
}

// stopAbortedCoAllocations stops this shard's tasks of gangs whose co-allocation was aborted.
func (l *Leader) stopAbortedCoAllocations(now time.Time) {
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

// mayPlaceSplitGang reports whether this shard's tasks of a split gang may be placed: while capacity is being reserved,
// or until the gang's attempt has been started here. While reserving, the tasks are placed but not launched.
func (l *Leader) mayPlaceSplitGang(now time.Time, j *scheduler.Job, state *jobState, order uint64) bool {
	if state == nil {
		return false
	}
	state.coAllocation.Observe(now, order)
	j.ReserveOnly = order == store.CoAllocationReserve
	return j.ReserveOnly || state.coAllocation.MayStart()
}
