package ingest

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// minRebalanceDuration is the minimum time over which all surplus machines are moved to peers,
	// so that they don't move all at once.
	minRebalanceDuration = 15 * time.Second
	// rebalanceBurst is the number of machines that may move at once.
	rebalanceBurst = 10
	// peerLoadMaxAge is the maximum age of the peers' machine counts.
	peerLoadMaxAge = 2 * time.Second
	// rebalanceSlack is the number of machines by which the loads of two controllers may differ, in
	// addition to a quarter of the average.
	rebalanceSlack = 50
)

// Balancer decides which controller receives a machine's heartbeats. It performs no I/O. Its only state
// is a rate limiter and the number of machines that it recently sent to each peer.
type Balancer struct {
	// LeaderKeeps is the number of machines up to which a leader receives heartbeats itself.
	LeaderKeeps int
	// Capacity is the maximum number of machines that send their heartbeats to one controller.
	Capacity int

	limiter           *rate.Limiter
	recentlySent      map[string]int // machines by peer, which the peer's count may not include yet
	recentlySentSince time.Time
}

// Target returns the peer that should receive the heartbeats of a machine that has just sent one to this
// controller, or an empty string if the machine should stay. local is the number of machines that send
// their heartbeats to this controller, and peers the number for each peer that can take more. The rate
// limit applies only to machines on open connections; those on new connections move at once.
func (b *Balancer) Target(now time.Time, leader, newConnection bool, local int, peers map[string]int) string {
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(0, rebalanceBurst)
	}
	if now.Sub(b.recentlySentSince) >= peerLoadMaxAge {
		b.recentlySentSince, b.recentlySent = now, make(map[string]int)
	}
	target, targetLoad, total := "", 0, local
	for name, n := range peers {
		n += b.recentlySent[name]
		total += n
		if n < b.Capacity && (target == "" || n < targetLoad || n == targetLoad && name < target) {
			target, targetLoad = name, n
		}
	}
	maxLocal := b.LeaderKeeps
	if !leader {
		maxLocal = max(b.LeaderKeeps, total/(len(peers)+1)*5/4+rebalanceSlack)
	}
	if target == "" || local <= maxLocal || !leader && targetLoad+rebalanceSlack > local {
		return ""
	}
	b.limiter.SetLimitAt(now, rate.Limit(float64(local)/minRebalanceDuration.Seconds()+1))
	if !newConnection && !b.limiter.AllowN(now, 1) {
		return ""
	}
	b.recentlySent[target]++
	return target
}
