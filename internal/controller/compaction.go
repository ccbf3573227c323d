package controller

import (
	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

func (c *Controller) newCompactor(h *ledShard, leaseValid func() bool) *archive.Compactor {
	tune := c.cfg.Tuning.History
	f := &archive.Compactor{Store: c.client, View: c.view, Follower: c.follow, Reader: c.history, Log: c.log.With("term", h.tenure.FencingToken),
		Limits:        archive.Limits{ValueBytes: c.cfg.Store.ValueBytes, TxnOps: c.cfg.Store.TxnOps},
		Fence:         wire.Condition{Key: store.LeaderKey(h.tenure.Shard), Version: h.tenure.Version},
		JobsWithTasks: h.UnfinishedJobs, LeaseValid: leaseValid, Interval: tune.Every, MaxWait: tune.Wait, MergeThreshold: tune.MergeAt}
	if !c.sharding.IsSingle() {
		f.DrainedThrough = func() uint64 {
			least := c.view.Revision()
			for _, part := range c.sharding.Shards() {
				if part != h.tenure.Shard {
					least = min(least, c.view.DrainedThrough(part))
				}
			}
			return least
		}
	}
	return f
}
