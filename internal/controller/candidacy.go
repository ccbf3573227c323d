package controller

import (
	"context"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/shard"
)

// preferredLeaderDelay is how long a free part is left to a sibling that hears the workers
// better.
const preferredLeaderDelay = 4 * time.Second

// canLead says whether this controller should claim a part that has been free for
// some time. One that the workers can't reach leaves it to one that they can.
func (c *Controller) canLead(vacant time.Duration) bool {
	if c.machineTypes() == nil || !c.writable() {
		return false
	}
	local := c.gateway.Offered()
	c.mu.Lock()
	if time.Since(c.partitionedAt) < 2*c.cfg.Workers.HeartbeatInterval {
		local = 0 // what it remembers is from before it gave the claim up
	}
	c.mu.Unlock()
	for _, b := range c.peers.Latest(3 * time.Second) {
		if b.StoreOK && b.Heard > 2*local+2 && vacant < preferredLeaderDelay {
			return false
		}
	}
	return true
}

// resignIfPartitioned gives the claim up when many machines are silent here while they
// report to a sibling that can take over, or when they are heard by siblings alone and
// calls don't reach them: the way between the workers and this controller is cut.
func (c *Controller) resignIfPartitioned(ctx context.Context, h *ledShard) {
	now := time.Now()
	missing, uncallable := h.UnreachableMachines(now), h.CallsFailing(now)
	if missing < 2 && !uncallable {
		return
	}
	for name, b := range c.peers.Latest(3 * time.Second) {
		// What a sibling hears that passes it on is not silent for want of a way.
		forwards := b.Passes == c.cfg.Name || slices.Contains(b.Ways, c.cfg.Name)
		partitioned := missing >= 2 && !forwards && b.Heard >= (missing+1)/2
		if b.StoreOK && (partitioned || uncallable && b.Heard > 2*c.gateway.Offered()) {
			c.mu.Lock()
			c.partitionedAt = now
			c.mu.Unlock()
			c.elector.Resign(ctx, "workers reach "+name+", not this controller")
			return
		}
	}
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
