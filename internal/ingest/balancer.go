package ingest

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRebalanceDuration is how long it takes at least to send all surplus machines elsewhere, so that
	// they don't move all at once.
	minRebalanceDuration = 15 * time.Second
	// rebalanceBurst is how many may move at once.
	rebalanceBurst = 10
	// peerLoadMaxAge is how old the peers' counts of machines may be.
	peerLoadMaxAge = 2 * time.Second
	// slack is by how many machines two controllers may differ, beside a quarter.
	rebalanceSlack = 50
)

// Balancer decides which controller takes a machine's heartbeats. It does no I/O; its only state
// is which machines it has sent elsewhere lately.
type Balancer struct {
	// LeaderKeeps is the number of machines up to which a leader takes heartbeats itself.
	LeaderKeeps int
	// Capacity is the number of machines that one controller may take.
	Capacity int

	limiter           *rate.Limiter
	recentlySent      map[string]int // by peer, whose counts may not show them yet
	recentlySentSince time.Time
}

// Target names the peer that should take the heartbeats of a machine which has just sent one here,
// or none. local is how many machines send theirs here, and peers how many send them to each peer that
// could take more. A machine on a new connection is sent away at once, others a few at a time.
func (b *Balancer) Target(now time.Time, leader, newConnection bool, local int, peers map[string]int) string {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(0, rebalanceBurst)
	}
	if now.Sub(b.recentlySentSince) >= peerLoadMaxAge {
		b.recentlySentSince, b.recentlySent = now, make(map[string]int)
	}
	best, least, sum := "", 0, local
	for name, n := range peers {
		n += b.recentlySent[name]
		sum += n
		if n < b.Capacity && (best == "" || n < least || n == least && name < best) {
			best, least = name, n
		}
	}
	most := b.LeaderKeeps
	if !leader {
		most = max(b.LeaderKeeps, sum/(len(peers)+1)*5/4+rebalanceSlack)
	}
	if best == "" || local <= most || !leader && least+rebalanceSlack > local {
		return ""
	}
	b.limiter.SetLimitAt(now, rate.Limit(float64(local)/minRebalanceDuration.Seconds()+1))
	if !newConnection && !b.limiter.AllowN(now, 1) {
		return ""
	}
	b.recentlySent[best]++
	return best
}
