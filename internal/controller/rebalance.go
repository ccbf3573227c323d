package controller

import (
	"time"

	"amberdeal.example/amberdeal/internal/shard"
)

// rebalanceAfter is how long this controller must not have won, lost or given up a shard, and how long a peer
// must have been running, before this controller gives up a shard to it. Shards thus move one at a time,
// and not while anything else changes.
const rebalanceAfter = 10 * time.Second

// rebalance gives up one shard if a peer leads far fewer. It stops the shard's leader first, since this
// controller must not answer for the shard once a peer has won it.
func (c *Controller) rebalance() {
	if c.led.unchangedFor(time.Now()) < rebalanceAfter {
		return
	}
	var peers []shard.Controller
	latest := c.mesh.Latest(heartbeatMaxAge)
	for _, p := range c.candidacy.peerCandidates() {
		if latest[p.Name].Uptime >= rebalanceAfter {
			peers = append(peers, p)
		}
	}
	var mine []shard.Shard
	for _, s := range c.led.all() {
		if !s.Rebuilt() {
			return
		}
		mine = append(mine, shard.Shard{Name: s.tenure.Shard, Zones: c.sharding.ZonesOf(s.tenure.Shard)})
	}
	name, found := shard.Surplus(c.candidacy.self(), mine, peers)
	if !found {
		return
	}
	s := c.led.get(name)
	if s == nil {
		return
	}
	c.stepDown(s, "a peer leads fewer")
}
