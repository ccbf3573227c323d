package store

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Allowance is what one controller may take of the limits, each part from 0 to 1.
type Allowance struct {
	Requests   float64 // of all requests
	Acceptance float64 // of the changes that are for acceptance
	Leading    float64 // of those that are for holding the fleet: the part of it that is held
	HasLeader  bool    // whether anyone holds the fleet; otherwise all changes are for acceptance
}

// EvenAllowance is that of one of so many controllers while nobody holds the fleet.
func EvenAllowance(controllers int) Allowance {
	return Allowance{Requests: 1 / float64(controllers), Acceptance: 1 / float64(controllers)}
}

// writeShare is the part of all changes that an allowance comes to.
func (a Allowance) writeShare() float64 {
	if !a.HasLeader && a.Leading == 0 {
		return a.Acceptance
	}
	return a.Acceptance/2 + a.Leading/2
}

func setRate(l *rate.Limiter, r float64) {
	if l.Limit() != rate.Limit(r) {
		l.SetLimit(rate.Limit(r))
		l.SetBurst(max(1, int(r)))
	}
}

// Allow sets what this controller may take of the limits.
func (c *Client) Allow(a Allowance) {
	setRate(c.readLimiter, c.rps*a.Requests)
	setRate(c.writeLimiter, c.writeRPS*a.writeShare())
}

// LeaderBurst is how many changes the holder of one of so many parts, with a share of acceptance,
// may surely make at once: what is more is refused as long as the others spend theirs. A limit of 0
// stands for none.
func LeaderBurst(writeRPS, acceptance float64, parts int) int {
	if writeRPS == 0 {
		return math.MaxInt
	}
	share := Allowance{Acceptance: acceptance, Leading: 1 / float64(parts), HasLeader: true}
	return max(minBurst, int(writeRPS*share.writeShare()))
}

// minBurst is what a round has to have room for: a slot of the ledger, one that is added or
// dropped, and homes in which jobs end.
const minBurst = 4

// MinInterval is the least time between two requests of one kind that may take a part
// of this controller's share of the requests.
func (c *Client) MinInterval(part float64) time.Duration {
	return time.Duration(float64(time.Second) / max(0.1, part*float64(c.readLimiter.Limit())))
}

// minBackgroundShare is the part of a controller's share that is left to what can wait, however much else
// there is: it is to go on, if slowly, in a flood that takes all the rest for minutes.
const minBackgroundShare = 1. / 8

// WaitForSpareWrites waits until n changes can be made and half of this controller's share
// is left to others: what can wait goes last, but not without an end.
func (c *Client) WaitForSpareWrites(ctx context.Context, n int) error {
	for begun := time.Now(); ; {
		burst := float64(c.writeLimiter.Burst())
		if need := min(float64(n)+burst/2, burst); c.writeLimiter.Tokens() >= need {
			return nil
		}
		if time.Since(begun).Seconds()*float64(c.writeLimiter.Limit())*minBackgroundShare >= float64(n) {
			return nil
		}
		t := time.NewTimer(100 * time.Millisecond)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-t.C:
		}
	}
}

// WriteBurst is how many changes this controller may make at once.
func (c *Client) WriteBurst() int { return c.writeLimiter.Burst() }
