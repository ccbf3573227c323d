package controller

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/metrics"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/zone"
)

// readMetrics collects what the metrics tell.
func (c *Controller) readMetrics() metrics.Reading {
	view := c.state.view
	r := metrics.Reading{
		Started:           c.startedAt,
		LastList:          c.state.follow.LastLoad(),
		StoreCalls:        c.state.client.CallStatsByPurpose(),
		BlockCache:        c.state.history.Stats(),
		UnreadableRecords: len(view.UnreadableRecords()),
		Revision:          view.Revision(),
		OldestEnd:         view.OldestEnd(),
		MachinesMoved:     c.ingest.gateway.Rebalanced(),
		CallWindow:        c.ingest.throttle.Window(),
		ReportingMachines: c.ingest.gateway.Reporting(),
		ForwardingPeers:   len(c.ingest.receiver.ForwardingPeers(forwardingMaxAge)),
	}
	r.LiveJobs, r.EndedJobs, r.Batches, r.RecentJobs = view.Size()
	heartbeats, requests := c.ingest.uplinks.Counts(), c.forwarder.Counts()
	r.HeartbeatsForwarded, r.HeartbeatsUnanswered = heartbeats.Forwarded, heartbeats.Unanswered
	r.RequestsForwarded, r.ForwardsUnanswered = requests.Forwarded, requests.Unanswered
	for _, s := range c.led.all() { // a leader that decides holds its own lock for long, so no other may be held here
		addShardMetrics(&r, s)
	}
	return r
}

// addShardMetrics adds what one shard that is led here tells.
func addShardMetrics(r *metrics.Reading, s *ledShard) {
	r.Shards++
	r.FencingToken = max(r.FencingToken, s.FencingToken())
	if stall, stalled := s.Stall(time.Now()); stalled {
		r.StalledFor = max(r.StalledFor, time.Since(stall.Since))
	}
	rejected := s.RejectedHeartbeats()
	r.LateHeartbeats += rejected.Stale
	r.ImpossibleHeartbeats += rejected.Impossible
	if r.Zones == nil {
		r.Zones = make(map[string]zone.Record)
	}
	maps.Copy(r.Zones, s.ZoneRecords())
	for name, status := range s.Status(time.Now()).Tiers {
		if r.Tiers == nil {
			r.Tiers = make(map[string]tier.Status)
		}
		r.Tiers[name] = r.Tiers[name].Add(status)
	}
	if s.compactor != nil {
		r.Compaction = s.compactor.Stats()
	}
}
