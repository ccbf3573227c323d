// Package transport moves bytes: listeners and connections on gnet's event
// loop, a goroutine for each connection, and calls out with deadlines.
package transport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"time"
)

// Stream is an accepted connection as its goroutine sees it.
type Stream interface {
	io.ReadWriteCloser
	// SetIdle bounds each Read from now on; 0 means no bound.
	SetIdle(time.Duration)
}

// ServeConn is run in a goroutine for each accepted connection.
type ServeConn func(ctx context.Context, c Stream)

// Network is how a controller reaches the world; a test may bring its own.
type Network interface {
	// Listen serves an address until the context ends, so many connections at
	// the most.
	Listen(ctx context.Context, addr string, conns int, serve ServeConn) error
	// Dial opens a connection out.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Sockets is the real network: gnet's event loop for what comes in, the
// library's dialer for what goes out.
type Sockets struct{ Log *slog.Logger }

// Dial opens a connection out.
func (Sockets) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen serves an address on an event loop of its own.
func (n Sockets) Listen(ctx context.Context, addr string, conns int, serve ServeConn) error {
	return n.ListenRejecting(ctx, addr, conns, serve, nil)
}

// ListenRejecting implements Turner.
func (n Sockets) ListenRejecting(ctx context.Context, addr string, conns int, serve ServeConn, reject Rejecter) error {
	s := &server{addr: addr, conns: int64(conns), serve: serve, reject: reject, log: n.Log}
	return s.run(ctx)
}

// Rejecter looks at the first bytes of a connection and gives the answer that turns its peer
// away, or nil where the connection is to be served. It is called by the loop, and must
// take no time.
type Rejecter func(first []byte) []byte

// RejectingNetwork is a Network that can turn peers away by the first bytes that they send. It
// costs a fraction of serving them, so that a crowd which is to come again, or to go
// elsewhere, doesn't keep those from being served that can be.
type RejectingNetwork interface {
	ListenRejecting(ctx context.Context, addr string, conns int, serve ServeConn, turn Rejecter) error
}
