package zone

import "time"

// Calls keeps what became of a controller's calls to machines, for what it tells of zones.
type Calls struct {
	made []made
}

type made struct {
	at   time.Time
	zone string
	ok   bool
}

// callAge is how long a call says something, and callMost how many are kept.
const (
	callAge  = 5 * time.Second
	callMost = 256
)

// Note keeps one.
func (c *Calls) Note(now time.Time, zone string, ok bool) {
	if c.made = append(c.made, made{now, zone, ok}); len(c.made) > callMost {
		c.made = append(c.made[:0], c.made[callMost/2:]...)
	}
}

// Count adds the calls to what is seen of each zone.
func (c *Calls) Count(now time.Time, sights map[string]Observation) {
	for _, m := range c.made {
		if now.Sub(m.at) >= callAge {
			continue
		}
		s := sights[m.zone]
		if m.ok {
			s.Answered++
		} else {
			s.Vain++
		}
		sights[m.zone] = s
	}
}
