package controller

import (
	"context"
	"time"

	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/store"
)

// heard takes in a sibling's beat.
func (c *Controller) heard(b peer.Beat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members.Heard(time.Now(), b.From, b.StoreOK, b.Says)
}

// written is when a part's ledger was last seen to have changed.
type written struct {
	revision uint64
	at       time.Time
}

// Between two looks at the holders; how long a part's ledger must have been quiet, and how
// old the view may be that says so; and for how long the first of those that see the same
// is left to act alone.
const (
	lookGap  = 500 * time.Millisecond
	quietFor = 4 * time.Second
	viewAge  = 1500 * time.Millisecond
	actAlone = 2 * time.Second
)

// watchHolders ends the lease of a holder that all siblings agree is dead and that has
// written nothing for a while, so that its parts are free before the lease has run out.
// Should it live, its next renewal or round is refused, as if the lease had: the rules
// rest on that, and on how long it may answer since its last renewal.
func (c *Controller) watchHolders(ctx context.Context) error {
	ctx = store.For(ctx, store.Claims)
	since := make(map[uint64]time.Time) // leases that were found so, since when
	for ctx.Err() == nil {
		store.Pause(ctx, lookGap)
		now := time.Now()
		for _, part := range c.group.Parts() {
			c.quietPart(now, part) // from before anyone is in doubt
		}
		if c.anyDead(now) && now.Sub(c.view.CurrentAt()) > viewAge && c.follow.Barrier(ctx) != nil {
			continue // nothing is known of what it has written
		}
		leases := c.deadLeases(now)
		for lease := range since {
			if leases[lease] == "" {
				delete(since, lease)
			}
		}
		for lease, holder := range leases {
			if since[lease].IsZero() {
				since[lease] = now
			}
			c.mu.Lock()
			first := c.members.First(now, c.cfg.Name)
			c.mu.Unlock()
			if first || now.Sub(since[lease]) > actAlone {
				err := c.client.End(ctx, lease)
				c.log.Warn("ending the lease of a silent holder", "holder", holder, "lease", lease, "error", err)
			}
		}
	}
	return nil
}

// anyDead reports whether a holder is taken for dead.
func (c *Controller) anyDead(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range c.group.Parts() {
		if rec, ok := c.view.Part(part); ok && rec.Record.Holder != c.cfg.Name && c.members.State(now, rec.Record.Holder) == membership.Dead {
			return true
		}
	}
	return false
}

// deadLeases names the holders that are dead by all that is known here, by their leases.
func (c *Controller) deadLeases(now time.Time) map[uint64]string {
	out := make(map[uint64]string)
	if !c.view.Loaded() || now.Sub(c.view.CurrentAt()) > viewAge {
		return out
	}
	quiet := make(map[string]bool) // holders none of whose parts was written
	for _, part := range c.group.Parts() {
		if rec, ok := c.view.Part(part); ok {
			was, known := quiet[rec.Record.Holder]
			quiet[rec.Record.Holder] = c.quietPart(now, part) && (was || !known)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range c.group.Parts() {
		rec, ok := c.view.Part(part)
		if ok && rec.Record.Holder != c.cfg.Name && quiet[rec.Record.Holder] && c.members.State(now, rec.Record.Holder) == membership.Dead {
			out[rec.Record.Lease] = rec.Record.Holder
		}
	}
	return out
}

// quietPart reports whether a part was neither claimed nor its ledger written for a while,
// as far as the view shows.
func (c *Controller) quietPart(now time.Time, part string) bool {
	rec, _ := c.view.Part(part)
	revision := max(rec.Version, c.view.Written(part))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written == nil {
		c.written = make(map[string]written)
	}
	if c.written[part].revision != revision {
		c.written[part] = written{revision, now}
	}
	return now.Sub(c.written[part].at) >= quietFor
}
