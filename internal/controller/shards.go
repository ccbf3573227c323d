package controller

import (
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/shard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// statusMaxAge is for how long a collected status of all shards is used again: questions of
	// users ask for it all the time.
	statusMaxAge = peer.Interval / 4
	// taskCountMaxAge is how old a leader's heartbeat may be whose task counts are shown.
	taskCountMaxAge = 6 * time.Second
)

// statusCollector collects what the leaders say of their shards, from here and from the heartbeats of
// the peers. Where the fleet is one shard, only its counts of tasks travel in heartbeats.
type statusCollector struct {
	sharding *fleet.Sharding
	mesh     *peer.Mesh
	led      *shardRegistry

	mu        sync.Mutex
	cached    map[string]leader.ShardStatus
	collected time.Time
}

// all returns the last status of each shard. The map is shared and must not be changed.
func (b *statusCollector) all() map[string]leader.ShardStatus {
	b.mu.Lock()
	cached, collected := b.cached, b.collected
	b.mu.Unlock()
	if cached != nil && time.Since(collected) < statusMaxAge {
		return cached
	}
	cached = b.collect()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cached, b.collected = cached, time.Now()
	return cached
}

func (b *statusCollector) collect() map[string]leader.ShardStatus {
	out := make(map[string]leader.ShardStatus)
	for _, hb := range b.mesh.Latest(2 * heartbeatMaxAge) {
		for name, status := range hb.Shards {
			if status.Term > out[name].Term {
				out[name] = status
			}
		}
	}
	now := time.Now()
	for _, s := range b.led.all() {
		out[s.tenure.Shard] = s.Status(now)
	}
	return out
}

// known returns the status of each shard of which something is known: of all where there are
// several, else that of the fleet if it is led here.
func (b *statusCollector) known() map[string]leader.ShardStatus {
	if !b.sharding.IsSingle() {
		return b.all()
	}
	out := make(map[string]leader.ShardStatus)
	for _, s := range b.led.all() {
		out[s.tenure.Shard] = s.Status(time.Now())
	}
	return out
}

// forRouting returns what the router goes by of each shard.
func (b *statusCollector) forRouting() map[string]shard.Status {
	all := b.all()
	out := make(map[string]shard.Status, len(all))
	for name, s := range all {
		out[name] = shard.Status{Capacity: s.Rooms, Machines: s.Machines, Backlog: s.Backlog}
	}
	return out
}

// runningTasks returns how many of a job's tasks run, for display.
func (b *statusCollector) runningTasks(job string) int {
	running, _ := b.taskCounts(job)
	return running
}

// taskCounts returns how many of a job's tasks run and are done, for display, from the leaders
// wherever they are.
func (b *statusCollector) taskCounts(job string) (running, done int) {
	if b.sharding.IsSingle() {
		n := b.fleetTaskCount(job)
		return n.Running, n.Done
	}
	for _, s := range b.all() {
		n := s.Counts[job]
		running += n.Running
		done += n.Done
	}
	return running, done
}

// fleetTaskCount returns a job's counts where the fleet is one shard.
func (b *statusCollector) fleetTaskCount(job string) leader.TaskCount {
	for _, s := range b.led.all() {
		if n, ok := s.TaskCounts(time.Now())[job]; ok {
			return n
		}
	}
	var newest peer.Status
	for _, hb := range b.mesh.Latest(taskCountMaxAge) {
		if hb.FencingToken > newest.FencingToken {
			newest = hb
		}
	}
	return newest.TaskCounts[job]
}

// shareStatuses gives the leaders here the status of the other shards.
func (c *Controller) shareStatuses() {
	all, forwarding := c.statuses.all(), len(c.ingest.receiver.ForwardingPeers(forwardingMaxAge))
	for _, s := range c.led.all() {
		others := make(map[string]leader.ShardStatus, len(all))
		for name, status := range all {
			if name != s.tenure.Shard {
				others[name] = status
			}
		}
		s.SetPeerShards(others, forwarding)
	}
}

// route returns the shares of a new job and the generation of the sharding that they are of. A job
// that comes while the state is sharded otherwise is assigned later.
func (c *Controller) route(j *wire.Job, types []wire.MachineType) ([]store.ShardRange, uint64) {
	current := c.state.view.Sharding().Record
	if c.sharding.IsSingle() || current.Text != c.sharding.String() {
		return nil, 0
	}
	return c.router.Route(time.Now(), j, types), current.Generation
}
