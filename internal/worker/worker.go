// Package worker is the controllers' side of the workers' interface: it answers heartbeats, and calls
// workers directly.
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
	// callTimeout bounds a direct call: a worker on the same network answers in milliseconds.
	callTimeout = 2 * time.Second
	// maxAnswer bounds the answer to a call, a heartbeat with all tasks of a machine.
	maxResponseBytes = 1 << 20
)

// Client calls workers at their own addresses.
type Client struct{ caller transport.Caller }

// NewClient returns a client that keeps so many unused connections at most: those to thousands of
// workers would take all sockets.
func NewClient(net transport.Network, maxIdleConns int) *Client {
	return &Client{transport.Caller{MaxBody: maxResponseBytes, MaxIdle: maxIdleConns, Dial: net.Dial}}
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

// Send sends commands. The heartbeat that comes back is as of after the commands, or, with ok false,
// as of their refusal.
func (c *Client) Send(ctx context.Context, addr string, req wire.CommandRequest) (h *wire.Heartbeat, ok bool, err error) {
	if req.Commands == nil {
		req.Commands = []wire.Command{} // the wire has a list, also of none
	}
	h, status, err := c.call(ctx, addr, http.MethodPost, wire.PathCommands, wire.Encode(req))
	return h, status == http.StatusOK, err
}

// Inspect asks a worker for its heartbeat.
func (c *Client) Inspect(ctx context.Context, addr string) (*wire.Heartbeat, error) {
	h, _, err := c.call(ctx, addr, http.MethodGet, wire.PathStatus, nil)
	return h, err
}

// Fence raises the fencing token at a worker, in whatever incarnation it is, and brings its
// heartbeat; nil for no answer. An incarnation of 0 is not known.
func (c *Client) Fence(ctx context.Context, addr string, token, incarnation uint64) *wire.Heartbeat {
	if incarnation == 0 {
		h, err := c.Inspect(ctx, addr)
		if err != nil {
			return nil
		}
		incarnation = h.Incarnation
	}
	h, ok, err := c.Send(ctx, addr, wire.CommandRequest{FencingToken: token, Incarnation: incarnation})
	if err == nil && !ok && h.FencingToken < token && h.Incarnation != incarnation { // the guess was wrong
		h, _, err = c.Send(ctx, addr, wire.CommandRequest{FencingToken: token, Incarnation: h.Incarnation})
	}
	if err != nil {
		return nil
	}
	return h
}

// HeartbeatResult is what becomes of a heartbeat: a response, or another controller.
type HeartbeatResult struct {
	Response *wire.HeartbeatResponse
	Leader   string // the controller to send it to instead; may be empty
}

// Handler answers heartbeats by what handle makes of them.
func Handler(handle func(context.Context, *wire.Heartbeat) HeartbeatResult, log *slog.Logger) transport.Handler {
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
