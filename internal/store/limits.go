package store

import (
	"context"
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Allowance is the share of the state service's limits that one controller may use, each
// fraction from 0 to 1. Half of all changes are for the leaders of the shards, in equal
// parts, and half for accepting jobs, shared evenly or as package writers decides.
type Allowance struct {
	Requests   float64 // of all requests
	Acceptance float64 // of the changes that are for accepting jobs
	Leading    float64 // of the changes that are for leaders: the share of shards that it leads
	HasLeader  bool    // whether any shard has a leader; otherwise all changes are for acceptance
}

// EvenAllowance is the allowance of one of so many controllers while no shard has a leader.
func EvenAllowance(controllers int) Allowance {
	return Allowance{Requests: 1 / float64(controllers), Acceptance: 1 / float64(controllers)}
}

// writeShare is the share of all changes that an allowance amounts to.
func (a Allowance) writeShare() float64 {
	if !a.HasLeader && a.Leading == 0 {
		return a.Acceptance
	}
	return a.Acceptance/2 + a.Leading/2
}

// setRate changes a limiter's rate, with a burst of one second.
func setRate(l *rate.Limiter, r float64) {
	if l.Limit() != rate.Limit(r) {
		l.SetLimit(rate.Limit(r))
		l.SetBurst(max(1, int(r)))
	}
}

// Allow sets the controller's allowance.
func (c *Client) Allow(a Allowance) {
	setRate(c.readLimiter, c.rps*a.Requests)
	setRate(c.writeLimiter, c.writeRPS*a.writeShare())
}

// minBurst is what every round must be able to write: a segment of the ledger, one that is
// added or removed, and batches in which jobs end.
const minBurst = 4

// LeaderBurst is how many changes the leader of one of so many shards, with a share of
// acceptance, can surely make at once: what exceeds it is refused as long as the others use
// their allowances. A limit of 0 means no limit.
func LeaderBurst(writeRPS, acceptance float64, shards int) int {
	if writeRPS == 0 {
		return math.MaxInt
	}
	share := Allowance{Acceptance: acceptance, Leading: 1 / float64(shards), HasLeader: true}
	return max(minBurst, int(writeRPS*share.writeShare()))
}

// minRequestRate, in requests per second, bounds MinInterval to ten seconds also for a
// controller that may hardly send anything.
const minRequestRate = 0.1

// MinInterval is the least time between two requests of one kind that may use a fraction
// of this controller's requests.
func (c *Client) MinInterval(fraction float64) time.Duration {
	return time.Duration(float64(time.Second) / max(minRequestRate, fraction*float64(c.readLimiter.Limit())))
}

// minBackgroundShare is the part of a controller's changes that background writes get
// however many others there are: compaction must go on, if slowly, during a flood of
// submissions that takes everything else for minutes.
const minBackgroundShare = 1. / 8

// spareCheckInterval is how often a background write looks whether its turn has come.
const spareCheckInterval = 100 * time.Millisecond

// WaitForSpareWrites lets a background write of n changes wait until half of this
// controller's burst would remain for others, but not longer than n changes take at
// minBackgroundShare.
func (c *Client) WaitForSpareWrites(ctx context.Context, n int) error {
	begun := time.Now()
	for !c.hasSpareWrites(n, begun) {
		sleep(ctx, spareCheckInterval)
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("wait for spare changes: %w", err)
		}
	}
	return nil
}

// hasSpareWrites reports whether n changes may be made that have waited since begun.
func (c *Client) hasSpareWrites(n int, begun time.Time) bool {
	burst := float64(c.writeLimiter.Burst())
	if need := min(float64(n)+burst/2, burst); c.writeLimiter.Tokens() >= need {
		return true
	}
	return time.Since(begun).Seconds()*float64(c.writeLimiter.Limit())*minBackgroundShare >= float64(n)
}

// WriteBurst is how many changes this controller may make at once.
func (c *Client) WriteBurst() int { return c.writeLimiter.Burst() }
