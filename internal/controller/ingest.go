package controller

import (
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/ingest"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// forwardingMaxAge is how old the last batch of a peer may be that forwards heartbeats here.
const forwardingMaxAge = 2 * time.Second

// ingestion is how workers' heartbeats reach their leaders, whichever controller takes them.
type ingestion struct {
	gateway  *ingest.Gateway   // takes heartbeats
	uplinks  *ingest.Uplinks   // forward them to the leaders among the peers
	receiver *ingest.Receiver  // answers those that peers forward
	throttle *throttle.Limiter // of fencing calls made for peers
	calls    *fencingCallLog
}

// fencingCallLog records the fencing calls that are made for peers.
type fencingCallLog struct {
	mu  sync.Mutex
	log zone.CallLog
}

func (l *fencingCallLog) record(zone string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Record(time.Now(), zone, answered)
}

// addTo adds the calls to what is known of each zone.
func (l *fencingCallLog) addTo(now time.Time, observations map[string]zone.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.AddTo(now, observations)
}

// newIngestion sets up the parts of ingestion. The mesh must exist.
func (c *Controller) newIngestion() ingestion {
	in := ingestion{throttle: throttle.New(), calls: &fencingCallLog{}}
	in.receiver = &ingest.Receiver{Log: c.log, Decide: c.decideForwarded, FencingCalls: c.fencingCalls, FencingCallDone: c.fencingCallDone}
	in.uplinks = &ingest.Uplinks{ByPeer: make(map[string]*ingest.Uplink), Leader: c.leaderFor}
	for _, p := range c.cfg.Peers {
		in.uplinks.ByPeer[p.Name] = &ingest.Uplink{OpenStream: c.mesh.OpenStream, Log: c.log, Throttle: in.throttle,
			Leader: func() string {
				if c.leads(p.Name) {
					return p.Name
				}
				return ""
			},
			FencingCall: func(ctx context.Context, call reachability.FencingCall) *wire.Heartbeat {
				r := c.workers.Fence(ctx, call.Addr, call.Term, call.Session)
				in.calls.record(call.Zone, r != nil)
				return r
			}}
	}
	in.gateway = &ingest.Gateway{
		AnswerAsLeader:  c.answerHeartbeat,
		Forwarder:       in.uplinks,
		PeerLoads:       c.peerLoads,
		Leader:          c.leaderFor,
		Leads:           func() bool { return len(c.led.all()) > 0 },
		Sharded:         !c.sharding.IsSingle(),
		ReportingWindow: 2 * c.cfg.Workers.HeartbeatInterval,
		Balancer:        ingest.Balancer{LeaderKeeps: c.cfg.Tuning.DirectHeartbeats, Capacity: c.cfg.Limits.Files / 2},
	}
	c.mesh.Handlers = map[string]peer.StreamHandler{ingest.StreamKind: in.receiver.Serve}
	return in
}

// decideForwarded answers a heartbeat that a peer has forwarded.
func (c *Controller) decideForwarded(r *wire.Heartbeat) worker.HeartbeatResult {
	if v, ok := c.answerHeartbeat(time.Now(), r); ok {
		return v
	}
	return worker.HeartbeatResult{Leader: c.leaderFor(r)}
}

// fencingCalls returns calls that a peer is to make for the leaders here, limit at most.
func (c *Controller) fencingCalls(limit int) (out []reachability.FencingCall) {
	for _, s := range c.led.all() {
		out = append(out, s.FencingCalls(time.Now(), limit-len(out))...)
	}
	return out
}

// fencingCallDone tells the leaders here what a peer's call to a machine brought.
func (c *Controller) fencingCallDone(machine string, r *wire.Heartbeat) {
	for _, s := range c.led.all() {
		s.FencingCallDone(time.Now(), machine, r)
	}
}

// peerLoads counts the machines that send their heartbeats to each peer that could take more of
// them: one that forwards to this leader, or to the same leader as this controller does.
func (c *Controller) peerLoads(leader bool) map[string]int {
	out, forwardsTo := make(map[string]int), c.ingest.uplinks.ForwardsTo()
	forwarding := c.ingest.receiver.ForwardingPeers(forwardingMaxAge)
	for name, b := range c.mesh.Latest(peerHealthMaxAge) {
		if !c.sharding.IsSingle() {
			if b.StoreReachable && (len(b.Shards) > 0 || len(b.ConnectedLeaders) > 0) {
				out[name] = b.OfferedMachines
			}
			continue
		}
		if leader && forwarding[name] || !leader && b.ForwardsTo == forwardsTo {
			out[name] = b.OfferedMachines
		}
	}
	return out
}

// leaderOf names the peer that leads a shard, if one does.
func (c *Controller) leaderOf(shard string) string {
	if rec, led := c.state.view.Leader(shard); led && rec.Record.Leader != c.cfg.Name {
		return rec.Record.Leader
	}
	return ""
}

// leaderFor names the peer that leads the shard of a heartbeat's machine, if one does. Without a
// heartbeat it is the leader of the fleet, if that is one shard.
func (c *Controller) leaderFor(r *wire.Heartbeat) string {
	switch {
	case r != nil:
		return c.leaderOf(c.sharding.ShardOf(r.Zone, r.Type))
	case c.sharding.IsSingle():
		return c.leaderOf(c.sharding.Shards()[0])
	}
	return ""
}

// leads reports whether a controller leads a shard.
func (c *Controller) leads(name string) bool {
	for _, shard := range c.sharding.Shards() {
		if rec, led := c.state.view.Leader(shard); led && rec.Record.Leader == name {
			return true
		}
	}
	return false
}

// answerHeartbeat answers a heartbeat where this controller leads the machine's shard. A leader
// that can't renew its lease goes on answering, without launches, but no longer than a cancelled
// task may run.
func (c *Controller) answerHeartbeat(now time.Time, r *wire.Heartbeat) (worker.HeartbeatResult, bool) {
	shard := c.sharding.ShardOf(r.Zone, r.Type)
	standing := c.elector.Standing(shard, now)
	s := c.led.get(shard)
	current := s != nil && standing.Leading && s.tenure.Version == standing.Tenure.Version
	if !current || r.FencingToken > standing.Tenure.FencingToken || !s.MayAnswer(now, standing.LeaseValid, standing.LastRenewal) {
		return worker.HeartbeatResult{}, false
	}
	a, ok := s.HandleHeartbeat(now, r, standing.LeaseValid)
	if !ok {
		return worker.HeartbeatResult{}, false
	}
	return worker.HeartbeatResult{Response: &a}, true
}
