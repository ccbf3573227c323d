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
	// statusMaxAge is how long the collected status of all shards is cached: queries of users need it
	// all the time.
	statusMaxAge = peer.Interval / 4
	// taskCountMaxAge is how old a leader's heartbeat may be for its task counts to be shown.
	taskCountMaxAge = 6 * time.Second
)

// statusCollector collects the status of each shard, from the leaders on this controller and from the
// heartbeats of peers. If the fleet is one shard, heartbeats carry only its task counts.
type statusCollector struct {
	sharding *fleet.Sharding
	mesh     *peer.Mesh
	led      *shardRegistry

	mu        sync.Mutex
	cached    map[string]leader.ShardStatus
	collected time.Time
}

// all returns the latest status of each shard. The map is shared and must not be modified.
func (c *statusCollector) all() map[string]leader.ShardStatus {
	c.mu.Lock()
	cached, collected := c.cached, c.collected
	c.mu.Unlock()
	if cached != nil && time.Since(collected) < statusMaxAge {
		return cached
	}
	cached = c.collect()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached, c.collected = cached, time.Now()
	return cached
}

func (c *statusCollector) collect() map[string]leader.ShardStatus {
	out := make(map[string]leader.ShardStatus)
	for _, peerStatus := range c.mesh.Latest(2 * heartbeatMaxAge) {
		for name, status := range peerStatus.Shards {
			if status.Term > out[name].Term {
				out[name] = status
			}
		}
	}
	now := time.Now()
	for _, s := range c.led.all() {
		out[s.tenure.Shard] = s.Status(now)
	}
	return out
}

// known returns the status of each shard whose status is known: if there are several shards, those of
// any controller, and if the fleet is one shard, that shard provided that this controller leads it.
func (c *statusCollector) known() map[string]leader.ShardStatus {
	if !c.sharding.IsSingle() {
		return c.all()
	}
	out := make(map[string]leader.ShardStatus)
	for _, s := range c.led.all() {
		out[s.tenure.Shard] = s.Status(time.Now())
	}
	return out
}

// forRouting returns the status of each shard that the router bases its decisions on.
func (c *statusCollector) forRouting() map[string]shard.Status {
	all := c.all()
	out := make(map[string]shard.Status, len(all))
	for name, s := range all {
		out[name] = shard.Status{Capacity: s.Rooms, Machines: s.Machines, Backlog: s.Backlog}
	}
	return out
}

// runningTasks returns how many of a job's tasks are running, for display.
func (c *statusCollector) runningTasks(job string) int {
	running, _ := c.taskCounts(job)
	return running
}

// taskCounts returns how many of a job's tasks are running and done, for display. It adds up the counts
// of the leaders on all controllers.
func (c *statusCollector) taskCounts(job string) (running, done int) {
	if c.sharding.IsSingle() {
		counts := c.fleetTaskCount(job)
		return counts.Running, counts.Done
	}
	for _, s := range c.all() {
		counts := s.Counts[job]
		running += counts.Running
		done += counts.Done
	}
	return running, done
}

// fleetTaskCount returns a job's task counts if the fleet is one shard.
func (c *statusCollector) fleetTaskCount(job string) leader.TaskCount {
	for _, s := range c.led.all() {
		if count, ok := s.TaskCounts(time.Now())[job]; ok {
			return count
		}
	}
	var newest peer.Status
	for _, status := range c.mesh.Latest(taskCountMaxAge) {
		if status.FencingToken > newest.FencingToken {
			newest = status
		}
	}
	return newest.TaskCounts[job]
}

// shareStatuses passes the status of the other shards to each leader on this controller.
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

// route returns the ranges of shards that a new job is assigned to, and the generation of the sharding that
// they belong to. A job that arrives while the state has another sharding is assigned later.
func (c *Controller) route(job *wire.Job, types []wire.MachineType) ([]store.ShardRange, uint64) {
	current := c.state.view.Sharding().Record
	if c.sharding.IsSingle() || current.Text != c.sharding.String() {
		return nil, 0
	}
	return c.router.Route(time.Now(), job, types), current.Generation
}
