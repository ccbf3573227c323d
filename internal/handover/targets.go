package handover

import (
	"fmt"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// scaleOutAfter is how long tasks wait for free capacity before they go to a shard that can make capacity,
	// by scaling out or by preemption.
	scaleOutAfter = 4 * time.Second
	// minScaleOutTasks is the minimum number of tasks that a shard which can scale out gets, if that many found
	// no capacity.
	minScaleOutTasks = 4
)

// Peer is another shard with the capacity that it has reported.
type Peer struct {
	Shard      string
	Capacity   map[string]scheduler.FreeCapacity // by class
	ReadyGangs []string                          // co-allocated gangs for whose tasks in that shard it has reserved capacity
}

// Targets chooses the shards that tasks are handed over to. It is not safe for concurrent use.
type Targets struct {
	shard    string
	sharding *fleet.Sharding
	peers    []Peer // sorted by shard
	recent   recent
}

// NewTargets returns the targets for tasks that a shard hands over.
func NewTargets(shard string, sharding *fleet.Sharding) *Targets {
	return &Targets{shard: shard, sharding: sharding, recent: make(recent)}
}

// SetPeers sets what the other shards have reported. The peers must be sorted by shard.
func (t *Targets) SetPeers(peers []Peer) { t.peers = peers }

// String lists the tasks that were handed over recently, for tests.
func (t *Targets) String() string { return fmt.Sprint(map[string]recentTasks(t.recent)) }

// HasPeers reports whether there is any other shard to hand tasks over to.
func (t *Targets) HasPeers() bool { return len(t.peers) > 0 }

// RecordHandover counts n tasks of a class that are handed over to a shard.
func (t *Targets) RecordHandover(now time.Time, shard, class string, n int) {
	t.recent.record(now, shard, class, n)
}

// HasReservedCapacity reports whether another shard has reserved capacity for its tasks of a gang.
func (t *Targets) HasReservedCapacity(shard, gang string) bool {
	i := slices.IndexFunc(t.peers, func(p Peer) bool { return p.Shard == shard })
	return i >= 0 && slices.Contains(t.peers[i].ReadyGangs, gang)
}

// FreeElsewhere returns by class the largest number of tasks that any one other shard has free capacity for now.
func (t *Targets) FreeElsewhere(now time.Time) map[string]int {
	out := make(map[string]int)
	for _, p := range t.peers {
		for class, capacity := range p.Capacity {
			out[class] = max(out[class], capacity.Now-t.recent.count(now, p.Shard, class))
		}
	}
	return out
}

// FreeElsewhereForJob returns the largest number of tasks of a job that any one other shard has free capacity for, among those
// that may have machines for the job.
func (t *Targets) FreeElsewhereForJob(j *wire.Job, types []wire.MachineType) (most int) {
	for _, p := range t.peers {
		if n := p.Capacity[j.Class].Now; n > most && t.sharding.MayHost(p.Shard, j, types) {
			most = n
		}
	}
	return most
}

// Choose picks the shard with the most capacity for the tasks of a job that found none in this shard, and the number of
// tasks that it should get: 0 if no shard can take any. ranges are those of the job; waited is how long its tasks
// have found no capacity.
func (t *Targets) Choose(now time.Time, u *scheduler.UnplacedJob, ranges []store.ShardRange, types []wire.MachineType, waited time.Duration) (shard string, tasks int) {
	j := u.Job
	whole := j.Shape == wire.Gang || j.OneZone
	if whole && (j.ActiveTasks > 0 || len(j.Waiting) != j.LocalTasks || j.RemoteTasks > 0) {
		return "", 0
	}
	for _, p := range t.peers {
		capacity, known := p.Capacity[j.Class]
		if !known || !t.sharding.MayHost(p.Shard, j.Job, types) {
			continue
		}
		free := t.freeFor(u, capacity, t.recent.count(now, p.Shard, j.Class), waited)
		take := min(free, u.Coming+u.Unserved, t.spreadCapacity(j, ranges, p.Shard))
		if whole && take < j.LocalTasks {
			continue
		}
		if take > tasks {
			shard, tasks = p.Shard, take
		}
	}
	return shard, tasks
}

// freeFor returns the number of tasks that a shard may get in addition to those that were recently handed over to it.
// That is the number it has free capacity for. If it has none, it is the number it can make capacity for, once the
// tasks have waited for scaleOutAfter and this shard neither has machines booting for them nor can scale out.
func (t *Targets) freeFor(u *scheduler.UnplacedJob, capacity scheduler.FreeCapacity, handedOver int, waited time.Duration) int {
	free := capacity.Now - handedOver
	if free > 0 || u.Unserved == 0 || waited < scaleOutAfter {
		return free
	}
	switch {
	case u.Job.Priority == wire.Production && capacity.Below > 0:
		return min(capacity.Below, u.Unserved) - handedOver
	case capacity.Rent:
		return min(max(minScaleOutTasks, len(u.Job.Waiting)), u.Unserved) - handedOver
	}
	return free
}

// spreadLimit bounds the tasks of a job that a shard may have. Of a job that must be spread, half the tasks may be in
// each of the shard's zones, and none in a shard that is defined by machine type: no such shard knows all tasks
// in a zone.
func (t *Targets) spreadLimit(j *scheduler.Job, shard string) int {
	switch {
	case !j.Spread:
		return j.Tasks
	case !t.sharding.KeepsZonesWhole():
		return 0
	}
	return (j.Tasks + 1) / 2 * max(1, len(t.sharding.ZonesOf(shard)))
}

// spreadCapacity bounds the tasks of a job that a shard may get in addition to those that it has.
func (t *Targets) spreadCapacity(j *scheduler.Job, ranges []store.ShardRange, shard string) int {
	most := t.spreadLimit(j, shard)
	if !j.Spread || most == 0 {
		return most
	}
	for _, s := range ranges {
		if s.Shard == shard {
			most -= s.To - s.From
		}
	}
	return most
}
