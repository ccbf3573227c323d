// Package transport accepts and opens connections. Listeners run on gnet's event
// loop with one goroutine for each connection that is served; outgoing calls have
// deadlines and reuse connections. Every buffer and every wait is bounded, so that
// no peer can occupy memory, a goroutine or a socket indefinitely.
package transport

import (
	"context"
	"io"
	"log/slog"
	"net"
	"time"
)

// Stream is an accepted connection as its ServeConn function sees it.
type Stream interface {
	io.ReadWriteCloser
	// SetIdleTimeout sets the timeout of each further Read; 0 means no timeout.
	SetIdleTimeout(time.Duration)
}

// ServeConn serves one accepted connection in its own goroutine. The connection is closed
// when it returns.
type ServeConn func(ctx context.Context, c Stream)

// Network listens for connections and opens them. Tests provide simulated implementations.
type Network interface {
	// Listen serves an address until the context ends, with at most maxConns
	// connections open at once.
	Listen(ctx context.Context, addr string, maxConns int, serve ServeConn) error
	// Dial opens a connection to an address.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// TCPNetwork is the operating system's network: gnet's event loop for incoming connections,
// the standard library's dialer for outgoing ones.
type TCPNetwork struct{ Log *slog.Logger }

// Dial opens a connection to an address.
func (TCPNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen serves an address on its own event loop.
func (n TCPNetwork) Listen(ctx context.Context, addr string, maxConns int, serve ServeConn) error {
	return n.ListenRejecting(ctx, addr, maxConns, serve, nil)
}

// ListenRejecting implements RejectingNetwork.
func (n TCPNetwork) ListenRejecting(ctx context.Context, addr string, maxConns int, serve ServeConn, reject Rejecter) error {
	s := &server{addr: addr, maxConns: int64(maxConns), serve: serve, reject: reject, log: n.Log}
	return s.run(ctx)
}

// Rejecter inspects the first bytes of a connection and returns the response with which to reject
// the connection, or nil to serve it. It is called on the event loop and must not block.
type Rejecter func(first []byte) []byte

// RejectingNetwork is implemented by a Network that can reject connections by their first bytes. That
// costs a fraction of serving them, so that a large number of clients that must retry, at this
// controller or another, does not starve those that can be served.
type RejectingNetwork interface {
	// ListenRejecting is like Listen, but calls reject for each connection first.
	ListenRejecting(ctx context.Context, addr string, maxConns int, serve ServeConn, reject Rejecter) error
}
