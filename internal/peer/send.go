package peer

import (
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"time"

	"amberdeal.example/amberdeal/internal/store"
)

const (
	dialTimeout = 2 * time.Second
	sendTimeout = 3 * time.Second // for writing one message to the connection
)

// SendHeartbeats sends heartbeats to one peer until the context ends, and reconnects after each
// failure.
func (m *Mesh) SendHeartbeats(ctx context.Context, addr string) error {
	for ctx.Err() == nil {
		if err := m.sendUntilError(ctx, addr); err != nil && ctx.Err() == nil {
			m.Log.Debug("peer unreachable", "addr", addr, "err", err)
		}
		store.Backoff(ctx, Interval)
	}
	return nil
}

// sendUntilError sends heartbeats on one connection until it fails or the context ends.
func (m *Mesh) sendUntilError(ctx context.Context, addr string) error {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := m.Dial(dial, addr)
	cancel()
	if err != nil {
		return fmt.Errorf("connect to %s: %w", addr, err)
	}
	defer conn.Close()
	enc := gob.NewEncoder(conn)
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		local := m.Local()
		if err := send(conn, enc, local.heartbeat()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// OpenStream opens a connection to a peer for a stream of the given kind. The first message is a
// heartbeat that names the kind and omits the counts, shards and observations, which only regular
// heartbeats need. The caller must close the connection.
func (m *Mesh) OpenStream(ctx context.Context, peer, kind string) (net.Conn, *gob.Encoder, error) {
	addr, known := m.Peers[peer]
	if !known {
		return nil, nil, fmt.Errorf("open a stream of %s: %q is not a peer", kind, peer)
	}
	conn, err := m.Dial(ctx, addr)
	if err != nil {
		return nil, nil, fmt.Errorf("open a stream of %s to %s: %w", kind, peer, err)
	}
	enc := gob.NewEncoder(conn)
	local := m.Local()
	first := local.heartbeat()
	first.Stream, first.Counts, first.Parts, first.Sights = kind, nil, nil, nil
	if err := send(conn, enc, first); err != nil {
		conn.Close()
		return nil, nil, fmt.Errorf("open a stream of %s to %s: %w", kind, peer, err)
	}
	return conn, enc, nil
}

// send writes one message, and fails if that takes longer than sendTimeout.
func send(conn net.Conn, enc *gob.Encoder, h Heartbeat) error {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err := enc.Encode(h); err != nil {
		return fmt.Errorf("send a heartbeat: %w", err)
	}
	return nil
}
