// Package peer is what controllers tell each other: a beat a second, in gob,
// with counts for display and signs of health, and streams of other kinds. Nothing
// that a rule rests on goes this way.
package peer

import (
	"context"
	"encoding/gob"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/internal/zone"
)

// Heartbeat is what one controller says of itself.
type Heartbeat struct {
	From    string
	StoreOK bool                          // the store answers it
	Term    uint64                        // of the part that it holds, 0 for none
	Counts  map[string]leader.TaskCount   // of the jobs, from the holder
	Heard   int                           // machines that reported to it lately
	Format  int                           // of the state that it writes, 0 for version 1
	Passes  string                        // the holder that it passes reports on to, if any
	Ways    []string                      // all of them, where the fleet is in several parts
	Groups  string                        // how it is set to divide the fleet
	Tiers   string                        // how its tiers of work are set, in short
	Parts   map[string]leader.ShardStatus // of the parts that it holds, where there are several
	Says    membership.HeartbeatAges      // for how long it has not heard each sibling
	UpS     int                           // seconds since it began
	Begun   int64                         // when it did, by its clock; 0 from a version that does not say it
	Number  uint64                        // of the beats since then
	Sights  map[string]zone.Observation   // what it sees of the machines of each zone
	Writes  bool                          // it writes what siblings forward; false from a version that does not
	Stream  string                        // what the connection is for, in its first beat; empty: beats
}

// StreamHandler serves a connection that a sibling has opened for something else than beats.
type StreamHandler func(ctx context.Context, from string, c transport.Stream, dec *gob.Decoder)

type received struct {
	heartbeat Heartbeat
	at        time.Time
}

// Mesh keeps the last beat of each sibling.
type Mesh struct {
	Peers       map[string]string // name to address
	Local       func() Heartbeat
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Log         *slog.Logger
	Handlers    map[string]StreamHandler // by what they are for
	OnHeartbeat func(Heartbeat)          // is told each beat

	mu           sync.Mutex
	last         map[string]received
	incarnations membership.Incarnations
}

// Interval is the time between two beats.
const Interval = membership.HeartbeatInterval

// Latest gives the latest beats that are no older than age.
func (m *Mesh) Latest(age time.Duration) map[string]Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Heartbeat)
	for name, h := range m.last {
		if time.Since(h.at) <= age {
			out[name] = h.heartbeat
		}
	}
	return out
}

// PeerWithOlderFormat names a sibling that lately said that it writes an older form of the
// state, or nothing.
func (m *Mesh) PeerWithOlderFormat(age time.Duration, format int) string {
	for name, b := range m.Latest(age) {
		if b.Format < format {
			return name
		}
	}
	return ""
}

// Receive reads the beats of one connection.
func (m *Mesh) Receive(ctx context.Context, c transport.Stream) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetIdle(10 * time.Second)
	dec := gob.NewDecoder(c)
	for {
		var b Heartbeat
		if err := dec.Decode(&b); err != nil {
			return
		}
		if _, known := m.Peers[b.From]; !known {
			m.Log.Warn("beat of a stranger", "from", b.From)
			return
		}
		if b.Stream != "" {
			m.mu.Lock()
			superseded := m.incarnations.Superseded(time.Now(), b.From, b.Begun) // or it would end the stream of the present one
			m.mu.Unlock()
			if serve := m.Handlers[b.Stream]; serve != nil && !superseded {
				serve(ctx, b.From, c, dec)
			}
			return
		}
		m.mu.Lock()
		if !m.incarnations.Accept(time.Now(), b.From, b.Begun, b.Number) {
			m.mu.Unlock()
			continue
		}
		if m.last == nil {
			m.last = make(map[string]received)
		}
		m.last[b.From] = received{b, time.Now()}
		m.mu.Unlock()
		if m.OnHeartbeat != nil {
			m.OnHeartbeat(b)
		}
	}
}

// SendHeartbeats keeps telling one sibling until the context ends.
func (m *Mesh) SendHeartbeats(ctx context.Context, addr string) error {
	for ctx.Err() == nil {
		if err := m.sendUntilError(ctx, addr); err != nil && ctx.Err() == nil {
			m.Log.Debug("sibling not reached", "addr", addr, "error", err)
		}
		store.Backoff(ctx, Interval)
	}
	return nil
}

// OpenStream opens a connection to a sibling for something else than beats.
func (m *Mesh) OpenStream(ctx context.Context, peer, kind string) (net.Conn, *gob.Encoder, error) {
	addr, known := m.Peers[peer]
	if !known {
		return nil, nil, fmt.Errorf("%q is no sibling", peer)
	}
	conn, err := m.Dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	enc := gob.NewEncoder(conn)
	first := m.Local()
	first.Stream, first.Counts, first.Parts, first.Sights = kind, nil, nil, nil
	_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
	if err := enc.Encode(first); err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, enc, nil
}

func (m *Mesh) sendUntilError(ctx context.Context, addr string) error {
	dial, cancel := context.WithTimeout(ctx, 2*time.Second)
	conn, err := m.Dial(dial, addr)
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close()
	enc := gob.NewEncoder(conn)
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
		if err := enc.Encode(m.Local()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
