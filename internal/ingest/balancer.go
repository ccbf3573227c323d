package ingest

import (
	"time"

	"golang.org/x/time/rate"
)

// Balancer decides which controller takes a machine's reports. It is pure but for what it
// remembers of the machines that it has sent on.
type Balancer struct {
	// LeaderKeeps is the number of machines up to which the holder takes reports itself.
	LeaderKeeps int
	// Capacity is the number of machines that one controller may take.
	Capacity int

	limiter           *rate.Limiter
	recentlySent      map[string]int // since a while that the siblings' counts may not show yet
	recentlySentSince time.Time
}

// rebalanceTime is how long it may take to send on all that are too many: no storm.
const rebalanceTime = 15 * time.Second

// peerLoadLag is how old what siblings say of themselves may be.
const peerLoadLag = 2 * time.Second

// slack is by how many machines, and by which part, edges may differ.
const slack = 50

// Target names the sibling that should take the reports of a machine that has
// just reported here, or none. mine is how many machines report here, others how many
// report to each sibling that passes reports on to the same holder. A machine on a new
// connection is sent on at once, others a few at a time.
func (s *Balancer) Target(now time.Time, leader, newConnection bool, local int, peers map[string]int) string {
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(0, 10)
	}
	if now.Sub(s.recentlySentSince) >= peerLoadLag {
		s.recentlySentSince, s.recentlySent = now, make(map[string]int)
	}
	best, least, sum := "", 0, local
	for name, n := range peers {
		n += s.recentlySent[name]
		sum += n
		if n < s.Capacity && (best == "" || n < least || n == least && name < best) {
			best, least = name, n
		}
	}
	most := s.LeaderKeeps
	if !leader {
		most = max(s.LeaderKeeps, sum/(len(peers)+1)*5/4+slack)
	}
	if best == "" || local <= most || !leader && least+slack > local {
		return ""
	}
	s.limiter.SetLimitAt(now, rate.Limit(float64(local)/rebalanceTime.Seconds()+1))
	if !newConnection && !s.limiter.AllowN(now, 1) {
		return ""
	}
	s.recentlySent[best]++
	return best
}
