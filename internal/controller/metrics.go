package controller

import (
	"maps"
	"time"

	"amberdeal.example/amberdeal/internal/metrics"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/zone"
)

// readMetrics collects the values that the metrics expose.
func (c *Controller) readMetrics() metrics.Reading {
	view := c.state.view
	reading := metrics.Reading{
		Started:            c.startedAt,
		LastLoad:           c.state.follow.LastLoad(),
		StoreCalls:         c.state.client.CallStatsByPurpose(),
		MalformedTxns:      c.state.client.MalformedTxns(),
		BlockCache:         c.state.history.Stats(),
		UnreadableRecords:  len(view.UnreadableRecords()),
		Revision:           view.Revision(),
		OldestEnd:          view.OldestEnd(),
		MachinesRedirected: c.ingest.gateway.Rebalanced(),
		CallWindow:         c.ingest.throttle.Window(),
		ReportingMachines:  c.ingest.gateway.ReportingMachines(),
		ForwardingPeers:    len(c.ingest.receiver.ForwardingPeers(forwardingMaxAge)),
	}
	reading.LiveJobs, reading.EndedJobs, reading.Batches, reading.RecentJobs = view.Size()
	heartbeats, requests := c.ingest.uplinks.Counts(), c.forwarder.Counts()
	reading.HeartbeatsForwarded, reading.HeartbeatsUnanswered = heartbeats.Forwarded, heartbeats.Unanswered
	reading.RequestsForwarded, reading.ForwardsUnanswered = requests.Forwarded, requests.Unanswered
	for _, s := range c.led.all() { // a leader holds its lock for long while it makes decisions, so hold no other lock here
		addShardMetrics(&reading, s)
	}
	return reading
}

// addShardMetrics adds the metrics of one shard that this controller leads.
func addShardMetrics(reading *metrics.Reading, s *ledShard) {
	reading.Shards++
	reading.FencingToken = max(reading.FencingToken, s.FencingToken())
	if stall, stalled := s.Stall(time.Now()); stalled {
		reading.StalledFor = max(reading.StalledFor, time.Since(stall.Since))
	}
	rejected := s.RejectedHeartbeats()
	reading.LateHeartbeats += rejected.Stale
	reading.ImpossibleHeartbeats += rejected.Impossible
	if reading.Zones == nil {
		reading.Zones = make(map[string]zone.Record)
	}
	maps.Copy(reading.Zones, s.ZoneRecords())
	for name, status := range s.Status(time.Now()).Tiers {
		if reading.Tiers == nil {
			reading.Tiers = make(map[string]tier.Status)
		}
		reading.Tiers[name] = reading.Tiers[name].Add(status)
	}
	if s.compactor != nil {
		reading.Compaction = s.compactor.Stats()
	}
}
