package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/leadership"
)

// ledShard is a part that this controller holds, and the end of its duties.
type ledShard struct {
	*leader.Leader
	compactor *archive.Compactor // nil where another holder folds
	tenure    leadership.Tenure
	stop      context.CancelFunc
	done      chan struct{}
}

// manageShards starts a holder for each part that was won and ends it when the
// claim is lost.
func (c *Controller) manageShards(ctx context.Context) error {
	defer c.stopLeadingAll()
	for ctx.Err() == nil {
		c.allocateStoreBudget()
		for _, part := range c.sharding.Shards() {
			c.manageShard(ctx, part)
		}
		c.shareObservations()
		if !c.sharding.IsSingle() {
			c.shareStatuses()
			c.rebalance()
		}
		t := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
		case <-c.changed:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

func (c *Controller) manageShard(ctx context.Context, shard string) {
	standing := c.elector.Standing(shard, time.Now())
	c.mu.Lock()
	h := c.led[shard]
	c.mu.Unlock()
	if h != nil && (!standing.Leading || h.tenure.Version != standing.Tenure.Version) {
		c.log.Warn("part lost", "part", shard, "term", h.tenure.FencingToken)
		c.stopLeading(shard, h)
		h = nil
	}
	if h != nil {
		h.Wake()
		c.resignIfPartitioned(ctx, h)
		return
	}
	if !standing.Leading || c.view.Revision() < standing.Tenure.Revision && c.follow.Barrier(ctx) != nil {
		return
	}
	c.startLeading(ctx, shard, standing.Tenure)
}

// startLeading starts the duties for a part that was won.
func (c *Controller) startLeading(ctx context.Context, shard string, tenure leadership.Tenure) {
	now := time.Now()
	h := &ledShard{tenure: tenure, done: make(chan struct{}),
		Leader: leader.New(c.cfg, tenure, c.view.Snapshot(), c.view.ShardLedgers(shard), c.machineTypes(), c.view, now, c.log)}
	duties, stop := context.WithCancel(ctx)
	h.stop = stop
	leaseValid := func() bool {
		standing := c.elector.Standing(shard, time.Now())
		return standing.Leading && standing.LeaseValid
	}
	if c.cfg.Tuning.History.Compact && shard == c.sharding.Shards()[0] { // one holder folds, for all parts
		h.compactor = c.newCompactor(h, leaseValid)
	}
	c.mu.Lock()
	c.led[shard], c.shardMovedAt = h, now
	c.mu.Unlock()
	c.log.Info("holding", "part", shard, "term", tenure.FencingToken)
	go func() {
		defer close(h.done)
		g, duties := errgroup.WithContext(duties)
		g.Go(func() error {
			return h.Run(duties, leader.Dependencies{Store: c.client, View: c.view, Follower: c.follow, Cloud: c.cloud, Workers: c.workers, LeaseValid: leaseValid, OnFenced: c.wake})
		})
		if h.compactor != nil {
			g.Go(func() error { return h.compactor.Run(duties) })
		}
		_ = g.Wait()
	}()
}

func (c *Controller) stopLeading(shard string, h *ledShard) {
	h.stop()
	c.mu.Lock()
	delete(c.led, shard)
	c.shardMovedAt = time.Now()
	c.mu.Unlock()
	<-h.done
}

func (c *Controller) stopLeadingAll() {
	for _, part := range c.sharding.Shards() {
		c.mu.Lock()
		h := c.led[part]
		c.mu.Unlock()
		if h != nil {
			c.stopLeading(part, h)
		}
	}
}

// ledShards lists the parts that this controller holds.
func (c *Controller) ledShards() []*ledShard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.led))
}
