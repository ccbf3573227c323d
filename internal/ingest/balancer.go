package ingest

import (
	"time"

	"golang.org/x/time/rate"
)

// Steer decides which controller takes a machine's reports. It is pure but for what it
// remembers of the machines that it has sent on.
type Steer struct {
	// Keep is the number of machines up to which the holder takes reports itself.
	Keep int
	// Room is the number of machines that one controller may take.
	Room int

	limit *rate.Limiter
	sent  map[string]int // since a while that the siblings' counts may not show yet
	since time.Time
}

// moveTime is how long it may take to send on all that are too many: no storm.
const moveTime = 15 * time.Second

// countLag is how old what siblings say of themselves may be.
const countLag = 2 * time.Second

// slack is by how many machines, and by which part, edges may differ.
const slack = 50

// Elsewhere names the sibling that should take the reports of a machine that has
// just reported here, or none. mine is how many machines report here, others how many
// report to each sibling that passes reports on to the same holder. A machine on a new
// connection is sent on at once, others a few at a time.
func (s *Steer) Elsewhere(now time.Time, holder, fresh bool, mine int, others map[string]int) string {
	if s.limit == nil {
		s.limit = rate.NewLimiter(0, 10)
	}
	if now.Sub(s.since) >= countLag {
		s.since, s.sent = now, make(map[string]int)
	}
	best, least, sum := "", 0, mine
	for name, n := range others {
		n += s.sent[name]
		sum += n
		if n < s.Room && (best == "" || n < least || n == least && name < best) {
			best, least = name, n
		}
	}
	most := s.Keep
	if !holder {
		most = max(s.Keep, sum/(len(others)+1)*5/4+slack)
	}
	if best == "" || mine <= most || !holder && least+slack > mine {
		return ""
	}
	s.limit.SetLimitAt(now, rate.Limit(float64(mine)/moveTime.Seconds()+1))
	if !fresh && !s.limit.AllowN(now, 1) {
		return ""
	}
	s.sent[best]++
	return best
}
