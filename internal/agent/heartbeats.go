package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Times of the worker's protocol.
const (
	answerTimeout   = 4 * time.Second
	minHeartbeatGap = 500 * time.Millisecond
)

// heartbeats keeps one report in flight, to one controller at a time.
func (a *Agent) heartbeats(ctx context.Context) error {
	names := slices.Sorted(maps.Keys(a.Controllers))
	node := names[rand.IntN(len(names))]
	for ctx.Err() == nil {
		a.mu.Lock()
		a.apply(a.Core.Expire(time.Now()))
		dying := a.dying
		a.mu.Unlock()
		for _, gone := range dying {
			<-gone
		}
		a.mu.Lock()
		session := a.Core.Incarnation()
		body := wire.Encode(a.Core.NextHeartbeat())
		a.mu.Unlock()
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, answerTimeout)
		resp, err := a.caller.Call(call, a.Controllers[node], "POST", wire.PathHeartbeat, body)
		cancel()
		wait := a.HeartbeatInterval*3/4 + time.Duration(rand.Int64N(int64(a.HeartbeatInterval/2)+1))
		var answer wire.HeartbeatResponse
		if err == nil && resp.Status == 200 && wire.Decode(resp.Body, &answer) == nil {
			a.mu.Lock()
			a.apply(a.Core.Expire(time.Now()))
			a.apply(a.Core.HandleAnswer(time.Now(), sent, session, answer))
			a.mu.Unlock()
			a.waitForNext(ctx, wait)
			continue
		}
		var r wire.Redirect
		if err == nil && resp.Status == 421 {
			_ = wire.Decode(resp.Body, &r)
		}
		if a.Controllers[r.Leader] != "" && r.Leader != node {
			node = r.Leader
			continue
		}
		node = names[(slices.Index(names, node)+1)%len(names)]
		pause(ctx, time.Second)
	}
	return nil
}

// waitForNext waits for the next report: as long as said, or, after a change, no shorter
// than the protocol allows.
func (a *Agent) waitForNext(ctx context.Context, wait time.Duration) {
	begun := time.Now()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-a.wake:
		pause(ctx, minHeartbeatGap-time.Since(begun))
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(0, d))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
