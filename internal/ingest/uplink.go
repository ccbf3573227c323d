package ingest

import (
	"context"
	"encoding/gob"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Uplink passes reports to the holder.
type Uplink struct {
	// Leader names the controller to pass reports to, empty for none.
	Leader func() string
	// OpenStream opens a stream to a sibling.
	OpenStream func(ctx context.Context, sibling, kind string) (net.Conn, *gob.Encoder, error)
	// FencingCall makes a call for the holder; nil makes none.
	FencingCall func(ctx context.Context, c leader.FencingCall) *wire.Heartbeat
	Throttle    *throttle.Limiter // of these calls
	Log         *slog.Logger

	mu          sync.Mutex
	stream      *stream
	leader      string    // that was last named
	leaderSince time.Time // when it first was
	brokenAt    time.Time // when a way that was open last broke
	forwarded   uint64
	unanswered  uint64
}

// Counts are what an edge has done.
type Counts struct{ Forwarded, Unanswered uint64 }

// Counts tells how many reports were passed on, and how many of them had no answer.
func (e *Uplink) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{e.forwarded, e.unanswered}
}

// ForwardsTo names the holder that reports are passed to at the moment, empty for none.
func (e *Uplink) ForwardsTo() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stream != nil && e.stream.proven {
		return e.stream.leader
	}
	return ""
}

// reconnectGrace is for how long a way to the holder that has broken is expected to open again.
const reconnectGrace = 5 * time.Second

// Reconnecting reports whether a way to a holder is expected to open soon: one has broken a
// short while ago, or the holder is new.
func (e *Uplink) Reconnecting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.brokenAt) < reconnectGrace || time.Since(e.leaderSince) < reconnectGrace
}

// Forward gives a report to the holder and waits for what it says. ok is false where
// there is no way to it; where it has said nothing in time, the verdict is empty.
func (e *Uplink) Forward(ctx context.Context, r *wire.Heartbeat) (v worker.HeartbeatResult, ok bool) {
	e.mu.Lock()
	s := e.stream
	if s == nil || !s.proven || s.leader != e.Leader() {
		e.mu.Unlock()
		return worker.HeartbeatResult{}, false
	}
	w := &pendingHeartbeat{r, time.Now(), make(chan worker.HeartbeatResult, 1)}
	s.queue = append(s.queue, w)
	e.forwarded++
	e.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	timeout := time.NewTimer(answerTimeout + answerTimeout/8)
	defer timeout.Stop()
	select {
	case v = <-w.answer:
	case <-timeout.C: // its worker does not wait any longer
	case <-ctx.Done():
	}
	return v, true
}

// Run keeps a stream to whoever holds the fleet until the context ends.
func (e *Uplink) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		leader := e.Leader()
		e.mu.Lock()
		if leader != e.leader {
			e.leader, e.leaderSince = leader, time.Now()
		}
		e.mu.Unlock()
		if leader != "" {
			if err = e.runStream(ctx, leader); err != nil && ctx.Err() == nil {
				e.Log.Debug("stream of reports ended", "holder", leader, "error", err)
			}
		}
		if !errors.Is(err, errLeaderChanged) {
			store.Backoff(ctx, reconnectDelay)
		}
	}
	return nil
}
