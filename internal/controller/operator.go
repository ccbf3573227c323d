package controller

import (
	"context"
	"encoding/json"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/metrics"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/top"
	"amberdeal.example/amberdeal/internal/transport"
)

// operatorHandler returns the handler of metrics and of the fleet's status in JSON.
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

// operatorStatus returns a summary of the fleet as far as this controller knows it.
func (c *Controller) operatorStatus() top.Status {
	s := top.Status{
		Name:              c.cfg.Name,
		Ready:             c.ready(),
		UpS:               int(time.Since(c.startedAt).Seconds()),
		ReportingMachines: c.ingest.gateway.ReportingMachines(),
		Revision:          c.state.view.Revision(),
		Shards:            make(map[string]top.Shard),
		Classes:           c.classStatus(),
		Teams:             make(map[string]top.Team),
		Zones:             make(map[string]top.Zone),
	}
	for _, name := range c.sharding.Shards() {
		rec, _ := c.state.view.Leader(name)
		s.Shards[name] = top.Shard{Leader: rec.Record.Leader, FencingToken: rec.Record.FencingToken}
	}
	for _, t := range c.cfg.Teams {
		s.Teams[t.Name] = top.Team{CPUsMin: t.CPUs, CPUsMax: t.CPUsMax, GPUsMin: t.GPUs, GPUsMax: t.GPUsMax}
	}
	c.addShardStatuses(&s)
	for _, led := range c.led.all() {
		addLeaderStatus(&s, led)
	}
	stats := c.state.client.CallStats()
	s.Budget = top.Budget{RPS: c.cfg.Store.RPS, WriteRPS: c.cfg.Store.WriteRPS, Requests: uint64(stats.Requests), Changes: uint64(stats.Changes),
		Refused: uint64(stats.Refused), Unanswered: uint64(stats.Unanswered)}
	return s
}

// classStatus returns the numbers of live jobs and their tasks by class.
func (c *Controller) classStatus() map[string]top.Class {
	out := make(map[string]top.Class)
	for id, job := range c.state.view.Snapshot().LiveJobs {
		class := out[job.Record.Job.Class]
		running, done := c.statuses.taskCounts(id)
		if running > 0 {
			class.RunningJobs++
		} else {
			class.PendingJobs++
		}
		class.Tasks += job.Record.Tasks
		class.RunningTasks += running
		class.FinishedTasks += done
		out[job.Record.Job.Class] = class
	}
	return out
}

// addShardStatuses adds the teams, zones and tiers as reported by the leaders of all shards.
func (c *Controller) addShardStatuses(s *top.Status) {
	tiers := make(map[string]tier.Status)
	for _, status := range c.statuses.known() {
		for name, t := range status.Tiers {
			tiers[name] = tiers[name].Add(t)
		}
		for name, used := range status.UsedByTeam() {
			team := s.Teams[name]
			team.CPUs, team.GPUs = team.CPUs+used.CPUs, team.GPUs+used.GPUs
			s.Teams[name] = team
		}
		for zone, z := range status.Zones {
			s.Zones[zone] = top.Zone{Machines: z.Up, Overdue: z.Quiet}
		}
	}
	for name, t := range tiers {
		if s.Tiers == nil {
			s.Tiers = make(map[string]top.Tier, len(tiers))
		}
		s.Tiers[name] = top.Tier{Order: c.cfg.Tiers().IndexOfName(name), GPUs: t.Cards, Share: t.Share, Lent: t.Lent, Waiting: t.Waiting, Reclaims: t.Claims}
	}
}

// addLeaderStatus adds the status that only the leader of a shard knows, for a shard that this controller leads.
func addLeaderStatus(s *top.Status, led *ledShard) {
	if stall, stalled := led.Stall(time.Now()); stalled {
		if s.Stalls == nil {
			s.Stalls = make(map[string]top.Stall)
		}
		s.Stalls[led.tenure.Shard] = top.Stall{DurationS: int(time.Since(stall.Since).Seconds()), Cause: string(stall.Cause), Job: stall.Job}
	}
	for zone, text := range led.ZoneRecoveries() {
		z := s.Zones[zone]
		z.Recovery = text
		s.Zones[zone] = z
	}
}
