// Package worker speaks with the workers: it answers their reports and calls
// them directly.
package worker

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Client calls workers at their own addresses.
type Client struct{ caller transport.Caller }

// NewClient gives a client that keeps so many unused connections at the most: those to
// thousands of workers would take all sockets.
func NewClient(net transport.Network, maxIdleConns int) *Client {
	return &Client{transport.Caller{MaxBody: 1 << 20, MaxIdle: maxIdleConns, Dial: net.Dial}}
}

func (c *Client) call(ctx context.Context, addr, method, path string, body []byte) (*wire.Heartbeat, int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	resp, err := c.caller.Call(ctx, addr, method, path, body)
	if err != nil {
		return nil, 0, err
	}
	if resp.Status != 200 && resp.Status != 409 {
		return nil, resp.Status, fmt.Errorf("worker answers %d", resp.Status)
	}
	r, err := wire.DecodeHeartbeat(resp.Body)
	return r, resp.Status, err
}

// Send sends commands. The report that comes back is as of after the commands,
// or, with ok false, as of their refusal.
func (c *Client) Send(ctx context.Context, addr string, d wire.CommandRequest) (r *wire.Heartbeat, ok bool, err error) {
	if d.Commands == nil {
		d.Commands = []wire.Command{}
	}
	r, status, err := c.call(ctx, addr, "POST", wire.PathCommands, wire.Encode(d))
	return r, status == 200, err
}

// Fence raises the term at a worker, in whatever session it is, and brings its report;
// nil for no answer. A session of 0 is not known.
func (c *Client) Fence(ctx context.Context, addr string, token, incarnation uint64) *wire.Heartbeat {
	if incarnation == 0 {
		r, err := c.Inspect(ctx, addr)
		if err != nil {
			return nil
		}
		incarnation = r.Incarnation
	}
	r, ok, err := c.Send(ctx, addr, wire.CommandRequest{FencingToken: token, Incarnation: incarnation})
	if err == nil && !ok && r.FencingToken < token && r.Incarnation != incarnation { // a guess that was wrong
		r, _, err = c.Send(ctx, addr, wire.CommandRequest{FencingToken: token, Incarnation: r.Incarnation})
	}
	if err != nil {
		return nil
	}
	return r
}

// Inspect reads a worker's report.
func (c *Client) Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	r, _, err := c.call(ctx, addr, "GET", wire.PathStatus, nil)
	return r, err
}

// HeartbeatResult is what becomes of a report: an answer, or another controller.
type HeartbeatResult struct {
	Response *wire.HeartbeatResponse
	Leader   string // to report to instead; may be empty
}

// Handler answers reports.
func Handler(decide func(context.Context, *wire.Heartbeat) HeartbeatResult, log *slog.Logger) transport.Handler {
	return func(ctx context.Context, req *httpwire.Request) *httpwire.Response {
		if req.Method != "POST" {
			return &httpwire.Response{Status: 405}
		}
		r, err := wire.DecodeHeartbeat(req.Body)
		if err != nil {
			log.Warn("report not understood", "error", err)
			return &httpwire.Response{Status: 400}
		}
		v := decide(ctx, r)
		if v.Response == nil {
			log.Debug("report sent on", "machine", r.Machine, "holder", v.Leader)
			return &httpwire.Response{Status: 421, Body: wire.Encode(wire.Redirect{Leader: v.Leader})}
		}
		return &httpwire.Response{Status: 200, Body: wire.Encode(v.Response)}
	}
}
