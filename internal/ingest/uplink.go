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
	// answerTimeout is how long a heartbeat may wait to be forwarded; its worker waits for 4 s in all.
	answerTimeout = 3 * time.Second
	// reconnectDelay is the pause before a stream that broke is opened again.
	reconnectDelay = 500 * time.Millisecond
	// reconnectGrace is for how long a stream that broke is expected to open again.
	reconnectGrace = 5 * time.Second
)

// Uplink forwards heartbeats to the leader, and makes the fencing calls that the leader asks for.
type Uplink struct {
	// Leader names the peer to forward heartbeats to, empty for none.
	Leader func() string
	// OpenStream opens a stream to a peer.
	OpenStream func(ctx context.Context, peer, kind string) (net.Conn, *gob.Encoder, error)
	// FencingCall makes a call for the leader; nil makes none.
	FencingCall func(ctx context.Context, c reachability.FencingCall) *wire.Heartbeat
	Throttle    *throttle.Limiter // of these calls
	Log         *slog.Logger

	mu          sync.Mutex
	stream      *stream
	leader      string    // as Leader last said
	leaderSince time.Time // when it first said so
	brokenAt    time.Time // when a stream that had proven itself last broke
	forwarded   uint64
	unanswered  uint64
}

// Counts are the heartbeats that were forwarded, and those of them that got no answer.
type Counts struct{ Forwarded, Unanswered uint64 }

// Counts returns the counts so far.
func (u *Uplink) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Counts{u.forwarded, u.unanswered}
}

// ForwardsTo names the leader that heartbeats are forwarded to at present, empty for none.
func (u *Uplink) ForwardsTo() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stream != nil && u.stream.established {
		return u.stream.leader
	}
	return ""
}

// Reconnecting reports whether a stream to the leader is expected to open soon: one broke a short
// while ago, or the leader is new.
func (u *Uplink) Reconnecting() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Since(u.brokenAt) < reconnectGrace || time.Since(u.leaderSince) < reconnectGrace
}

// Forward forwards a heartbeat to the leader and waits for its answer. ok is false where there is
// no stream to it; the result is empty where the leader doesn't answer in time.
func (u *Uplink) Forward(ctx context.Context, r *wire.Heartbeat) (v worker.HeartbeatResult, ok bool) {
	u.mu.Lock()
	s := u.stream
	if s == nil || !s.established || s.leader != u.Leader() {
		u.mu.Unlock()
		return worker.HeartbeatResult{}, false
	}
	p := &pendingHeartbeat{r, time.Now(), make(chan worker.HeartbeatResult, 1)}
	s.queue = append(s.queue, p)
	u.forwarded++
	u.mu.Unlock()
	s.wakeSender()
	timeout := time.NewTimer(answerTimeout + answerTimeout/8)
	defer timeout.Stop()
	select {
	case v = <-p.answer:
	case <-timeout.C: // the worker waits no longer
	case <-ctx.Done():
	}
	return v, true
}

// Run keeps a stream to whoever leads until the context ends.
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
