package controller

import (
	"time"

	"amberdeal.example/amberdeal/internal/shard"
)

// rebalanceAfter is how long no shard must have moved here, and how long a peer must have run,
// before a shard moves to it: shards move one after the other, and not while anything else changes.
const rebalanceAfter = 10 * time.Second

// rebalance gives up one shard where a peer leads far fewer. Its duties end first: once a peer has
// won it, nothing may be said of it here any more.
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
	c.log.Info("giving up a shard", "shard", name, "token", s.tenure.FencingToken, "reason", "a peer leads fewer")
	c.stopLeading(s)
	c.elector.StepDown(name)
}
