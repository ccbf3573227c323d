package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/wire"
)

const (
	// responseTimeout is the timeout of a call. A later response to a heartbeat is dropped, so that no response takes
	// effect on a worker longer than this after its heartbeat.
	responseTimeout = 4 * time.Second
	// minHeartbeatGap is the minimum time between two heartbeats, regardless of how many early heartbeats are
	// requested.
	minHeartbeatGap = 500 * time.Millisecond
	// retryDelay is the time before a heartbeat is sent to the next controller after a failed call.
	retryDelay = time.Second
)

// heartbeats sends heartbeats to one controller until the context ends, with at most one in flight. It follows
// redirects to the leader, and tries the controllers in turn while none responds.
func (a *Agent) heartbeats(ctx context.Context) error {
	names := slices.Sorted(maps.Keys(a.Controllers))
	controller := names[rand.IntN(len(names))]
	for ctx.Err() == nil {
		a.awaitExits()
		incarnation, body := a.nextHeartbeat()
		sent := time.Now()
		resp, err := a.call(ctx, controller, "POST", wire.PathHeartbeat, body)
		wait := a.HeartbeatInterval*3/4 + time.Duration(rand.Int64N(int64(a.HeartbeatInterval/2)+1))
		var response wire.HeartbeatResponse
		if err == nil && resp.Status == 200 && wire.Decode(resp.Body, &response) == nil {
			a.handleResponse(sent, incarnation, response)
			a.waitForNext(ctx, wait)
			continue
		}
		if leader := redirect(resp, err); a.Controllers[leader] != "" && leader != controller {
			controller = leader
			continue
		}
		controller = names[(slices.Index(names, controller)+1)%len(names)]
		sleep(ctx, retryDelay)
	}
	return nil
}

// awaitExits waits until the processes of the previous incarnation have exited, because controllers take a
// heartbeat of the new incarnation as proof that they have.
func (a *Agent) awaitExits() {
	a.mu.Lock()
	a.apply(a.Core.Expire(time.Now()))
	exits := a.previousExits
	a.mu.Unlock()
	for _, exited := range exits {
		<-exited
	}
}

// nextHeartbeat returns the incarnation and the encoded form of the next heartbeat.
func (a *Agent) nextHeartbeat() (uint64, []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Core.Incarnation(), wire.Encode(a.Core.NextHeartbeat())
}

// handleResponse passes the response to a heartbeat to the Core.
func (a *Agent) handleResponse(sent time.Time, incarnation uint64, response wire.HeartbeatResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(a.Core.Expire(time.Now()))
	a.apply(a.Core.HandleHeartbeatResponse(time.Now(), sent, incarnation, response))
}

// call sends a request to a controller, with responseTimeout.
func (a *Agent) call(ctx context.Context, controller, method, path string, body []byte) (*httpwire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	return a.caller.Call(ctx, a.Controllers[controller], method, path, body)
}

// redirect returns the name of the leader if the response is a redirect, and "" otherwise.
func redirect(resp *httpwire.Response, err error) string {
	var r wire.Redirect
	if err == nil && resp.Status == 421 {
		_ = wire.Decode(resp.Body, &r)
	}
	return r.Leader
}

// waitForNext waits until the next heartbeat is due, which is after the given time or when an early heartbeat is
// requested, but not before minHeartbeatGap has passed.
func (a *Agent) waitForNext(ctx context.Context, wait time.Duration) {
	start := time.Now()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-a.earlyHeartbeat:
		sleep(ctx, minHeartbeatGap-time.Since(start))
	}
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
