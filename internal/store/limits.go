package store

import (
	"context"
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Allowance is the share of the state service's rate limits that one controller may use, as
// fractions from 0 to 1. Half of all changes are reserved for the leaders of the shards, in equal
// parts; the other half is for accepting jobs, divided evenly or as package writers decides.
type Allowance struct {
	Requests          float64 // fraction of all requests
	Acceptance        float64 // fraction of the changes reserved for accepting jobs
	Leading           float64 // fraction of the changes reserved for leaders: the fraction of shards it leads
	AnyShardHasLeader bool    // whether any shard has a leader; if not, all changes are for accepting jobs
}

// EvenAllowance returns the allowance of one of the given number of controllers while no shard has
// a leader.
func EvenAllowance(controllers int) Allowance {
	return Allowance{Requests: 1 / float64(controllers), Acceptance: 1 / float64(controllers)}
}

// writeShare returns the fraction of all changes that the allowance grants.
func (a Allowance) writeShare() float64 {
	if !a.AnyShardHasLeader && a.Leading == 0 {
		return a.Acceptance
	}
	return a.Acceptance/2 + a.Leading/2
}

// setRate sets a limiter's rate to r per second, with a burst of one second's worth.
func setRate(l *rate.Limiter, r float64) {
	if l.Limit() != rate.Limit(r) {
		l.SetLimit(rate.Limit(r))
		l.SetBurst(max(1, int(r)))
	}
}

// SetAllowance sets the controller's allowance, from which the client's rate limits follow.
func (c *Client) SetAllowance(a Allowance) {
	setRate(c.requestLimiter, c.rps*a.Requests)
	setRate(c.changeLimiter, c.writeRPS*a.writeShare())
}

// minLeaderBurst is the minimum result of LeaderBurst. Every round must be able to write a ledger
// segment, a segment that is added or removed, and some batches in which jobs end.
const minLeaderBurst = 4

// LeaderBurst returns how many changes the leader of one shard can make at once without being
// refused, given the limit of changes per second, its fraction of the changes for accepting jobs
// and the number of shards. More changes are refused while other controllers use their full
// allowances. A writeRPS of 0 means no limit.
func LeaderBurst(writeRPS, acceptance float64, shards int) int {
	if writeRPS == 0 {
		return math.MaxInt
	}
	share := Allowance{Acceptance: acceptance, Leading: 1 / float64(shards), AnyShardHasLeader: true}
	return max(minLeaderBurst, int(writeRPS*share.writeShare()))
}

// minRequestRate, in requests per second, limits MinRequestInterval to ten seconds even for a
// controller with a tiny allowance.
const minRequestRate = 0.1

// MinRequestInterval returns the minimum time between two requests of a kind that may use the given
// fraction of this controller's request rate.
func (c *Client) MinRequestInterval(fraction float64) time.Duration {
	return time.Duration(float64(time.Second) / max(minRequestRate, fraction*float64(c.requestLimiter.Limit())))
}

// minBackgroundShare is the fraction of a controller's changes that background writes get under
// any load: compaction must make progress, if slowly, during a flood of submissions that uses
// up everything else for minutes.
const minBackgroundShare = 1. / 8

// spareWritesPollInterval is how often WaitForSpareWrites checks whether it may proceed.
const spareWritesPollInterval = 100 * time.Millisecond

// WaitForSpareWrites delays a background write of n changes until half of this controller's burst
// would remain for other writes, but no longer than n changes take at minBackgroundShare.
func (c *Client) WaitForSpareWrites(ctx context.Context, n int) error {
	start := time.Now()
	for !c.hasSpareWrites(n, start) {
		sleep(ctx, spareWritesPollInterval)
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("wait for spare write capacity: %w", err)
		}
	}
	return nil
}

// hasSpareWrites reports whether a background write of n changes that has waited since start may
// proceed.
func (c *Client) hasSpareWrites(n int, start time.Time) bool {
	burst := float64(c.changeLimiter.Burst())
	if need := min(float64(n)+burst/2, burst); c.changeLimiter.Tokens() >= need {
		return true
	}
	return time.Since(start).Seconds()*float64(c.changeLimiter.Limit())*minBackgroundShare >= float64(n)
}

// WriteBurst returns how many changes this controller may make at once.
func (c *Client) WriteBurst() int { return c.changeLimiter.Burst() }
