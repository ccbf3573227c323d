package ingest

import (
	"time"

	"amberdeal.example/amberdeal/internal/zone"
)

// lastHeartbeat is when a machine last reported here, and where it stands.
type lastHeartbeat struct {
	at   time.Time
	zone string
}

func (c *Gateway) recordHeartbeat(now time.Time, machine, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastHeartbeats == nil {
		c.lastHeartbeats = make(map[string]lastHeartbeat)
	}
	was, known := c.lastHeartbeats[machine]
	if !known {
		c.reporting++
	} else if was.zone == zone {
		zone = was.zone // one text for all its reports
	}
	c.lastHeartbeats[machine] = lastHeartbeat{now, zone}
}

// Offered counts the machines that have lately reported here, as of the last second. Who
// was turned away comes again each second.
func (c *Gateway) Offered() int {
	n := c.Reporting()
	c.mu.Lock()
	defer c.mu.Unlock()
	return n + c.redirectedLastSecond
}

// Reporting counts the machines whose reports are taken here.
func (c *Gateway) Reporting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.countedAt) >= time.Second {
		c.countedAt, c.reporting, c.redirectedLastSecond, c.redirected = now, 0, c.redirected, 0
		for id, l := range c.lastHeartbeats {
			switch age := now.Sub(l.at); {
			case age > time.Minute:
				delete(c.lastHeartbeats, id)
			case age < c.ReportingWindow:
				c.reporting++
			}
		}
	}
	return c.reporting
}

// Observations counts by zone the machines that report here, and those that lately did and are
// overdue. Ones that were sent elsewhere are neither.
func (c *Gateway) Observations(now time.Time, overdue time.Duration) map[string]zone.Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]zone.Observation)
	for _, l := range c.lastHeartbeats {
		s := out[l.zone]
		switch age := now.Sub(l.at); {
		case age <= overdue:
			s.Heard++
		case age < overdue+overdueObservationAge:
			s.Quiet++
		default:
			continue
		}
		out[l.zone] = s
	}
	return out
}

// overdueObservationAge is for how long an overdue machine says something of its zone: it may report
// elsewhere by now.
const overdueObservationAge = 15 * time.Second
