package controller

import (
	"context"
	"time"

	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/store"
)

// ledgerWrite is when a part's ledger was last seen to have changed.
type ledgerWrite struct {
	revision uint64
	at       time.Time
}

// Between two looks at the holders; how long a part's ledger must have been quiet, and how
// old the view may be that says so; and for how long the first of those that see the same
// is left to act alone.
const (
	failoverCheckInterval = 500 * time.Millisecond
	ledgerIdleTime        = 4 * time.Second
	maxViewAge            = 1500 * time.Millisecond
	firstActsAlone        = 2 * time.Second
)

// watchLeaders ends the lease of a holder that all siblings agree is dead and that has
// written nothing for a while, so that its parts are free before the lease has run out.
// Should it live, its next renewal or round is refused, as if the lease had: the rules
// rest on that, and on how long it may answer since its last renewal.
func (c *Controller) watchLeaders(ctx context.Context) error {
	ctx = store.WithPurpose(ctx, store.PurposeLeadership)
	confirmedSince := make(map[uint64]time.Time) // leases that were found so, since when
	for ctx.Err() == nil {
		store.Backoff(ctx, failoverCheckInterval)
		now := time.Now()
		for _, part := range c.sharding.Shards() {
			c.ledgerIdle(now, part) // from before anyone is in doubt
		}
		if c.anyLeaderDead(now) && now.Sub(c.view.CurrentAt()) > maxViewAge && c.follow.Barrier(ctx) != nil {
			continue // nothing is known of what it has written
		}
		leases := c.deadLeases(now)
		for lease := range confirmedSince {
			if leases[lease] == "" {
				delete(confirmedSince, lease)
			}
		}
		for lease, leader := range leases {
			if confirmedSince[lease].IsZero() {
				confirmedSince[lease] = now
			}
			c.mu.Lock()
			first := c.detector.FirstAlive(now, c.cfg.Name)
			c.mu.Unlock()
			if first || now.Sub(confirmedSince[lease]) > firstActsAlone {
				err := c.client.RevokeLease(ctx, lease)
				c.log.Warn("ending the lease of a silent holder", "holder", leader, "lease", lease, "error", err)
			}
		}
	}
	return nil
}

// anyLeaderDead reports whether a holder is taken for dead.
func (c *Controller) anyLeaderDead(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, shard := range c.sharding.Shards() {
		if rec, ok := c.view.Leader(shard); ok && rec.Record.Leader != c.cfg.Name && c.detector.State(now, rec.Record.Leader) == membership.Dead {
			return true
		}
	}
	return false
}

// deadLeases names the holders that are dead by all that is known here, by their leases.
func (c *Controller) deadLeases(now time.Time) map[uint64]string {
	out := make(map[uint64]string)
	if !c.view.Loaded() || now.Sub(c.view.CurrentAt()) > maxViewAge {
		return out
	}
	idle := make(map[string]bool) // holders none of whose parts was written
	for _, shard := range c.sharding.Shards() {
		if rec, ok := c.view.Leader(shard); ok {
			was, known := idle[rec.Record.Leader]
			idle[rec.Record.Leader] = c.ledgerIdle(now, shard) && (was || !known)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, shard := range c.sharding.Shards() {
		rec, ok := c.view.Leader(shard)
		if ok && rec.Record.Leader != c.cfg.Name && idle[rec.Record.Leader] && c.detector.State(now, rec.Record.Leader) == membership.Dead {
			out[rec.Record.Lease] = rec.Record.Leader
		}
	}
	return out
}

// ledgerIdle reports whether a part was neither claimed nor its ledger written for a while,
// as far as the view shows.
func (c *Controller) ledgerIdle(now time.Time, shard string) bool {
	rec, _ := c.view.Leader(shard)
	revision := max(rec.Version, c.view.LedgerRevision(shard))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledgerWrites == nil {
		c.ledgerWrites = make(map[string]ledgerWrite)
	}
	if c.ledgerWrites[shard].revision != revision {
		c.ledgerWrites[shard] = ledgerWrite{revision, now}
	}
	return now.Sub(c.ledgerWrites[shard].at) >= ledgerIdleTime
}
