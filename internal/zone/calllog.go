package zone

import "time"

// CallLog keeps the recent results of a controller's calls to machines, as evidence of whether zones can be reached.
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
	// callMaxAge is how long a result is taken into account: about two rounds of calls.
	callMaxAge = 5 * time.Second
	// maxCallResults bounds the number of results that are kept. Beyond it, the older half is dropped.
	maxCallResults = 256
)

// Record adds the result of a call to a machine in a zone.
func (c *CallLog) Record(now time.Time, zone string, ok bool) {
	if c.results = append(c.results, callResult{now, zone, ok}); len(c.results) > maxCallResults {
		c.results = append(c.results[:0], c.results[maxCallResults/2:]...)
	}
}

// AddTo adds the recent results to the observations of each zone.
func (c *CallLog) AddTo(now time.Time, observations map[string]Observation) {
	for _, result := range c.results {
		if now.Sub(result.at) >= callMaxAge {
			continue
		}
		observation := observations[result.zone]
		if result.ok {
			observation.Answered++
		} else {
			observation.Vain++
		}
		observations[result.zone] = observation
	}
}
