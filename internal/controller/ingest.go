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

// forwardingMaxAge is how old a peer's last batch of forwarded heartbeats may be for the peer to count as forwarding.
const forwardingMaxAge = 2 * time.Second

// ingestion passes workers' heartbeats to the leaders of their shards, whichever controller receives them.
type ingestion struct {
	gateway  *ingest.Gateway   // receives heartbeats
	uplinks  *ingest.Uplinks   // forward heartbeats to peers that lead
	receiver *ingest.Receiver  // answers heartbeats that peers forward
	throttle *throttle.Limiter // limits the fencing calls made on behalf of peers
	calls    *fencingCallLog
}

// fencingCallLog records the fencing calls that are made on behalf of peers.
type fencingCallLog struct {
	mu  sync.Mutex
	log zone.CallLog
}

func (l *fencingCallLog) record(zone string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Record(time.Now(), zone, answered)
}

// addTo adds the recorded calls to the observations of each zone.
func (l *fencingCallLog) addTo(now time.Time, observations map[string]zone.Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.AddTo(now, observations)
}

// newIngestion creates the components of ingestion. The mesh must exist already.
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
				heartbeat := c.workers.Fence(ctx, call.Addr, call.Term, call.Session)
				in.calls.record(call.Zone, heartbeat != nil)
				return heartbeat
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
		Balancer:        ingest.Balancer{LeaderKeeps: c.cfg.Tuning.MaxDirectHeartbeats, Capacity: c.cfg.Limits.OpenFiles / 2},
	}
	c.mesh.Handlers = map[string]peer.StreamHandler{ingest.StreamKind: in.receiver.Serve}
	return in
}

// decideForwarded answers a heartbeat that a peer has forwarded.
func (c *Controller) decideForwarded(heartbeat *wire.Heartbeat) worker.HeartbeatResult {
	if result, ok := c.answerHeartbeat(time.Now(), heartbeat); ok {
		return result
	}
	return worker.HeartbeatResult{Leader: c.leaderFor(heartbeat)}
}

// fencingCalls returns at most limit fencing calls that a peer should make for the shards led by this controller.
func (c *Controller) fencingCalls(limit int) (out []reachability.FencingCall) {
	for _, s := range c.led.all() {
		out = append(out, s.FencingCalls(time.Now(), limit-len(out))...)
	}
	return out
}

// fencingCallDone passes the result of a peer's fencing call to the leaders on this controller.
func (c *Controller) fencingCallDone(machine string, heartbeat *wire.Heartbeat) {
	for _, s := range c.led.all() {
		s.FencingCallDone(time.Now(), machine, heartbeat)
	}
}

// peerLoads returns how many machines send their heartbeats to each peer that could take on more. With
// several shards these are the peers that lead a shard or are connected to a leader. With one shard they
// are the peers that forward to this controller if it is the leader, or else to the same leader as it does.
func (c *Controller) peerLoads(leading bool) map[string]int {
	loads, forwardsTo := make(map[string]int), c.ingest.uplinks.ForwardsTo()
	forwarding := c.ingest.receiver.ForwardingPeers(forwardingMaxAge)
	for name, status := range c.mesh.Latest(peerHealthMaxAge) {
		if !c.sharding.IsSingle() {
			if status.StoreReachable && (len(status.Shards) > 0 || len(status.ConnectedLeaders) > 0) {
				loads[name] = status.OfferedMachines
			}
			continue
		}
		if leading && forwarding[name] || !leading && status.ForwardsTo == forwardsTo {
			loads[name] = status.OfferedMachines
		}
	}
	return loads
}

// leaderOf returns the name of the peer that leads a shard, or "" if none does.
func (c *Controller) leaderOf(shard string) string {
	if rec, led := c.state.view.Leader(shard); led && rec.Record.Leader != c.cfg.Name {
		return rec.Record.Leader
	}
	return ""
}

// leaderFor returns the name of the peer that leads the shard of a heartbeat's machine, or "" if none
// does. For a nil heartbeat it returns the leader of the fleet, provided that the fleet is one shard.
func (c *Controller) leaderFor(heartbeat *wire.Heartbeat) string {
	switch {
	case heartbeat != nil:
		return c.leaderOf(c.sharding.ShardOf(heartbeat.Zone, heartbeat.Type))
	case c.sharding.IsSingle():
		return c.leaderOf(c.sharding.Shards()[0])
	}
	return ""
}

// leads reports whether the named controller leads any shard.
func (c *Controller) leads(name string) bool {
	for _, shard := range c.sharding.Shards() {
		if rec, led := c.state.view.Leader(shard); led && rec.Record.Leader == name {
			return true
		}
	}
	return false
}

// answerHeartbeat answers a heartbeat if this controller leads the machine's shard. A leader that
// cannot renew its lease keeps answering, without launching tasks, but no longer than a cancelled
// task may keep running.
func (c *Controller) answerHeartbeat(now time.Time, heartbeat *wire.Heartbeat) (worker.HeartbeatResult, bool) {
	shard := c.sharding.ShardOf(heartbeat.Zone, heartbeat.Type)
	standing := c.elector.Standing(shard, now)
	s := c.led.get(shard)
	current := s != nil && standing.Leading && s.tenure.Version == standing.Tenure.Version
	if !current || heartbeat.FencingToken > standing.Tenure.FencingToken || !s.MayAnswer(now, standing.LeaseValid, standing.LastRenewal) {
		return worker.HeartbeatResult{}, false
	}
	response, ok := s.HandleHeartbeat(now, heartbeat, standing.LeaseValid)
	if !ok {
		return worker.HeartbeatResult{}, false
	}
	return worker.HeartbeatResult{Response: &response}, true
}
