package ingest

import (
	"bytes"
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// peerLoadInterval is the minimum interval between calls of PeerLoads.
const peerLoadInterval = 300 * time.Millisecond

// Gateway handles the heartbeats that workers send to a controller. The leader of their shard answers
// them, and other controllers forward them. Either may send machines to a peer with more free capacity.
type Gateway struct {
	// AnswerAsLeader answers a heartbeat as the leader of the machine's shard; ok is false if this
	// controller is not entitled to.
	AnswerAsLeader func(now time.Time, heartbeat *wire.Heartbeat) (result worker.HeartbeatResult, ok bool)
	// Leader returns the peer that leads the shard of a heartbeat's machine, according to the state
	// service. For a nil heartbeat it returns the peer that leads the fleet, if that is a single shard.
	Leader func(heartbeat *wire.Heartbeat) string
	// PeerLoads returns the number of machines that send their heartbeats to each peer that can take
	// more. leader is true if this controller leads the fleet. It is called at most a few times a second.
	PeerLoads func(leader bool) map[string]int
	// Leads reports whether this controller leads a shard.
	Leads func() bool
	// Sharded is true if the fleet has several shards. The leader of one shard then forwards the heartbeats
	// of others, and receives those of as many machines as its peers.
	Sharded   bool
	Forwarder Forwarder
	// ReportingWindow is the time after a heartbeat for which its machine counts as reporting to this
	// controller.
	ReportingWindow time.Duration

	reportingMachines reportingMachines

	mu          sync.Mutex // guards the fields below
	Balancer    Balancer
	rebalanced  uint64
	peerLoads   map[string]int
	peerLoadsAt time.Time
}

// Forwarder forwards heartbeats to leaders. Uplink and Uplinks implement it.
type Forwarder interface {
	ForwardsTo() string
	Reconnecting() bool
	Forward(ctx context.Context, heartbeat *wire.Heartbeat) (worker.HeartbeatResult, bool)
}

// HandleHeartbeat answers, forwards or redirects a heartbeat.
func (g *Gateway) HandleHeartbeat(ctx context.Context, heartbeat *wire.Heartbeat) worker.HeartbeatResult {
	now := time.Now()
	g.reportingMachines.record(now, heartbeat.Machine, heartbeat.Zone)
	if result, ok := g.AnswerAsLeader(now, heartbeat); ok {
		if len(result.Response.Commands) > 0 { // commands must not wait for the next heartbeat
			return result
		}
		if target := g.rebalanceTarget(now, heartbeat.Machine, !g.Sharded, false); target != "" {
			return worker.HeartbeatResult{Leader: target}
		}
		return result
	}
	if g.Forwarder.ForwardsTo() == "" {
		return worker.HeartbeatResult{Leader: g.RedirectTarget(heartbeat)}
	}
	if target := g.rebalanceTarget(now, heartbeat.Machine, false, false); target != "" {
		return worker.HeartbeatResult{Leader: target}
	}
	if result, ok := g.Forwarder.Forward(ctx, heartbeat); ok {
		return result
	}
	return worker.HeartbeatResult{Leader: g.RedirectTarget(heartbeat)}
}

// RedirectTarget returns the controller that a worker is redirected to if its heartbeat can't be
// forwarded. This is the leader, unless the stream to it broke recently or the leader is new. In that
// case the leader may be gone or overloaded, and all workers at once would overload it permanently, so
// RedirectTarget returns an empty string and the workers find another controller.
func (g *Gateway) RedirectTarget(heartbeat *wire.Heartbeat) string {
	if g.Forwarder.Reconnecting() {
		return ""
	}
	return g.Leader(heartbeat)
}

var heartbeatRequestLine = []byte("POST " + wire.PathHeartbeat + " ")

// RedirectUnread returns a redirect response for a heartbeat, based on only the first bytes of the
// request, or nil if the heartbeat must be read. It saves reading the heartbeats of workers that all
// retry every second while there is no leader or no stream to it, and that all move to a new leader at
// once.
func (g *Gateway) RedirectUnread(first []byte) []byte {
	if !bytes.HasPrefix(first, heartbeatRequestLine) {
		return nil
	}
	target, leads := "", g.Leads()
	if leads || g.Forwarder.ForwardsTo() != "" {
		if target = g.rebalanceTarget(time.Now(), "", leads && !g.Sharded, true); target == "" {
			return nil
		}
	} else {
		target = g.RedirectTarget(nil)
	}
	g.reportingMachines.recordRedirect()
	return httpwire.AppendResponse(nil, &httpwire.Response{Status: 421, Body: wire.Encode(wire.Redirect{Leader: target}), Close: true})
}

// rebalanceTarget returns the peer that should receive a machine's heartbeats from now on, or an empty
// string. machine is empty on a new connection, where it is not known yet.
func (g *Gateway) rebalanceTarget(now time.Time, machine string, leader, newConnection bool) string {
	local := g.ReportingMachines()
	if local <= g.Balancer.LeaderKeeps {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.peerLoadsAt) >= peerLoadInterval {
		g.peerLoadsAt, g.peerLoads = now, g.PeerLoads(leader)
	}
	target := g.Balancer.Target(now, leader, newConnection, local, g.peerLoads)
	if target != "" {
		g.reportingMachines.forget(machine)
		g.rebalanced++
	}
	return target
}

// ReportingMachines returns the number of machines that report to this controller. It is updated once a second.
func (g *Gateway) ReportingMachines() int {
	reporting, _ := g.reportingMachines.counts(g.ReportingWindow)
	return reporting
}

// OfferedMachines returns the number of machines that report to this controller plus those whose heartbeats were
// redirected. Redirected machines retry every second, so the redirects of one second count them. It is
// updated once a second.
func (g *Gateway) OfferedMachines() int {
	reporting, redirected := g.reportingMachines.counts(g.ReportingWindow)
	return reporting + redirected
}

// Observations counts, for each zone, the machines that report to this controller and those whose
// heartbeats are overdue.
func (g *Gateway) Observations(now time.Time, overdue time.Duration) map[string]zone.Observation {
	return g.reportingMachines.observations(now, overdue)
}

// Rebalanced returns the number of times that a machine was sent to a peer with more free capacity.
func (g *Gateway) Rebalanced() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rebalanced
}
