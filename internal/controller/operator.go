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

// operatorHandler serves metrics, and what the fleet is like at a glance.
func (c *Controller) operatorHandler() transport.Handler {
	scrape := metrics.Handler(c.readMetrics)
	return func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		if r.Method != "GET" || r.Path != top.Path {
			return scrape(ctx, r)
		}
		text, err := json.Marshal(c.operatorStatus())
		if err != nil {
			return &httpwire.Response{Status: 500, ContentType: "text/plain", Body: []byte(err.Error())}
		}
		return &httpwire.Response{Status: 200, ContentType: "application/json", Body: text}
	}
}

func (c *Controller) operatorStatus() top.Status {
	s := top.Status{Name: c.cfg.Name, Ready: c.ready(), UpS: int(time.Since(c.startedAt).Seconds()), ReportingMachines: c.gateway.Reporting(), Revision: c.view.Revision(),
		Shards: map[string]top.Shard{}, Classes: map[string]top.Class{}, Teams: map[string]top.Team{}, Zones: map[string]top.Zone{}}
	for _, part := range c.sharding.Shards() {
		rec, _ := c.view.Leader(part)
		s.Shards[part] = top.Shard{Leader: rec.Record.Leader, FencingToken: rec.Record.FencingToken}
	}
	for id, l := range c.view.Snapshot().LiveJobs {
		n, k := c.taskCounts(id), s.Classes[l.Record.Job.Class]
		if n.Running > 0 {
			k.RunningJobs++
		} else {
			k.PendingJobs++
		}
		k.Tasks, k.RunningTasks, k.FinishedTasks = k.Tasks+l.Record.Tasks, k.RunningTasks+n.Running, k.FinishedTasks+n.Done
		s.Classes[l.Record.Job.Class] = k
	}
	for _, t := range c.cfg.Teams {
		s.Teams[t.Name] = top.Team{CPUsMin: t.CPUs, CPUsMax: t.CPUsMax, GPUsMin: t.GPUs, GPUsMax: t.GPUsMax}
	}
	tiers := make(map[string]tier.Status)
	for _, st := range c.knownStatuses() {
		for name, x := range st.Tiers {
			tiers[name] = tiers[name].Add(x)
		}
		for name, used := range st.Used {
			t := s.Teams[name]
			t.CPUs, t.GPUs = t.CPUs+used[0], t.GPUs+used[1]
			s.Teams[name] = t
		}
		for zone, r := range st.Zones {
			s.Zones[zone] = top.Zone{Machines: r.Up, Overdue: r.Quiet}
		}
	}
	for _, h := range c.ledShards() {
		if stall, stalled := h.Stall(time.Now()); stalled {
			if s.Stalls == nil {
				s.Stalls = make(map[string]top.Stall)
			}
			s.Stalls[h.tenure.Shard] = top.Stall{DurationS: int(time.Since(stall.Since).Seconds()), Cause: string(stall.Cause), Job: stall.Job}
		}
		for zone, text := range h.ZoneRecoveries() {
			z := s.Zones[zone]
			z.Recovery = text
			s.Zones[zone] = z
		}
	}
	for name, t := range tiers {
		if s.Tiers == nil {
			s.Tiers = make(map[string]top.Tier, len(tiers))
		}
		s.Tiers[name] = top.Tier{Order: c.cfg.Tiers().IndexOfName(name), GPUs: t.Cards, Share: t.Share, Lent: t.Lent, Waiting: t.Waiting, Reclaims: t.Claims}
	}
	spent := c.client.CallStats()
	s.Budget = top.Budget{RPS: c.cfg.Store.RPS, WriteRPS: c.cfg.Store.WriteRPS, Requests: uint64(spent.Requests), Changes: uint64(spent.Changes),
		Refused: uint64(spent.Refused), Unanswered: uint64(spent.Unanswered)}
	return s
}

// knownStatuses gives what the parts have said of themselves: all of them where there are several, else
// that of the fleet, if it is held here.
func (c *Controller) knownStatuses() map[string]leader.ShardStatus {
	if !c.sharding.IsSingle() {
		return c.statuses()
	}
	out := make(map[string]leader.ShardStatus)
	for _, h := range c.ledShards() {
		out[h.tenure.Shard] = h.Status(time.Now())
	}
	return out
}
