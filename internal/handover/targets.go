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
	// scaleOutAfter is how long tasks wait for capacity before they go to a shard that has none either, but may
	// get some: by scaling out or by preemption.
	scaleOutAfter = 4 * time.Second
	// minScaleOutTasks is how many tasks at least go to a shard that can scale out.
	minScaleOutTasks = 4
)

// Peer is what another shard says that it could take.
type Peer struct {
	Shard      string
	Capacity   map[string]scheduler.FreeCapacity // by class
	ReadyGangs []string                          // gangs over several shards for whose tasks there it holds capacity
}

// Targets chooses the shards that tasks are handed over to. It is not safe for concurrent use.
type Targets struct {
	shard    string
	sharding *fleet.Sharding
	peers    []Peer // by name of the shard
	recent   recent
}

// NewTargets returns the targets of a shard's tasks.
func NewTargets(shard string, sharding *fleet.Sharding) *Targets {
	return &Targets{shard: shard, sharding: sharding, recent: make(recent)}
}

// SetPeers takes in what the other shards could take, sorted by name.
func (t *Targets) SetPeers(peers []Peer) { t.peers = peers }

// String lists what was handed over lately, for tests.
func (t *Targets) String() string { return fmt.Sprint(map[string]recentTasks(t.recent)) }

// Any reports whether there is another shard that tasks could go to.
func (t *Targets) Any() bool { return len(t.peers) > 0 }

// Record notes that tasks of a class are handed over to a shard.
func (t *Targets) Record(now time.Time, shard, class string, n int) {
	t.recent.record(now, shard, class, n)
}

// HoldsGang reports whether another shard holds capacity for its tasks of a gang.
func (t *Targets) HoldsGang(shard, gang string) bool {
	i := slices.IndexFunc(t.peers, func(p Peer) bool { return p.Shard == shard })
	return i >= 0 && slices.Contains(t.peers[i].ReadyGangs, gang)
}

// FreeElsewhere gives by class how many tasks another shard has capacity for now, in one shard together.
func (t *Targets) FreeElsewhere(now time.Time) map[string]int {
	out := make(map[string]int)
	for _, p := range t.peers {
		for class, capacity := range p.Capacity {
			out[class] = max(out[class], capacity.Now-t.recent.count(now, p.Shard, class))
		}
	}
	return out
}

// MovableTasks gives how many tasks of a job another shard could take that may have machines for it.
func (t *Targets) MovableTasks(j *wire.Job, types []wire.MachineType) (most int) {
	for _, p := range t.peers {
		if n := p.Capacity[j.Class].Now; n > most && t.sharding.MayHost(p.Shard, j, types) {
			most = n
		}
	}
	return most
}

// Choose picks the shard that has the most capacity for the tasks of a job that found none here, and how many
// it should get. Waited is for how long they have found none, ranges are those of the job.
func (t *Targets) Choose(now time.Time, u *scheduler.UnplacedJob, ranges []store.ShardRange, types []wire.MachineType, waited time.Duration) (shard string, tasks int) {
	j := u.Job
	whole := j.Shape == wire.Gang || j.OneZone
	if whole && (j.Active > 0 || len(j.Waiting) != j.LocalTasks || j.RemoteTasks > 0) {
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

// freeFor gives how many tasks a shard may get, of which some were handed over to it already: what it has capacity for
// now, or after a while, where nothing is booting here or could be scaled out, what it can make capacity for.
func (t *Targets) freeFor(u *scheduler.UnplacedJob, capacity scheduler.FreeCapacity, handed int, waited time.Duration) int {
	free := capacity.Now - handed
	if free > 0 || u.Unserved == 0 || waited < scaleOutAfter {
		return free
	}
	switch {
	case u.Job.Priority == wire.Production && capacity.Below > 0:
		return min(capacity.Below, u.Unserved) - handed
	case capacity.Rent:
		return min(max(minScaleOutTasks, len(u.Job.Waiting)), u.Unserved) - handed
	}
	return free
}

// spreadLimit bounds the tasks of a job that a shard may have, by the half of them that may be in one
// zone. Where the shards are by machine type, none knows all that is in a zone.
func (t *Targets) spreadLimit(j *scheduler.Job, shard string) int {
	switch {
	case !j.Spread:
		return j.Tasks
	case !t.sharding.KeepsZonesWhole():
		return 0
	}
	return (j.Tasks + 1) / 2 * max(1, len(t.sharding.ZonesOf(shard)))
}

// spreadCapacity bounds the tasks of a job that a shard may get beside those that it has.
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
