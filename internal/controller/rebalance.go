package controller

import (
	"time"

	"amberdeal.example/amberdeal/internal/shard"
)

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
