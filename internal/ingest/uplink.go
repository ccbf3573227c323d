package ingest

import (
	"context"
	"encoding/gob"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

const (
	// answerTimeout is the time for which a heartbeat may wait to be forwarded. Its worker waits 4 s in total.
	answerTimeout = 3 * time.Second
	// reconnectDelay is the delay before a stream is reopened after a failure.
	reconnectDelay = 500 * time.Millisecond
	// reconnectGrace is the time for which a stream is expected to open after it broke or the leader changed.
	reconnectGrace = 5 * time.Second
)

// Uplink forwards heartbeats to the leader, and makes the fencing calls that the leader requests.
type Uplink struct {
	// Leader returns the name of the peer to forward heartbeats to, or an empty string.
	Leader func() string
	// OpenStream opens a stream to a peer.
	OpenStream func(ctx context.Context, peer, kind string) (net.Conn, *gob.Encoder, error)
	// FencingCall makes a fencing call for the leader. If it is nil, the uplink offers to make none.
	FencingCall func(ctx context.Context, c reachability.FencingCall) *wire.Heartbeat
	Throttle    *throttle.Limiter // limits the concurrency of fencing calls
	Log         *slog.Logger

	mu          sync.Mutex
	stream      *stream
	leader      string    // last result of Leader
	leaderSince time.Time // when leader last changed
	brokenAt    time.Time // when an established stream last ended
	forwarded   uint64
	unanswered  uint64
}

// Counts holds the numbers of forwarded heartbeats and of those that got no answer.
type Counts struct{ Forwarded, Unanswered uint64 }

// Counts returns the current counts.
func (u *Uplink) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Counts{u.forwarded, u.unanswered}
}

// ForwardsTo returns the leader that heartbeats are currently forwarded to, or an empty string.
func (u *Uplink) ForwardsTo() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stream != nil && u.stream.established {
		return u.stream.leader
	}
	return ""
}

// Reconnecting reports whether a stream to the leader is expected to open soon, because one broke or the
// leader changed within the last reconnectGrace.
func (u *Uplink) Reconnecting() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.brokenAt) < reconnectGrace || time.Since(u.leaderSince) < reconnectGrace
}

// Forward forwards a heartbeat to the leader and waits for its answer. ok is false if there is no stream
// to the leader. The result is empty if the leader doesn't answer in time.
func (u *Uplink) Forward(ctx context.Context, heartbeat *wire.Heartbeat) (result worker.HeartbeatResult, ok bool) {
	u.mu.Lock()
	s := u.stream
	if s == nil || !s.established || s.leader != u.Leader() {
		u.mu.Unlock()
		return worker.HeartbeatResult{}, false
	}
	p := &pendingHeartbeat{heartbeat, time.Now(), make(chan worker.HeartbeatResult, 1)}
	s.queue = append(s.queue, p)
	u.forwarded++
	u.mu.Unlock()
	s.wakeSender()
	timeout := time.NewTimer(answerTimeout + answerTimeout/8)
	defer timeout.Stop()
	select {
	case result = <-p.answer:
	case <-timeout.C: // the worker will not wait any longer
	case <-ctx.Done():
	}
	return result, true
}

// Run keeps a stream to the current leader open until the context ends.
func (u *Uplink) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		leader := u.Leader()
		u.mu.Lock()
		if leader != u.leader {
			u.leader, u.leaderSince = leader, time.Now()
		}
		u.mu.Unlock()
		if leader != "" {
			if err = u.runStream(ctx, leader); err != nil && ctx.Err() == nil {
				u.Log.Debug("heartbeat stream ended", "leader", leader, "err", err)
			}
		}
		if !errors.Is(err, errLeaderChanged) {
			store.Backoff(ctx, reconnectDelay)
		}
	}
	return nil
}
