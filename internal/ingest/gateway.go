package ingest

import (
	"bytes"
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// Reception decides what becomes of the reports that come in at a controller: the
// holder answers them, an edge passes them on, and either sends machines to a sibling
// that has more room.
type Reception struct {
	// Own answers a report as the holder; ok is false where this controller is not
	// entitled to.
	Own func(now time.Time, r *wire.Report) (v worker.Verdict, ok bool)
	// Holder names who holds the part of a report's machine, by the store, if that is
	// another; of no report in particular, who holds the fleet if it is in one part.
	Holder func(r *wire.Report) string
	// Others tells how many machines report to each sibling that can take more of
	// them. It is asked a few times a second at the most.
	Others func(holder bool) map[string]int
	// Holds says whether this controller holds a part.
	Holds func() bool
	// Shared says that the fleet is in several parts: who holds one passes on the reports
	// of others, and takes no fewer than its siblings.
	Shared bool
	Edge   Forwarder
	Window time.Duration // for which a machine that has reported counts as one that does

	mu      sync.Mutex
	Steer   Steer
	reports map[string]last // of the machines that report here
	heard   int             // of them within the window, when they were last counted
	counted time.Time
	turned  int // reports that were turned away unread since then
	turnedS int // in the second before
	moved   uint64
	others  map[string]int
	asked   time.Time
}

// last is when a machine last reported here, and where it stands.
type last struct {
	at   time.Time
	zone string
}

// Forwarder passes reports on, by an Edge or by several.
type Forwarder interface {
	Passes() string
	Lately() bool
	Pass(ctx context.Context, r *wire.Report) (worker.Verdict, bool)
}

// Report decides what becomes of a report.
func (c *Reception) Report(ctx context.Context, r *wire.Report) worker.Verdict {
	now := time.Now()
	c.note(now, r.Machine, r.Zone)
	if v, ok := c.Own(now, r); ok {
		if len(v.Answer.Commands) == 0 { // what it is told to do, it should hear now
			if to := c.elsewhere(now, r.Machine, !c.Shared, false); to != "" {
				return worker.Verdict{Holder: to}
			}
		}
		return v
	}
	if c.Edge.Passes() == "" {
		return worker.Verdict{Holder: c.Redirect(r)}
	}
	if to := c.elsewhere(now, r.Machine, false, false); to != "" {
		return worker.Verdict{Holder: to}
	}
	if v, ok := c.Edge.Pass(ctx, r); ok {
		return v
	}
	return worker.Verdict{Holder: c.Redirect(r)}
}

// Redirect names the controller to which workers are sent where their reports can't be
// passed on: the holder, unless the way to it was open lately. Then it has broken because
// the holder is gone or has too much to do, and all workers at once would be the end of it;
// they find another controller instead.
func (c *Reception) Redirect(r *wire.Report) string {
	if c.Edge.Lately() {
		return ""
	}
	return c.Holder(r)
}

// askGap is the time between two looks at what siblings say.
const askGap = 300 * time.Millisecond

// Turn answers a report that is to go elsewhere without reading it: while nobody holds
// the fleet or there is no way to who does, each worker comes again every second, and all
// of them at once; and when a new holder is known, all of them go there. It gives nil where
// the report is to be read.
func (c *Reception) Turn(first []byte) []byte {
	if !bytes.HasPrefix(first, reportLine) {
		return nil
	}
	to, holds := "", c.Holds()
	if holds || c.Edge.Passes() != "" {
		if to = c.elsewhere(time.Now(), "", holds && !c.Shared, true); to == "" {
			return nil
		}
	} else {
		to = c.Redirect(nil)
	}
	c.mu.Lock()
	c.turned++
	c.mu.Unlock()
	return httpwire.AppendResponse(nil, &httpwire.Response{Status: 421, Body: wire.Encode(wire.Redirect{Holder: to}), Close: true})
}

var reportLine = []byte("POST " + wire.PathReport + " ")

func (c *Reception) note(now time.Time, machine, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reports == nil {
		c.reports = make(map[string]last)
	}
	was, known := c.reports[machine]
	if !known {
		c.heard++
	} else if was.zone == zone {
		zone = was.zone // one text for all its reports
	}
	c.reports[machine] = last{now, zone}
}

// elsewhere names the sibling that a machine's reports should go to from now on. On a
// new connection it is not known yet which machine that is.
func (c *Reception) elsewhere(now time.Time, machine string, holder, fresh bool) string {
	mine := c.Here()
	if mine <= c.Steer.Keep {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.asked) >= askGap {
		c.asked, c.others = now, c.Others(holder)
	}
	to := c.Steer.Elsewhere(now, holder, fresh, mine, c.others)
	if to != "" {
		if _, known := c.reports[machine]; known {
			delete(c.reports, machine)
			c.heard--
		}
		c.moved++
	}
	return to
}

// Heard counts the machines that have lately reported here, as of the last second. Who
// was turned away comes again each second.
func (c *Reception) Heard() int {
	n := c.Here()
	c.mu.Lock()
	defer c.mu.Unlock()
	return n + c.turnedS
}

// Here counts the machines whose reports are taken here.
func (c *Reception) Here() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.counted) >= time.Second {
		c.counted, c.heard, c.turnedS, c.turned = now, 0, c.turned, 0
		for id, l := range c.reports {
			switch age := now.Sub(l.at); {
			case age > time.Minute:
				delete(c.reports, id)
			case age < c.Window:
				c.heard++
			}
		}
	}
	return c.heard
}

// Observations counts by zone the machines that report here, and those that lately did and are
// overdue. Ones that were sent elsewhere are neither.
func (c *Reception) Observations(now time.Time, overdue time.Duration) map[string]zone.Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]zone.Observation)
	for _, l := range c.reports {
		s := out[l.zone]
		switch age := now.Sub(l.at); {
		case age <= overdue:
			s.Heard++
		case age < overdue+quietAge:
			s.Quiet++
		default:
			continue
		}
		out[l.zone] = s
	}
	return out
}

// quietAge is for how long an overdue machine says something of its zone: it may report
// elsewhere by now.
const quietAge = 15 * time.Second

// Moved tells how many times a machine was sent to a sibling with more room.
func (c *Reception) Moved() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moved
}
