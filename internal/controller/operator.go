package controller

import (
	"context"
	"encoding/json"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/metrics"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/top"
	"amberdeal.example/amberdeal/internal/transport"
)

// operate serves metrics, and what the fleet is like at a glance.
func (c *Controller) operate() transport.Handler {
	scrape := metrics.Handler(c.measure)
	return func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		if r.Method != "GET" || r.Path != top.Path {
			return scrape(ctx, r)
		}
		text, err := json.Marshal(c.glance())
		if err != nil {
			return &httpwire.Response{Status: 500, Type: "text/plain", Body: []byte(err.Error())}
		}
		return &httpwire.Response{Status: 200, Type: "application/json", Body: text}
	}
}

func (c *Controller) glance() top.Status {
	s := top.Status{Name: c.cfg.Name, Ready: c.ready(), UpS: int(time.Since(c.begun).Seconds()), Reports: c.reception.Here(), Revision: c.view.Revision(),
		Parts: map[string]top.Part{}, Classes: map[string]top.Class{}, Teams: map[string]top.Team{}, Zones: map[string]top.Zone{}}
	for _, part := range c.group.Parts() {
		rec, _ := c.view.Part(part)
		s.Parts[part] = top.Part{Holder: rec.Record.Holder, Term: rec.Record.Term}
	}
	for id, l := range c.view.Snapshot().Live {
		n, k := c.count(id), s.Classes[l.Record.Job.Class]
		if n.Running > 0 {
			k.Running++
		} else {
			k.Pending++
		}
		k.Tasks, k.On, k.Done = k.Tasks+l.Record.Tasks, k.On+n.Running, k.Done+n.Done
		s.Classes[l.Record.Job.Class] = k
	}
	for _, t := range c.cfg.Teams {
		s.Teams[t.Name] = top.Team{CPUsMin: t.CPUs, CPUsMax: t.CPUsMax, GPUsMin: t.GPUs, GPUsMax: t.GPUsMax}
	}
	tiers := make(map[string]tier.Status)
	for _, st := range c.known() {
		for name, x := range st.Tiers {
			tiers[name] = tiers[name].Plus(x)
		}
		for name, used := range st.Used {
			t := s.Teams[name]
			t.CPUs, t.GPUs = t.CPUs+used[0], t.GPUs+used[1]
			s.Teams[name] = t
		}
		for zone, r := range st.Zones {
			s.Zones[zone] = top.Zone{Up: r.Up, Quiet: r.Quiet}
		}
	}
	for _, h := range c.holding() {
		if stall, stalled := h.Stall(time.Now()); stalled {
			if s.Stalls == nil {
				s.Stalls = make(map[string]top.Stall)
			}
			s.Stalls[h.claim.Part] = top.Stall{ForS: int(time.Since(stall.Since).Seconds()), Cause: string(stall.Cause), Job: stall.Job}
		}
		for zone, text := range h.Returns() {
			z := s.Zones[zone]
			z.Return = text
			s.Zones[zone] = z
		}
	}
	for name, t := range tiers {
		if s.Tiers == nil {
			s.Tiers = make(map[string]top.Tier, len(tiers))
		}
		s.Tiers[name] = top.Tier{Order: c.cfg.Tiers().Named(name), Cards: t.Cards, Share: t.Share, Lent: t.Lent, Waiting: t.Waiting, Claims: t.Claims}
	}
	spent := c.client.Spent()
	s.Budget = top.Budget{RPS: c.cfg.Store.RPS, WriteRPS: c.cfg.Store.WriteRPS, Requests: uint64(spent.Requests), Changes: uint64(spent.Changes),
		Refused: uint64(spent.Refused), Unanswered: uint64(spent.Unanswered)}
	return s
}

// known gives what the parts have said of themselves: all of them where there are several, else
// that of the fleet, if it is held here.
func (c *Controller) known() map[string]leader.PartStatus {
	if !c.group.Whole() {
		return c.statuses()
	}
	out := make(map[string]leader.PartStatus)
	for _, h := range c.holding() {
		out[h.claim.Part] = h.Status(time.Now())
	}
	return out
}
