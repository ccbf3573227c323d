package controller

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/metrics"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/zone"
)

// readMetrics gathers what the metrics tell.
func (c *Controller) readMetrics() metrics.Reading {
	r := metrics.Reading{Started: c.startedAt, LastList: c.follow.LastLoad(), StoreCalls: c.client.CallStatsByPurpose(), BlockCache: c.history.Stats(),
		UnreadableRecords: len(c.view.UnreadableRecords()), Revision: c.view.Revision()}
	r.LiveJobs, r.EndedJobs, r.Batches, r.RecentJobs = c.view.Size()
	r.OldestEnd = c.view.OldestEnd()
	passed := c.uplinks.Counts()
	r.HeartbeatsForwarded, r.HeartbeatsUnanswered, r.MachinesMoved, r.CallWindow = passed.Forwarded, passed.Unanswered, c.gateway.Rebalanced(), c.callThrottle.Window()
	forwarded := c.forwarder.Counts()
	r.RequestsForwarded, r.ForwardsUnanswered = forwarded.Forwarded, forwarded.Unanswered
	r.ReportingMachines, r.ForwardingPeers = c.gateway.Reporting(), len(c.receiver.ForwardingPeers(2*time.Second))
	for _, h := range c.ledShards() { // not under our lock: a holder that decides keeps its own for long
		r.Shards++
		r.FencingToken = max(r.FencingToken, h.FencingToken())
		if s, stalled := h.Stall(time.Now()); stalled {
			r.StalledFor = max(r.StalledFor, time.Since(s.Since))
		}
		odd := h.RejectedHeartbeats()
		r.LateHeartbeats, r.ImpossibleHeartbeats = r.LateHeartbeats+odd.Stale, r.ImpossibleHeartbeats+odd.Impossible
		if r.Zones == nil {
			r.Zones = make(map[string]zone.Record)
		}
		maps.Copy(r.Zones, h.ZoneRecords())
		for name, s := range h.Status(time.Now()).Tiers {
			if r.Tiers == nil {
				r.Tiers = make(map[string]tier.Status)
			}
			r.Tiers[name] = r.Tiers[name].Add(s)
		}
		if h.compactor != nil {
			r.Compaction = h.compactor.Stats()
		}
	}
	return r
}
