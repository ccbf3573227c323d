package controller

import (
	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// newCompactor returns the compactor of ended jobs that runs alongside a leader. Its writes are conditional on the
// leader's record.
func (c *Controller) newCompactor(s *ledShard, leaseValid func() bool) *archive.Compactor {
	settings, view := c.cfg.Tuning.History, c.state.view
	compactor := &archive.Compactor{
		Store: c.state.client, View: view, Follower: c.state.follow, Reader: c.state.history,
		Log:           c.log.With("token", s.tenure.FencingToken),
		Limits:        archive.Limits{ValueBytes: c.cfg.Store.ValueBytes, TxnOps: c.cfg.Store.TxnOps},
		Fence:         wire.Condition{Key: store.LeaderKey(s.tenure.Shard), Version: s.tenure.Version},
		JobsWithTasks: s.UnfinishedJobs,
		LeaseValid:    leaseValid,
		Interval:      settings.Interval, MaxWait: settings.MaxWait, MergeThreshold: settings.MergeThreshold,
	}
	if !c.sharding.IsSingle() {
		compactor.DrainedThrough = func() uint64 {
			oldest := view.Revision()
			for _, name := range c.sharding.Shards() {
				if name != s.tenure.Shard {
					oldest = min(oldest, view.DrainedThrough(name))
				}
			}
			return oldest
		}
	}
	return compactor
}
