package controller

import (
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

// startupGracePeriod is how long a controller that has just started may take to receive heartbeats from its peers.
const startupGracePeriod = 3 * time.Second

// allocateStoreBudget sets this controller's share of the state service's rate limits, depending on
// which shards have a leader and which controllers write.
func (c *Controller) allocateStoreBudget() {
	anyLed, ledShare := false, 0.0
	for _, shard := range c.sharding.Shards() {
		leading := c.elector.Standing(shard, time.Now()).Leading
		_, led := c.state.view.Leader(shard)
		anyLed = anyLed || led || leading
		if leading {
			ledShare += 1 / float64(len(c.sharding.Shards()))
		}
	}
	policy, writing := c.writers.policy, c.writers.choose(time.Now())
	allowed := store.Allowance{
		Requests:          policy.RequestShare(writing.names, c.cfg.Name, ledShare),
		Acceptance:        policy.WriteShare(writing.names, c.cfg.Name),
		Leading:           ledShare,
		AnyShardHasLeader: anyLed,
	}
	if writing.olderPeer || writing.names == nil && time.Since(c.startedAt) < startupGracePeriod {
		allowed.Requests, allowed.Acceptance = policy.EvenShare(), policy.EvenShare()
	}
	c.state.client.SetAllowance(allowed)
}
