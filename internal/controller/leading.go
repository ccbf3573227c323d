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

// holding is a part that this controller holds, and the end of its duties.
type holding struct {
	*leader.Holder
	folder *archive.Folder // nil where another holder folds
	claim  leadership.Held
	stop   context.CancelFunc
	done   chan struct{}
}

// manage starts a holder for each part that was won and ends it when the
// claim is lost.
func (c *Controller) manage(ctx context.Context) error {
	defer c.endAll()
	for ctx.Err() == nil {
		c.share()
		for _, part := range c.group.Parts() {
			c.managePart(ctx, part)
		}
		c.tellObservations()
		if !c.group.Whole() {
			c.tellHolders()
			c.balance()
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

// startingFor is how long a controller that has begun may take to hear its siblings.
const startingFor = 3 * time.Second

// share sets this controller's share of the limits of the state service, by the parts that are held
// and by who writes.
func (c *Controller) share() {
	held, mine := false, 0.0
	for _, part := range c.group.Parts() {
		_, isHeld, _, _ := c.keeper.Held(part, time.Now())
		_, known := c.view.Part(part)
		held = held || known || isHeld
		if isHeld {
			mine += 1 / float64(len(c.group.Parts()))
		}
	}
	policy, writing := c.cfg.Writers(), c.writers(time.Now())
	allowed := store.Allowance{Requests: policy.Requests(writing.names, c.cfg.Name, mine), Acceptance: policy.Changes(writing.names, c.cfg.Name), Holding: mine, Held: held}
	if writing.older || writing.names == nil && time.Since(c.begun) < startingFor {
		allowed.Requests, allowed.Acceptance = policy.Even(), policy.Even()
	}
	c.client.Allow(allowed)
}

func (c *Controller) managePart(ctx context.Context, part string) {
	held, isHeld, _, _ := c.keeper.Held(part, time.Now())
	c.mu.Lock()
	h := c.holders[part]
	c.mu.Unlock()
	if h != nil && (!isHeld || h.claim.Version != held.Version) {
		c.log.Warn("part lost", "part", part, "term", h.claim.Term)
		c.end(part, h)
		h = nil
	}
	if h != nil {
		h.Kick()
		c.resignIfDeaf(ctx, h)
		return
	}
	if !isHeld || c.view.Revision() < held.Revision && c.follow.Barrier(ctx) != nil {
		return
	}
	c.begin(ctx, part, held)
}

// begin starts the duties for a part that was won.
func (c *Controller) begin(ctx context.Context, part string, held leadership.Held) {
	now := time.Now()
	h := &holding{claim: held, done: make(chan struct{}),
		Holder: leader.New(c.cfg, held, c.view.Snapshot(), c.view.Ledgers(part), c.machineTypes(), c.view, now, c.log)}
	duties, stop := context.WithCancel(ctx)
	h.stop = stop
	surely := func() bool { _, ok, valid, _ := c.keeper.Held(part, time.Now()); return ok && valid }
	if c.cfg.Tuning.History.Fold && part == c.group.Parts()[0] { // one holder folds, for all parts
		h.folder = c.newFolder(h, surely)
	}
	c.mu.Lock()
	c.holders[part], c.moved = h, now
	c.mu.Unlock()
	c.log.Info("holding", "part", part, "term", held.Term)
	go func() {
		defer close(h.done)
		g, duties := errgroup.WithContext(duties)
		g.Go(func() error {
			return h.Run(duties, leader.Edges{Store: c.client, View: c.view, Follow: c.follow, Cloud: c.cloud, Workers: c.workers, Valid: surely, Fenced: c.wake})
		})
		if h.folder != nil {
			g.Go(func() error { return h.folder.Run(duties) })
		}
		_ = g.Wait()
	}()
}

func (c *Controller) newFolder(h *holding, surely func() bool) *archive.Folder {
	tune := c.cfg.Tuning.History
	f := &archive.Folder{Store: c.client, View: c.view, Follow: c.follow, Reader: c.history, Log: c.log.With("term", h.claim.Term),
		Limits: archive.Limits{ValueBytes: c.cfg.Store.ValueBytes, TxnOps: c.cfg.Store.TxnOps},
		Fence:  wire.Condition{Key: store.PartKey(h.claim.Part), Version: h.claim.Version},
		Ending: h.Ending, Valid: surely, Every: tune.Every, Wait: tune.Wait, MergeAt: tune.MergeAt}
	if !c.group.Whole() {
		f.Clear = func() uint64 {
			least := c.view.Revision()
			for _, part := range c.group.Parts() {
				if part != h.claim.Part {
					least = min(least, c.view.Clear(part))
				}
			}
			return least
		}
	}
	return f
}

// patience is how long a free part is left to a sibling that hears the workers
// better.
const patience = 4 * time.Second

// fit says whether this controller should claim a part that has been free for
// some time. One that the workers can't reach leaves it to one that they can.
func (c *Controller) fit(free time.Duration) bool {
	if c.machineTypes() == nil || !c.open() {
		return false
	}
	mine := c.reception.Heard()
	c.mu.Lock()
	if time.Since(c.deaf) < 2*c.cfg.Workers.Report {
		mine = 0 // what it remembers is from before it gave the claim up
	}
	c.mu.Unlock()
	for _, b := range c.mesh.Last(3 * time.Second) {
		if b.StoreOK && b.Heard > 2*mine+2 && free < patience {
			return false
		}
	}
	return true
}

// resignIfDeaf gives the claim up when many machines are silent here while they
// report to a sibling that can take over, or when they are heard by siblings alone and
// calls don't reach them: the way between the workers and this controller is cut.
func (c *Controller) resignIfDeaf(ctx context.Context, h *holding) {
	now := time.Now()
	silent, unreached := h.Unheard(now), h.Unreached(now)
	if silent < 2 && !unreached {
		return
	}
	for name, b := range c.mesh.Last(3 * time.Second) {
		// What a sibling hears that passes it on is not silent for want of a way.
		passes := b.Passes == c.cfg.Name || slices.Contains(b.Ways, c.cfg.Name)
		deaf := silent >= 2 && !passes && b.Heard >= (silent+1)/2
		if b.StoreOK && (deaf || unreached && b.Heard > 2*c.reception.Heard()) {
			c.mu.Lock()
			c.deaf = now
			c.mu.Unlock()
			c.keeper.Resign(ctx, "workers reach "+name+", not this controller")
			return
		}
	}
}

func (c *Controller) end(part string, h *holding) {
	h.stop()
	c.mu.Lock()
	delete(c.holders, part)
	c.moved = time.Now()
	c.mu.Unlock()
	<-h.done
}

func (c *Controller) endAll() {
	for _, part := range c.group.Parts() {
		c.mu.Lock()
		h := c.holders[part]
		c.mu.Unlock()
		if h != nil {
			c.end(part, h)
		}
	}
}

// holding lists the parts that this controller holds.
func (c *Controller) holding() []*holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.holders))
}
