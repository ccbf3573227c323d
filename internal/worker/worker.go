// Package worker implements the controllers' side of the protocol with workers: it answers heartbeats and
// calls workers directly.
package worker

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

const (
	// callTimeout limits a direct call: a worker on the same network responds within milliseconds.
	callTimeout = 2 * time.Second
	// maxResponseBytes limits the response to a call, which is a heartbeat with all tasks of a machine.
	maxResponseBytes = 1 << 20
)

// Client calls workers at their own addresses.
type Client struct{ caller transport.Client }

// NewClient returns a client that keeps at most maxIdleConns idle connections. Without a limit, those to
// thousands of workers would use up all sockets.
func NewClient(net transport.Network, maxIdleConns int) *Client {
	return &Client{transport.Client{MaxBody: maxResponseBytes, MaxIdle: maxIdleConns, Dial: net.Dial}}
}

func (c *Client) call(ctx context.Context, addr, method, path string, body []byte) (*wire.Heartbeat, int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.caller.Call(ctx, addr, method, path, body)
	if err != nil {
		return nil, 0, fmt.Errorf("call worker at %s: %w", addr, err)
	}
	if resp.Status != http.StatusOK && resp.Status != http.StatusConflict {
		return nil, resp.Status, fmt.Errorf("call worker at %s: status %d", addr, resp.Status)
	}
	h, err := wire.DecodeHeartbeat(resp.Body)
	if err != nil {
		return nil, resp.Status, fmt.Errorf("read heartbeat of worker at %s: %w", addr, err)
	}
	return h, resp.Status, nil
}

// Send sends commands to a worker. It returns the worker's heartbeat after it has accepted the commands (ok is
// true) or refused them (ok is false).
func (c *Client) Send(ctx context.Context, addr string, req wire.CommandRequest) (h *wire.Heartbeat, ok bool, err error) {
	if req.Commands == nil {
		req.Commands = []wire.Command{} // encode an empty list rather than null
	}
	h, status, err := c.call(ctx, addr, http.MethodPost, wire.PathCommands, wire.Encode(req))
	return h, status == http.StatusOK, err
}

// Inspect requests a worker's heartbeat.
func (c *Client) Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	h, _, err := c.call(ctx, addr, http.MethodGet, wire.PathStatus, nil)
	return h, err
}

// Fence raises the fencing token of a worker, whatever its current incarnation, and returns the worker's
// heartbeat, or nil if the worker does not respond. An incarnation of 0 means that it is unknown.
func (c *Client) Fence(ctx context.Context, addr string, token, incarnation uint64) *wire.Heartbeat {
	if incarnation == 0 {
		h, err := c.Inspect(ctx, addr)
		if err != nil {
			return nil
		}
		incarnation = h.Incarnation
	}
	h, ok, err := c.Send(ctx, addr, wire.CommandRequest{FencingToken: token, Incarnation: incarnation})
	if err == nil && !ok && h.FencingToken < token && h.Incarnation != incarnation { // the given incarnation was wrong
		h, _, err = c.Send(ctx, addr, wire.CommandRequest{FencingToken: token, Incarnation: h.Incarnation})
	}
	if err != nil {
		return nil
	}
	return h
}

// HeartbeatResult is the result of handling a heartbeat: a response, or a redirect to another controller.
type HeartbeatResult struct {
	Response *wire.HeartbeatResponse
	Leader   string // the controller to redirect the worker to; may be empty
}

// HeartbeatHandler returns an HTTP handler that passes heartbeats to handle and encodes its results.
func HeartbeatHandler(handle func(context.Context, *wire.Heartbeat) HeartbeatResult, log *slog.Logger) transport.Handler {
	return func(ctx context.Context, req *httpwire.Request) *httpwire.Response {
		if req.Method != http.MethodPost {
			return &httpwire.Response{Status: http.StatusMethodNotAllowed}
		}
		h, err := wire.DecodeHeartbeat(req.Body)
		if err != nil {
			log.Warn("heartbeat malformed", "err", err)
			return &httpwire.Response{Status: http.StatusBadRequest}
		}
		result := handle(ctx, h)
		if result.Response == nil {
			log.Debug("heartbeat redirected", "machine", h.Machine, "leader", result.Leader)
			return &httpwire.Response{Status: http.StatusMisdirectedRequest, Body: wire.Encode(wire.Redirect{Leader: result.Leader})}
		}
		return &httpwire.Response{Status: http.StatusOK, Body: wire.Encode(result.Response)}
	}
}
