package controller

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/leadership"
)

// manageInterval is how often manageShards checks the shards if no change wakes it earlier.
const manageInterval = time.Second

// manageShards starts a leader for each shard that was won and stops it when its leadership is lost.
func (c *Controller) manageShards(ctx context.Context) error {
	defer c.stopLeadingAllShards()
	for ctx.Err() == nil {
		c.allocateStoreBudget()
		for _, name := range c.sharding.Shards() {
			c.manageShard(ctx, name)
		}
		c.shareObservations()
		if !c.sharding.IsSingle() {
			c.shareStatuses()
			c.rebalance()
		}
		timer := time.NewTimer(manageInterval)
		select {
		case <-ctx.Done():
		case <-c.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// manageShard starts or stops the leader of one shard according to the outcome of the election.
func (c *Controller) manageShard(ctx context.Context, name string) {
	standing := c.elector.Standing(name, time.Now())
	s := c.led.get(name)
	if s != nil && (!standing.Leading || s.tenure.Version != standing.Tenure.Version) {
		c.log.Warn("leadership lost", "shard", name, "token", s.tenure.FencingToken)
		c.stopLeading(s)
		s = nil
	}
	if s != nil {
		s.Wake()
		if reason := s.ResignReason(); reason != "" {
			c.stepDown(s, reason)
			return
		}
		c.resignIfPartitioned(ctx, s)
		return
	}
	if !standing.Leading || c.state.view.Revision() < standing.Tenure.Revision && c.state.follow.Barrier(ctx) != nil {
		return // a leader must start from a view that includes its own election
	}
	c.startLeading(ctx, standing.Tenure)
}

// resignIfPartitioned gives up this controller's leadership if workers reach a peer but not this controller.
func (c *Controller) resignIfPartitioned(ctx context.Context, s *ledShard) {
	if reason := c.candidacy.partitioned(s); reason != "" {
		c.elector.Resign(ctx, reason)
	}
}

// startLeading starts the leader of a shard that was won.
func (c *Controller) startLeading(ctx context.Context, tenure leadership.Tenure) {
	now, shard := time.Now(), tenure.Shard
	s := &ledShard{
		Leader: leader.New(c.cfg, tenure, c.state.view.Snapshot(), c.state.view.ShardLedgers(shard), c.types.get(), c.state.view, now, c.log),
		tenure: tenure,
		done:   make(chan struct{}),
	}
	leaderCtx, stop := context.WithCancel(ctx)
	s.stop = stop
	leaseValid := func() bool {
		standing := c.elector.Standing(shard, time.Now())
		return standing.Leading && standing.LeaseValid
	}
	if c.cfg.Tuning.History.Compact && shard == c.sharding.Shards()[0] { // the leader of the first shard compacts for all shards
		s.compactor = c.newCompactor(s, leaseValid)
	}
	c.led.add(now, s)
	c.log.Info("leading", "shard", shard, "token", tenure.FencingToken)
	go func() {
		defer close(s.done)
		g, leaderCtx := errgroup.WithContext(leaderCtx)
		g.Go(func() error {
			return s.Run(leaderCtx, leader.Dependencies{Store: c.state.client, View: c.state.view, Follower: c.state.follow, Cloud: c.cloud, Workers: c.workers,
				LeaseValid: leaseValid, OnFenced: c.wake, OnResign: c.wake})
		})
		if s.compactor != nil {
			g.Go(func() error { return s.compactor.Run(leaderCtx) })
		}
		_ = g.Wait()
	}()
}

// stepDown gives up a shard, which this controller or a peer then leads under a new fencing token.
func (c *Controller) stepDown(s *ledShard, reason string) {
	c.log.Info("giving up a shard", "shard", s.tenure.Shard, "token", s.tenure.FencingToken, "reason", reason)
	c.stopLeading(s)
	c.elector.StepDown(s.tenure.Shard)
}

// stopLeading stops the leader of a shard and waits until its goroutines have returned.
func (c *Controller) stopLeading(s *ledShard) {
	s.stop()
	c.led.remove(s.tenure.Shard)
	<-s.done
}

func (c *Controller) stopLeadingAllShards() {
	for _, name := range c.sharding.Shards() {
		if s := c.led.get(name); s != nil {
			c.stopLeading(s)
		}
	}
}
