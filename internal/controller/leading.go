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
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
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

// startupGrace is how long a controller that has begun may take to hear its siblings.
const startupGrace = 3 * time.Second

// allocateStoreBudget sets this controller's share of the limits of the state service, by the parts that are held
// and by who writes.
func (c *Controller) allocateStoreBudget() {
	anyLed, ledShare := false, 0.0
	for _, shard := range c.sharding.Shards() {
		_, isHeld, _, _ := c.elector.Tenure(shard, time.Now())
		_, known := c.view.Leader(shard)
		anyLed = anyLed || known || isHeld
		if isHeld {
			ledShare += 1 / float64(len(c.sharding.Shards()))
		}
	}
	policy, writing := c.cfg.Writers(), c.writers(time.Now())
	allowed := store.Allowance{Requests: policy.RequestShare(writing.names, c.cfg.Name, ledShare), Acceptance: policy.WriteShare(writing.names, c.cfg.Name), Leading: ledShare, HasLeader: anyLed}
	if writing.olderPeer || writing.names == nil && time.Since(c.startedAt) < startupGrace {
		allowed.Requests, allowed.Acceptance = policy.EvenShare(), policy.EvenShare()
	}
	c.client.Allow(allowed)
}

func (c *Controller) manageShard(ctx context.Context, shard string) {
	tenure, leading, _, _ := c.elector.Tenure(shard, time.Now())
	c.mu.Lock()
	h := c.led[shard]
	c.mu.Unlock()
	if h != nil && (!leading || h.tenure.Version != tenure.Version) {
		c.log.Warn("part lost", "part", shard, "term", h.tenure.FencingToken)
		c.stopLeading(shard, h)
		h = nil
	}
	if h != nil {
		h.Wake()
		c.resignIfPartitioned(ctx, h)
		return
	}
	if !leading || c.view.Revision() < tenure.Revision && c.follow.Barrier(ctx) != nil {
		return
	}
	c.startLeading(ctx, shard, tenure)
}

// startLeading starts the duties for a part that was won.
func (c *Controller) startLeading(ctx context.Context, shard string, tenure leadership.Tenure) {
	now := time.Now()
	h := &ledShard{tenure: tenure, done: make(chan struct{}),
		Leader: leader.New(c.cfg, tenure, c.view.Snapshot(), c.view.ShardLedgers(shard), c.machineTypes(), c.view, now, c.log)}
	duties, stop := context.WithCancel(ctx)
	h.stop = stop
	leaseValid := func() bool { _, ok, valid, _ := c.elector.Tenure(shard, time.Now()); return ok && valid }
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
