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

// peerLoadInterval is the time between two readings of the load of the peers.
const peerLoadInterval = 300 * time.Millisecond

// Gateway decides what becomes of the heartbeats that workers send to a controller: the leader
// answers them, another controller forwards them, and either sends machines to a peer with more
// free capacity.
type Gateway struct {
	// AnswerAsLeader answers a heartbeat as the leader of the machine's shard; ok is false where
	// this controller may not.
	AnswerAsLeader func(now time.Time, r *wire.Heartbeat) (v worker.HeartbeatResult, ok bool)
	// Leader names the peer that leads the shard of a heartbeat's machine, by the state service;
	// for nil the peer that leads the fleet, if that is one shard.
	Leader func(r *wire.Heartbeat) string
	// PeerLoads returns how many machines send their heartbeats to each peer that can take more of
	// them. leader is true if this controller leads the fleet. It is called a few times a second at most.
	PeerLoads func(leader bool) map[string]int
	// Leads reports whether this controller leads a shard.
	Leads func() bool
	// Sharded reports whether the fleet has several shards: then the leader of one forwards the heartbeats of
	// others, and takes as many machines as its peers.
	Sharded   bool
	Forwarder Forwarder
	// ReportingWindow is for how long after a heartbeat the machine counts as sending them here.
	ReportingWindow time.Duration

	reportingMachines reportingMachines

	mu          sync.Mutex // of what follows
	Balancer    Balancer
	rebalanced  uint64
	peerLoads   map[string]int
	peerLoadsAt time.Time
}

// Forwarder forwards heartbeats, over one uplink or several.
type Forwarder interface {
	ForwardsTo() string
	Reconnecting() bool
	Forward(ctx context.Context, r *wire.Heartbeat) (worker.HeartbeatResult, bool)
}

// HandleHeartbeat decides what becomes of a heartbeat.
func (g *Gateway) HandleHeartbeat(ctx context.Context, r *wire.Heartbeat) worker.HeartbeatResult {
	now := time.Now()
	g.reportingMachines.record(now, r.Machine, r.Zone)
	if v, ok := g.AnswerAsLeader(now, r); ok {
		if len(v.Response.Commands) > 0 { // a command must not wait for another heartbeat
			return v
		}
		if to := g.rebalanceTarget(now, r.Machine, !g.Sharded, false); to != "" {
			return worker.HeartbeatResult{Leader: to}
		}
		return v
	}
	if g.Forwarder.ForwardsTo() == "" {
		return worker.HeartbeatResult{Leader: g.RedirectTarget(r)}
	}
	if to := g.rebalanceTarget(now, r.Machine, false, false); to != "" {
		return worker.HeartbeatResult{Leader: to}
	}
	if v, ok := g.Forwarder.Forward(ctx, r); ok {
		return v
	}
	return worker.HeartbeatResult{Leader: g.RedirectTarget(r)}
}

// RedirectTarget names the controller to which a worker is sent where its heartbeat can't be
// forwarded: the leader, unless the stream to it was open a moment ago. Then the leader is gone or
// overloaded, and all workers at once would overload it for good; they find another controller.
func (g *Gateway) RedirectTarget(r *wire.Heartbeat) string {
	if g.Forwarder.Reconnecting() {
		return ""
	}
	return g.Leader(r)
}

var heartbeatRequestLine = []byte("POST " + wire.PathHeartbeat + " ")

// RedirectUnread answers a heartbeat that is to go elsewhere without reading it, given the first
// bytes of the request. While there is no leader, or no stream to it, every worker comes again
// each second, all of them at once; and when there is a new leader, all of them go there. It
// returns nil where the heartbeat is to be read.
func (g *Gateway) RedirectUnread(first []byte) []byte {
	if !bytes.HasPrefix(first, heartbeatRequestLine) {
		return nil
	}
	to, leads := "", g.Leads()
	if leads || g.Forwarder.ForwardsTo() != "" {
		if to = g.rebalanceTarget(time.Now(), "", leads && !g.Sharded, true); to == "" {
			return nil
		}
	} else {
		to = g.RedirectTarget(nil)
	}
	g.reportingMachines.recordRedirect()
	return httpwire.AppendResponse(nil, &httpwire.Response{Status: 421, Body: wire.Encode(wire.Redirect{Leader: to}), Close: true})
}

// rebalanceTarget names the peer that a machine's heartbeats should go to from now on, or none. On
// a new connection it is not known yet which machine that is.
func (g *Gateway) rebalanceTarget(now time.Time, machine string, leader, newConnection bool) string {
	local := g.Reporting()
	if local <= g.Balancer.LeaderKeeps {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.peerLoadsAt) >= peerLoadInterval {
		g.peerLoadsAt, g.peerLoads = now, g.PeerLoads(leader)
	}
	to := g.Balancer.Target(now, leader, newConnection, local, g.peerLoads)
	if to != "" {
		g.reportingMachines.forget(machine)
		g.rebalanced++
	}
	return to
}

// Reporting counts the machines whose heartbeats are taken here, as of the last second.
func (g *Gateway) Reporting() int {
	reporting, _ := g.reportingMachines.counts(g.ReportingWindow)
	return reporting
}

// Offered counts the machines that send their heartbeats here, as of the last second, with those
// that were redirected: they come again each second.
func (g *Gateway) Offered() int {
	reporting, redirected := g.reportingMachines.counts(g.ReportingWindow)
	return reporting + redirected
}

// Observations counts by zone the machines that send their heartbeats here, and those whose
// heartbeats are overdue.
func (g *Gateway) Observations(now time.Time, overdue time.Duration) map[string]zone.Observation {
	return g.reportingMachines.observations(now, overdue)
}

// Rebalanced returns how many times a machine was sent to a peer with more free capacity.
func (g *Gateway) Rebalanced() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rebalanced
}
