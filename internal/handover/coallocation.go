package handover

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// A gang that no shard can take whole is co-allocated: the shard that has it, its lead, divides its tasks between
// several. Each holds capacity for its own and says so; once all do, the lead writes the attempt that all of them
// start. Whatever goes wrong, the co-allocation is aborted: each shard stops what it has and returns
// it once that is proven gone.

const (
	// ReservationTimeout bounds how long shards hold capacity for a gang before the co-allocation is aborted.
	ReservationTimeout = 90 * time.Second
	// exhaustedTimeout bounds it while a shard that holds none has no way to make any. What it was counted on for
	// was an estimate, by tasks of another size or an offer that the cloud has refused since. It is longer than most
	// preempted tasks take to save and end.
	exhaustedTimeout = 20 * time.Second
	// StartTimeout bounds how long a shard takes to start its tasks once all shards hold capacity.
	StartTimeout = 10 * time.Second
)

// CoAllocation is what a leader remembers of a gang that is co-allocated.
type CoAllocation struct {
	Ready   bool   // there is capacity for the tasks of this shard
	Started uint64 // the attempt that was started here, or will not be

	order uint64 // what the record says, as it was first seen here
	since time.Time
}

// Observe takes in what the record says.
func (c *CoAllocation) Observe(now time.Time, order uint64) {
	if c.order != order {
		*c = CoAllocation{order: order, since: now, Started: c.Started}
	}
}

// Age gives the time since the record was first seen as it is.
func (c *CoAllocation) Age(now time.Time) time.Duration { return now.Sub(c.since) }

// MayStart reports whether the tasks of this shard may be started with the attempt of the record.
func (c *CoAllocation) MayStart() bool {
	return c.order >= store.CoAllocationFirstAttempt && c.Started != c.order
}

// Committed takes in that a round which starts a task of the gang was taken.
func (c *CoAllocation) Committed(attempt uint64) {
	if c.order == attempt {
		c.Started = attempt
	}
}

// ReservationExpired reports whether a co-allocation is to be aborted that has waited for so long for a shard which
// holds no capacity for its tasks of a gang. Own is what the leader's own shard could take, by class.
func (t *Targets) ReservationExpired(j *wire.Job, shard string, own map[string]scheduler.FreeCapacity, waited time.Duration) bool {
	if waited <= exhaustedTimeout {
		return false
	}
	capacity, known := t.capacityOf(shard, own)[j.Class]
	exhausted := known && !canMakeCapacity(j, capacity)
	return exhausted || waited > ReservationTimeout
}

// capacityOf gives what a shard could take, by class: nothing for one that has not told.
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

// canMakeCapacity reports whether a shard may get capacity for tasks of a job, by preemption or by scaling out.
func canMakeCapacity(j *wire.Job, capacity scheduler.FreeCapacity) bool {
	return capacity.Rent || j.Priority == wire.Production && capacity.Below > 0
}

// Divide gives the ranges of a gang that no shard can take whole, over shards that together have capacity for
// it, or nothing. Own is the capacity of this shard. After a while shards count that can scale out.
func (t *Targets) Divide(now time.Time, j *scheduler.Job, own scheduler.FreeCapacity, types []wire.MachineType, waited time.Duration) (ranges []store.ShardRange) {
	if j.Shape != wire.Gang || j.OneZone || j.Zone != "" || j.Active > 0 || j.RemoteTasks > 0 || len(j.Waiting) != j.Tasks {
		return nil
	}
	left := j.Tasks
	for _, c := range t.candidates(now, j, own, types, waited >= scaleOutAfter) {
		if n := min(left, c.tasks); n > 0 {
			ranges = append(ranges, store.ShardRange{From: j.Tasks - left, To: j.Tasks - left + n, Shard: c.shard})
			left -= n
		}
	}
	if left > 0 || len(ranges) < 2 {
		return nil
	}
	return ranges
}

// candidate is a shard and how many tasks of a gang it may take.
type candidate struct {
	shard string
	tasks int
}

// candidates lists what each shard may take of a gang, this one first and then the largest.
func (t *Targets) candidates(now time.Time, j *scheduler.Job, own scheduler.FreeCapacity, types []wire.MachineType, scaleOut bool) (out []candidate) {
	of := func(shard string, capacity scheduler.FreeCapacity, handed int) candidate {
		n := capacity.Now - handed
		if scaleOut && capacity.Rent {
			n = j.Tasks
		}
		return candidate{shard, min(n, t.spreadLimit(j, shard))}
	}
	for _, p := range t.peers {
		if capacity, known := p.Capacity[j.Class]; known && t.sharding.MayHost(p.Shard, j.Job, types) {
			out = append(out, of(p.Shard, capacity, t.recent.count(now, p.Shard, j.Class)))
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int { return b.tasks - a.tasks })
	if t.sharding.MayHost(t.shard, j.Job, types) {
		out = slices.Insert(out, 0, of(t.shard, own, 0))
	}
	return out
}
