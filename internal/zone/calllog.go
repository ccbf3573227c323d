package zone

import "time"

// CallLog keeps the recent results of a controller's calls to machines, for what they tell of zones.
// The zero value is empty.
type CallLog struct {
	results []callResult
}

type callResult struct {
	at   time.Time
	zone string
	ok   bool
}

const (
	// callMaxAge is how long a result counts: about two rounds of calls.
	callMaxAge = 5 * time.Second
	// maxCallResults bounds the results that are kept.
	maxCallResults = 256
)

// Record keeps the result of a call.
func (c *CallLog) Record(now time.Time, zone string, ok bool) {
	if c.results = append(c.results, callResult{now, zone, ok}); len(c.results) > maxCallResults {
		c.results = append(c.results[:0], c.results[maxCallResults/2:]...)
	}
}

// AddTo adds the results to the observations of each zone.
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
