package handover

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// A gang that no single shard has capacity for is co-allocated: the shard that owns it, its lead, divides its tasks
// between several shards. Each of them reserves capacity for its own tasks and reports it. Once all have, the lead
// writes the attempt that all of them start. On any failure the co-allocation is aborted: each shard stops
// its tasks, and returns them to the lead once they are proven to run nowhere.

const (
	// ReservationTimeout bounds how long shards reserve capacity for a gang before the co-allocation is aborted.
	ReservationTimeout = 90 * time.Second
	// exhaustedTimeout replaces ReservationTimeout while a shard has reserved nothing and has no way to make
	// capacity. The capacity for which it was chosen was an estimate: it counted tasks of another size, or an offer
	// that the cloud has refused since. The timeout is longer than most preempted tasks take to save their
	// state and end.
	exhaustedTimeout = 20 * time.Second
	// StartTimeout bounds how long a shard takes to start its tasks once all shards have reserved capacity.
	StartTimeout = 10 * time.Second
)

// CoAllocation is the state that a leader keeps in memory for a co-allocated gang.
type CoAllocation struct {
	Ready   bool   // this shard has reserved capacity for its tasks
	Started uint64 // the attempt that was started here, or that must not be started here any more

	order uint64    // the last co-allocation order that was read from the record
	since time.Time // when order was first read
}

// Observe records the co-allocation order that the job's record holds.
func (c *CoAllocation) Observe(now time.Time, order uint64) {
	if c.order != order {
		*c = CoAllocation{order: order, since: now, Started: c.Started}
	}
}

// Age returns the time since the present order was first read.
func (c *CoAllocation) Age(now time.Time) time.Duration { return now.Sub(c.since) }

// MayStart reports whether the order is an attempt that this shard has not started yet.
func (c *CoAllocation) MayStart() bool {
	return c.order >= store.CoAllocationFirstAttempt && c.Started != c.order
}

// Committed records that a round which starts a task of the gang in an attempt was committed.
func (c *CoAllocation) Committed(attempt uint64) {
	if c.order == attempt {
		c.Started = attempt
	}
}

// ReservationExpired reports whether a co-allocation must be aborted because a shard has not reserved capacity for
// its tasks of the gang for the duration waited. own is the free capacity of the leader's own shard, by class.
func (t *Targets) ReservationExpired(j *wire.Job, shard string, own map[string]scheduler.FreeCapacity, waited time.Duration) bool {
	if waited <= exhaustedTimeout {
		return false
	}
	capacity, known := t.capacityOf(shard, own)[j.Class]
	exhausted := known && !canMakeCapacity(j, capacity)
	return exhausted || waited > ReservationTimeout
}

// capacityOf returns the free capacity of a shard by class, or nil if the shard has not reported any.
func (t *Targets) capacityOf(shard string, own map[string]scheduler.FreeCapacity) map[string]scheduler.FreeCapacity {
	if shard == t.shard {
		return own
	}
	i := slices.IndexFunc(t.peers, func(p Peer) bool { return p.Shard == shard })
	if i < 0 {
		return nil
	}
	return t.peers[i].Capacity
}

// canMakeCapacity reports whether a shard may gain capacity for tasks of a job, by preemption or by scaling out.
func canMakeCapacity(j *wire.Job, capacity scheduler.FreeCapacity) bool {
	return capacity.Rent || j.Priority == wire.Production && capacity.Below > 0
}

// Divide returns task ranges that divide a gang between shards which together have capacity for it, or nil if there
// are none. own is the free capacity of this shard. Once the gang has waited for scaleOutAfter, shards that
// can scale out are counted as well.
func (t *Targets) Divide(now time.Time, j *scheduler.Job, own scheduler.FreeCapacity, types []wire.MachineType, waited time.Duration) (ranges []store.ShardRange) {
	if j.Shape != wire.Gang || j.OneZone || j.Zone != "" || j.ActiveTasks > 0 || j.RemoteTasks > 0 || len(j.Waiting) != j.Tasks {
		return nil
	}
	remaining := j.Tasks
	for _, c := range t.candidates(now, j, own, types, waited >= scaleOutAfter) {
		if n := min(remaining, c.tasks); n > 0 {
			ranges = append(ranges, store.ShardRange{From: j.Tasks - remaining, To: j.Tasks - remaining + n, Shard: c.shard})
			remaining -= n
		}
	}
	if remaining > 0 || len(ranges) < 2 {
		return nil
	}
	return ranges
}

// candidate is a shard with the number of tasks of a gang that it may take.
type candidate struct {
	shard string
	tasks int
}

// candidates lists the shards that may take tasks of a gang: this shard first, then the others by descending number
// of tasks.
func (t *Targets) candidates(now time.Time, j *scheduler.Job, own scheduler.FreeCapacity, types []wire.MachineType, scaleOut bool) (out []candidate) {
	newCandidate := func(shard string, capacity scheduler.FreeCapacity, handedOver int) candidate {
		n := capacity.Now - handedOver
		if scaleOut && capacity.Rent {
			n = j.Tasks
		}
		return candidate{shard, min(n, t.spreadLimit(j, shard))}
	}
	for _, p := range t.peers {
		if capacity, known := p.Capacity[j.Class]; known && t.sharding.MayHost(p.Shard, j.Job, types) {
			out = append(out, newCandidate(p.Shard, capacity, t.recent.count(now, p.Shard, j.Class)))
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return b.tasks - a.tasks })
	if t.sharding.MayHost(t.shard, j.Job, types) {
		out = slices.Insert(out, 0, newCandidate(t.shard, own, 0))
	}
	return out
}
