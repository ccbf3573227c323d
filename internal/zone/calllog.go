package zone

import "time"

// CallLog keeps what became of a controller's calls to machines, for what it tells of zones.
type CallLog struct {
	results []callResult
}

type callResult struct {
	at   time.Time
	zone string
	ok   bool
}

// callMaxAge is how long a call says something, and callMost how many are kept.
const (
	callMaxAge     = 5 * time.Second
	maxCallResults = 256
)

// Record keeps one.
func (c *CallLog) Record(now time.Time, zone string, ok bool) {
	if c.results = append(c.results, callResult{now, zone, ok}); len(c.results) > maxCallResults {
		c.results = append(c.results[:0], c.results[maxCallResults/2:]...)
	}
}

// AddTo adds the calls to what is seen of each zone.
func (c *CallLog) AddTo(now time.Time, observations map[string]Observation) {
	for _, m := range c.results {
		if now.Sub(m.at) >= callMaxAge {
			continue
		}
		s := observations[m.zone]
		if m.ok {
			s.Answered++
		} else {
			s.Vain++
		}
		observations[m.zone] = s
	}
}
