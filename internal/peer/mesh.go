// Package peer is what controllers tell each other: a heartbeat a second with their health, their
// load and counts for display, and streams of other kinds on the same port. No safety rule rests
// on it: every heartbeat may be lost, late, or of a process that has gone.
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
	// receiveTimeout is after how long without a heartbeat its connection is closed.
	receiveTimeout = 10 * time.Second
)

// StreamHandler serves a connection that a peer has opened for something else than heartbeats.
type StreamHandler func(ctx context.Context, from string, c transport.Stream, dec *gob.Decoder)

// Mesh exchanges heartbeats with every peer and keeps the last one of each.
type Mesh struct {
	Peers       map[string]string // name to address
	Local       func() Status     // of this controller
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Log         *slog.Logger
	Handlers    map[string]StreamHandler // by kind of stream
	OnHeartbeat func(Status)             // is called with each heartbeat that is news; nil for nothing

	mu           sync.Mutex
	lastStatus   map[string]receivedStatus
	incarnations membership.Incarnations
}

// received is the last heartbeat of a peer.
type receivedStatus struct {
	status Status
	at     time.Time
}

// Latest returns the peers' last heartbeats that are no older than age.
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

// PeerWithOlderFormat names a peer whose last heartbeat within age says that it writes an older
// format of the state, or nothing.
func (m *Mesh) PeerWithOlderFormat(age time.Duration, format int) string {
	for name, s := range m.Latest(age) {
		if s.Format < format {
			return name
		}
	}
	return ""
}

// Receive serves a connection that a peer has opened: its heartbeats, or a stream of another kind.
func (m *Mesh) Receive(ctx context.Context, c transport.Stream) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetIdle(receiveTimeout)
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

// handleStream serves a stream, unless it was opened by an earlier incarnation of the peer: it
// would end the stream of the present one.
func (m *Mesh) handleStream(ctx context.Context, first *Heartbeat, c transport.Stream, dec *gob.Decoder) {
	m.mu.Lock()
	superseded := m.incarnations.Superseded(time.Now(), first.From, first.Begun)
	m.mu.Unlock()
	if serve := m.Handlers[first.Stream]; serve != nil && !superseded {
		serve(ctx, first.From, c, dec)
	}
}

// accept keeps a heartbeat, and reports whether it is news.
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
