package controller

import (
	"context"
	"time"

	"amberdeal.example/amberdeal/internal/ingest"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// passReports sets up how reports reach the holder, whichever controller takes them.
func (c *Controller) passReports() {
	c.hub = &ingest.Hub{Log: c.log, Decide: func(r *wire.Report) worker.Verdict {
		if v, ok := c.report(time.Now(), r); ok {
			return v
		}
		return worker.Verdict{Holder: c.holderFor(r)}
	}}
	c.hub.Raises = func(most int) (out []leader.Raise) {
		for _, h := range c.holding() {
			out = append(out, h.Raises(time.Now(), most-len(out))...)
		}
		return out
	}
	c.hub.Raised = func(machine string, r *wire.Report) {
		for _, h := range c.holding() {
			h.Raised(time.Now(), machine, r)
		}
	}
	c.mesh.Streams = map[string]peer.Stream{ingest.Kind: c.hub.Serve}
	c.pace = throttle.New()
	c.edge = &ingest.Edges{Edges: make(map[string]*ingest.Edge), Holder: c.holderFor}
	for _, sib := range c.cfg.Siblings {
		c.edge.Edges[sib.Name] = &ingest.Edge{Open: c.mesh.Open, Log: c.log, Pace: c.pace,
			Holder: func() string {
				if c.holds(sib.Name) {
					return sib.Name
				}
				return ""
			},
			Call: func(ctx context.Context, call leader.Raise) *wire.Report {
				r := c.workers.Raise(ctx, call.Addr, call.Term, call.Session)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.calls.Note(time.Now(), call.Zone, r != nil)
				return r
			}}
	}
	c.reception = &ingest.Reception{Own: c.report, Edge: c.edge, Others: c.takers, Window: 2 * c.cfg.Workers.Report, Shared: !c.group.Whole(),
		Holder: c.holderFor, Holds: func() bool { return len(c.holding()) > 0 },
		Steer: ingest.Steer{Keep: c.cfg.Tuning.KeepReports, Room: c.cfg.Limits.Files / 2}}
}

// takers tells how many machines report to each sibling that passes reports on to the
// same holder.
func (c *Controller) takers(holder bool) map[string]int {
	out, passes := make(map[string]int), c.edge.Passes()
	edges := c.hub.Edges(2 * time.Second)
	for name, b := range c.mesh.Last(3 * time.Second) {
		if !c.group.Whole() {
			if b.StoreOK && (len(b.Parts) > 0 || len(b.Ways) > 0) {
				out[name] = b.Heard
			}
			continue
		}
		if holder && edges[name] || !holder && b.Passes == passes {
			out[name] = b.Heard
		}
	}
	return out
}

// holderOf names the controller that holds a part, if it is another.
func (c *Controller) holderOf(part string) string {
	if rec, ok := c.view.Part(part); ok && rec.Record.Holder != c.cfg.Name {
		return rec.Record.Holder
	}
	return ""
}

// holderFor names the controller that holds the part of a report's machine, if that is
// another. Where nothing is known of the machine, it is the fleet's, if that is one part.
func (c *Controller) holderFor(r *wire.Report) string {
	switch {
	case r != nil:
		return c.holderOf(c.group.PartOf(r.Zone, r.Type))
	case c.group.Whole():
		return c.holderOf(c.group.Parts()[0])
	}
	return ""
}

// holds reports whether a controller holds a part.
func (c *Controller) holds(name string) bool {
	for _, part := range c.group.Parts() {
		if rec, ok := c.view.Part(part); ok && rec.Record.Holder == name {
			return true
		}
	}
	return false
}

// report answers a report, where this controller holds the machine's part.
func (c *Controller) report(now time.Time, r *wire.Report) (worker.Verdict, bool) {
	part := c.group.PartOf(r.Zone, r.Type)
	held, isHeld, valid, confirmed := c.keeper.Held(part, now)
	c.mu.Lock()
	h := c.holders[part]
	c.mu.Unlock()
	// A holder that can't renew goes on answering, without launches, but no
	// longer than a cancelled task may live.
	if h != nil && isHeld && h.claim.Version == held.Version && r.Term <= held.Term && h.Entitled(now, valid, confirmed) {
		if a, ok := h.Report(now, r, valid); ok {
			return worker.Verdict{Answer: &a}, true
		}
	}
	return worker.Verdict{}, false
}
