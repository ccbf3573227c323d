// Package peer implements the connections between controllers: a heartbeat every second with the
// sender's health, load, and counts for display, and streams of other kinds on the same port. No
// safety property depends on it: any heartbeat may be lost, late, or from a process that has ended.
package peer

import (
	"context"
	"encoding/gob"
	"log/slog"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/transport"
)

const (
	// Interval is the time between two heartbeats.
	Interval = membership.HeartbeatInterval
	// receiveTimeout is the time without a heartbeat after which a connection is closed.
	receiveTimeout = 10 * time.Second
)

// StreamHandler serves a connection that a peer has opened for something other than heartbeats.
type StreamHandler func(ctx context.Context, from string, c transport.Stream, dec *gob.Decoder)

// Mesh exchanges heartbeats with all peers and keeps the latest status of each.
type Mesh struct {
	Peers       map[string]string // addresses by name
	Local       func() Status     // returns the status of this controller
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Log         *slog.Logger
	Handlers    map[string]StreamHandler // by stream kind
	OnHeartbeat func(Status)             // called for each heartbeat that is not duplicate or obsolete; may be nil

	mu           sync.Mutex
	lastStatus   map[string]receivedStatus
	incarnations membership.Incarnations
}

// receivedStatus is a peer's status and the time when it was received.
type receivedStatus struct {
	status Status
	at     time.Time
}

// Latest returns the latest status of each peer, omitting those older than age.
func (m *Mesh) Latest(age time.Duration) map[string]Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Status)
	for name, r := range m.lastStatus {
		if time.Since(r.at) <= age {
			out[name] = r.status
		}
	}
	return out
}

// PeerWithOlderFormat returns the name of a peer that writes an older format of the state than format,
// according to heartbeats no older than age. It returns an empty string if there is none.
func (m *Mesh) PeerWithOlderFormat(age time.Duration, format int) string {
	for name, s := range m.Latest(age) {
		if s.Format < format {
			return name
		}
	}
	return ""
}

// Receive serves a connection that a peer has opened, for heartbeats or for a stream of another kind.
func (m *Mesh) Receive(ctx context.Context, c transport.Stream) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetIdleTimeout(receiveTimeout)
	dec := gob.NewDecoder(c)
	for {
		var h Heartbeat
		if err := dec.Decode(&h); err != nil {
			return
		}
		if _, known := m.Peers[h.From]; !known {
			m.Log.Warn("heartbeat of an unknown controller", "peer", h.From)
			return
		}
		if h.Stream != "" {
			m.handleStream(ctx, &h, c, dec)
			return
		}
		if s := h.status(); m.accept(s) && m.OnHeartbeat != nil {
			m.OnHeartbeat(s)
		}
	}
}

// handleStream serves a stream unless an earlier incarnation of the peer opened it: serving that one
// would end the stream of the current incarnation.
func (m *Mesh) handleStream(ctx context.Context, first *Heartbeat, c transport.Stream, dec *gob.Decoder) {
	m.mu.Lock()
	superseded := m.incarnations.Superseded(time.Now(), first.From, first.Begun)
	m.mu.Unlock()
	if serve := m.Handlers[first.Stream]; serve != nil && !superseded {
		serve(ctx, first.From, c, dec)
	}
}

// accept stores the status of a new heartbeat, and reports whether the heartbeat was new.
func (m *Mesh) accept(s Status) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.incarnations.Accept(time.Now(), s.Name, s.Incarnation, s.Sequence) {
		return false
	}
	if m.lastStatus == nil {
		m.lastStatus = make(map[string]receivedStatus)
	}
	m.lastStatus[s.Name] = receivedStatus{s, time.Now()}
	return true
}
