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

// setUpIngest sets up how reports reach the holder, whichever controller takes them.
func (c *Controller) setUpIngest() {
	c.receiver = &ingest.Receiver{Log: c.log, Decide: func(r *wire.Heartbeat) worker.HeartbeatResult {
		if v, ok := c.answerHeartbeat(time.Now(), r); ok {
			return v
		}
		return worker.HeartbeatResult{Leader: c.leaderFor(r)}
	}}
	c.receiver.FencingCalls = func(most int) (out []leader.FencingCall) {
		for _, h := range c.ledShards() {
			out = append(out, h.FencingCalls(time.Now(), most-len(out))...)
		}
		return out
	}
	c.receiver.FencingCallDone = func(machine string, r *wire.Heartbeat) {
		for _, h := range c.ledShards() {
			h.FencingCallDone(time.Now(), machine, r)
		}
	}
	c.peers.Handlers = map[string]peer.StreamHandler{ingest.StreamKind: c.receiver.Serve}
	c.callThrottle = throttle.New()
	c.uplinks = &ingest.Uplinks{ByPeer: make(map[string]*ingest.Uplink), Leader: c.leaderFor}
	for _, sib := range c.cfg.Peers {
		c.uplinks.ByPeer[sib.Name] = &ingest.Uplink{OpenStream: c.peers.OpenStream, Log: c.log, Throttle: c.callThrottle,
			Leader: func() string {
				if c.leads(sib.Name) {
					return sib.Name
				}
				return ""
			},
			FencingCall: func(ctx context.Context, call leader.FencingCall) *wire.Heartbeat {
				r := c.workers.Fence(ctx, call.Addr, call.Term, call.Session)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.fencingCalls.Record(time.Now(), call.Zone, r != nil)
				return r
			}}
	}
	c.gateway = &ingest.Gateway{AnswerAsLeader: c.answerHeartbeat, Forwarder: c.uplinks, PeerLoads: c.peerLoads, ReportingWindow: 2 * c.cfg.Workers.HeartbeatInterval, Sharded: !c.sharding.IsSingle(),
		Leader: c.leaderFor, Leads: func() bool { return len(c.ledShards()) > 0 },
		Balancer: ingest.Balancer{LeaderKeeps: c.cfg.Tuning.DirectHeartbeats, Capacity: c.cfg.Limits.Files / 2}}
}

// peerLoads tells how many machines report to each sibling that passes reports on to the
// same holder.
func (c *Controller) peerLoads(leader bool) map[string]int {
	out, passes := make(map[string]int), c.uplinks.ForwardsTo()
	edges := c.receiver.ForwardingPeers(2 * time.Second)
	for name, b := range c.peers.Latest(3 * time.Second) {
		if !c.sharding.IsSingle() {
			if b.StoreOK && (len(b.Parts) > 0 || len(b.Ways) > 0) {
				out[name] = b.Heard
			}
			continue
		}
		if leader && edges[name] || !leader && b.Passes == passes {
			out[name] = b.Heard
		}
	}
	return out
}

// leaderOf names the controller that holds a part, if it is another.
func (c *Controller) leaderOf(shard string) string {
	if rec, ok := c.view.Leader(shard); ok && rec.Record.Leader != c.cfg.Name {
		return rec.Record.Leader
	}
	return ""
}

// leaderFor names the controller that holds the part of a report's machine, if that is
// another. Where nothing is known of the machine, it is the fleet's, if that is one part.
func (c *Controller) leaderFor(r *wire.Heartbeat) string {
	switch {
	case r != nil:
		return c.leaderOf(c.sharding.ShardOf(r.Zone, r.Type))
	case c.sharding.IsSingle():
		return c.leaderOf(c.sharding.Shards()[0])
	}
	return ""
}

// leads reports whether a controller holds a part.
func (c *Controller) leads(name string) bool {
	for _, part := range c.sharding.Shards() {
		if rec, ok := c.view.Leader(part); ok && rec.Record.Leader == name {
			return true
		}
	}
	return false
}

// answerHeartbeat answers a report, where this controller holds the machine's part.
func (c *Controller) answerHeartbeat(now time.Time, r *wire.Heartbeat) (worker.HeartbeatResult, bool) {
	shard := c.sharding.ShardOf(r.Zone, r.Type)
	standing := c.elector.Standing(shard, now)
	c.mu.Lock()
	h := c.led[shard]
	c.mu.Unlock()
	// A holder that can't renew goes on answering, without launches, but no
	// longer than a cancelled task may live.
	current := h != nil && standing.Leading && h.tenure.Version == standing.Tenure.Version
	if !current || r.FencingToken > standing.Tenure.FencingToken || !h.MayAnswer(now, standing.LeaseValid, standing.LastRenewal) {
		return worker.HeartbeatResult{}, false
	}
	a, ok := h.HandleHeartbeat(now, r, standing.LeaseValid)
	if !ok {
		return worker.HeartbeatResult{}, false
	}
	return worker.HeartbeatResult{Response: &a}, true
}
