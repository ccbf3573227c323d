package controller

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// statuses gives what the parts have last said, from here and by the mesh. The map is
// shared and never changed: users' questions ask for it all the time.
func (c *Controller) statuses() map[string]leader.ShardStatus {
	c.mu.Lock()
	all, at := c.shardStatuses, c.shardStatusesAt
	c.mu.Unlock()
	if all != nil && time.Since(at) < peer.Interval/4 {
		return all
	}
	all = c.collectStatuses()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shardStatuses, c.shardStatusesAt = all, time.Now()
	return all
}

func (c *Controller) collectStatuses() map[string]leader.ShardStatus {
	out := make(map[string]leader.ShardStatus)
	for _, b := range c.peers.Latest(2 * heartbeatMaxAge) {
		for part, s := range b.Parts {
			if s.Term > out[part].Term {
				out[part] = s
			}
		}
	}
	now := time.Now()
	for _, h := range c.ledShards() {
		out[h.tenure.Shard] = h.Status(now)
	}
	return out
}

// shareStatuses tells the holders here how the other parts stand.
func (c *Controller) shareStatuses() {
	all, edges := c.statuses(), len(c.receiver.ForwardingPeers(2*time.Second))
	for _, h := range c.ledShards() {
		others := make(map[string]leader.ShardStatus, len(all))
		for part, s := range all {
			if part != h.tenure.Shard {
				others[part] = s
			}
		}
		h.SetPeerShards(others, edges)
	}
}

// route gives the shares of a new job, and the number of the grouping that they are of. One
// that comes while the state is divided otherwise is dealt out later.
func (c *Controller) route(j *wire.Job, types []wire.MachineType) ([]store.ShardRange, uint64) {
	g := c.view.Sharding().Record
	if c.sharding.IsSingle() || g.Text != c.sharding.String() {
		return nil, 0
	}
	return c.router.Route(time.Now(), j, types), g.Generation
}

// taskCounts gives a job's counts for display, from the holders wherever they are.
func (c *Controller) taskCounts(job string) (sum leader.TaskCount) {
	if !c.sharding.IsSingle() {
		for _, s := range c.statuses() {
			n := s.Counts[job]
			sum.Running += n.Running
			sum.Done += n.Done
		}
		return sum
	}
	for _, h := range c.ledShards() {
		if n, ok := h.TaskCounts(time.Now())[job]; ok {
			return n
		}
	}
	var best peer.Heartbeat
	for _, b := range c.peers.Latest(6 * time.Second) {
		if b.Term > best.Term {
			best = b
		}
	}
	return best.Counts[job]
}
