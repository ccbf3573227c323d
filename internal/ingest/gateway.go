package ingest

import (
	"bytes"
	"context"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Gateway decides what becomes of the reports that come in at a controller: the
// holder answers them, an edge passes them on, and either sends machines to a sibling
// that has more room.
type Gateway struct {
	// AnswerAsLeader answers a report as the holder; ok is false where this controller is not
	// entitled to.
	AnswerAsLeader func(now time.Time, r *wire.Heartbeat) (v worker.HeartbeatResult, ok bool)
	// Leader names who holds the part of a report's machine, by the store, if that is
	// another; of no report in particular, who holds the fleet if it is in one part.
	Leader func(r *wire.Heartbeat) string
	// PeerLoads tells how many machines report to each sibling that can take more of
	// them. It is asked a few times a second at the most.
	PeerLoads func(holder bool) map[string]int
	// Leads says whether this controller holds a part.
	Leads func() bool
	// Sharded says that the fleet is in several parts: who holds one passes on the reports
	// of others, and takes no fewer than its siblings.
	Sharded         bool
	Forwarder       Forwarder
	ReportingWindow time.Duration // for which a machine that has reported counts as one that does

	mu                   sync.Mutex
	Balancer             Balancer
	lastHeartbeats       map[string]lastHeartbeat // of the machines that report here
	reporting            int                      // of them within the window, when they were last counted
	countedAt            time.Time
	redirected           int // reports that were turned away unread since then
	redirectedLastSecond int // in the second before
	rebalanced           uint64
	peerLoads            map[string]int
	peerLoadsAt          time.Time
}

// Forwarder passes reports on, by an Edge or by several.
type Forwarder interface {
	ForwardsTo() string
	Reconnecting() bool
	Forward(ctx context.Context, r *wire.Heartbeat) (worker.HeartbeatResult, bool)
}

// HandleHeartbeat decides what becomes of a report.
func (c *Gateway) HandleHeartbeat(ctx context.Context, r *wire.Heartbeat) worker.HeartbeatResult {
	now := time.Now()
	c.recordHeartbeat(now, r.Machine, r.Zone)
	if v, ok := c.AnswerAsLeader(now, r); ok {
		if len(v.Response.Commands) == 0 { // what it is told to do, it should hear now
			if to := c.rebalanceTarget(now, r.Machine, !c.Sharded, false); to != "" {
				return worker.HeartbeatResult{Leader: to}
			}
		}
		return v
	}
	if c.Forwarder.ForwardsTo() == "" {
		return worker.HeartbeatResult{Leader: c.RedirectTarget(r)}
	}
	if to := c.rebalanceTarget(now, r.Machine, false, false); to != "" {
		return worker.HeartbeatResult{Leader: to}
	}
	if v, ok := c.Forwarder.Forward(ctx, r); ok {
		return v
	}
	return worker.HeartbeatResult{Leader: c.RedirectTarget(r)}
}

// RedirectTarget names the controller to which workers are sent where their reports can't be
// passed on: the holder, unless the way to it was open lately. Then it has broken because
// the holder is gone or has too much to do, and all workers at once would be the end of it;
// they find another controller instead.
func (c *Gateway) RedirectTarget(r *wire.Heartbeat) string {
	if c.Forwarder.Reconnecting() {
		return ""
	}
	return c.Leader(r)
}

// peerLoadInterval is the time between two looks at what siblings say.
const peerLoadInterval = 300 * time.Millisecond

// RedirectUnread answers a report that is to go elsewhere without reading it: while nobody holds
// the fleet or there is no way to who does, each worker comes again every second, and all
// of them at once; and when a new holder is known, all of them go there. It gives nil where
// the report is to be read.
func (c *Gateway) RedirectUnread(first []byte) []byte {
	if !bytes.HasPrefix(first, heartbeatRequestLine) {
		return nil
	}
	to, leads := "", c.Leads()
	if leads || c.Forwarder.ForwardsTo() != "" {
		if to = c.rebalanceTarget(time.Now(), "", leads && !c.Sharded, true); to == "" {
			return nil
		}
	} else {
		to = c.RedirectTarget(nil)
	}
	c.mu.Lock()
	c.redirected++
	c.mu.Unlock()
	return httpwire.AppendResponse(nil, &httpwire.Response{Status: 421, Body: wire.Encode(wire.Redirect{Leader: to}), Close: true})
}

var heartbeatRequestLine = []byte("POST " + wire.PathHeartbeat + " ")

// rebalanceTarget names the sibling that a machine's reports should go to from now on. On a
// new connection it is not known yet which machine that is.
func (c *Gateway) rebalanceTarget(now time.Time, machine string, leader, newConnection bool) string {
	mine := c.Reporting()
	if mine <= c.Balancer.LeaderKeeps {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.peerLoadsAt) >= peerLoadInterval {
		c.peerLoadsAt, c.peerLoads = now, c.PeerLoads(leader)
	}
	to := c.Balancer.Target(now, leader, newConnection, mine, c.peerLoads)
	if to != "" {
		if _, known := c.lastHeartbeats[machine]; known {
			delete(c.lastHeartbeats, machine)
			c.reporting--
		}
		c.rebalanced++
	}
	return to
}

// Rebalanced tells how many times a machine was sent to a sibling with more room.
func (c *Gateway) Rebalanced() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rebalanced
}
