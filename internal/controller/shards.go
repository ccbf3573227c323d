package controller

import (
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/shard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Where the fleet is in several parts, what each holder says of its own reaches the
// others in the beats of the mesh.

// heartbeatMaxAge is how old the beat of a sibling that lives may be.
const heartbeatMaxAge = 3 * peer.Interval

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

// configMismatch names a sibling that is set to divide the fleet, or its work, otherwise, or that may
// yet be heard.
func (c *Controller) configMismatch() (other string, heard bool) {
	beats := c.peers.Latest(heartbeatMaxAge)
	for _, sib := range c.cfg.Peers {
		b, heard := beats[sib.Name]
		if heard && (b.Groups != c.sharding.String() || b.Tiers != c.tiersDigest) || !heard && time.Since(c.startedAt) < preferredLeaderDelay {
			return sib.Name, heard
		}
	}
	return "", true
}

// shouldCampaign says whether this controller is to claim a part that has been free for a while.
func (c *Controller) shouldCampaign(shardName string, vacant time.Duration) bool {
	if !c.canLead(vacant) {
		return false
	}
	if c.sharding.IsSingle() || vacant >= preferredLeaderDelay {
		return true
	}
	candidates := append(c.candidates(), c.self())
	if time.Since(c.startedAt) < preferredLeaderDelay { // those that have not been heard yet may just have begun too
		seen := make(map[string]bool)
		for _, x := range candidates {
			seen[x.Name] = true
		}
		for _, sib := range c.cfg.Peers {
			if !seen[sib.Name] {
				candidates = append(candidates, shard.Controller{Name: sib.Name, Zone: sib.Zone, Leads: c.shardsLedBy(sib.Name)})
			}
		}
	}
	var vacantShards []shard.Shard
	for _, p := range c.sharding.Shards() {
		if _, held := c.view.Leader(p); !held {
			vacantShards = append(vacantShards, shard.Shard{Name: p, Zones: c.sharding.ZonesOf(p)})
		}
	}
	return shard.Assign(vacantShards, candidates, len(c.sharding.Shards()))[shardName] == c.cfg.Name
}

// candidates lists the siblings that could hold parts.
func (c *Controller) candidates() (out []shard.Controller) {
	c.mu.Lock()
	alive := c.detector.Alive(time.Now())
	c.mu.Unlock()
	for _, sib := range c.cfg.Peers {
		if slices.Contains(alive, sib.Name) {
			out = append(out, shard.Controller{Name: sib.Name, Zone: sib.Zone, Leads: c.shardsLedBy(sib.Name)})
		}
	}
	return out
}

func (c *Controller) self() shard.Controller {
	return shard.Controller{Name: c.cfg.Name, Zone: c.cfg.Zone, Leads: c.shardsLedBy(c.cfg.Name)}
}

// shardsLedBy counts the parts that a controller holds, by the store.
func (c *Controller) shardsLedBy(name string) (n int) {
	for _, part := range c.sharding.Shards() {
		if rec, ok := c.view.Leader(part); ok && rec.Record.Leader == name {
			n++
		}
	}
	return n
}

// Parts move only in quiet times, one after the other.
const (
	rebalanceAfter = 10 * time.Second // since a part last moved, and since the other began
)

// rebalance gives one part back where a sibling holds far fewer. Its duties end first: once
// another has claimed it, nothing is said here any more.
func (c *Controller) rebalance() {
	now := time.Now()
	c.mu.Lock()
	settled := now.Sub(c.shardMovedAt) >= rebalanceAfter
	c.mu.Unlock()
	if !settled {
		return
	}
	var others []shard.Controller
	beats := c.peers.Latest(heartbeatMaxAge)
	for _, o := range c.candidates() {
		if time.Duration(beats[o.Name].UpS)*time.Second >= rebalanceAfter {
			others = append(others, o)
		}
	}
	var mine []shard.Shard
	for _, h := range c.ledShards() {
		if !h.Rebuilt() {
			return
		}
		mine = append(mine, shard.Shard{Name: h.tenure.Shard, Zones: c.sharding.ZonesOf(h.tenure.Shard)})
	}
	shardName, ok := shard.Surplus(c.self(), mine, others)
	if !ok {
		return
	}
	c.mu.Lock()
	h := c.led[shardName]
	c.mu.Unlock()
	if h == nil {
		return
	}
	c.log.Info("giving a part back", "part", shardName, "term", h.tenure.FencingToken, "why", "a sibling holds fewer")
	c.stopLeading(shardName, h)
	c.elector.StepDown(shardName)
}
