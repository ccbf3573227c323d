// Package transport accepts and opens connections. Listeners run on gnet's event
// loop with one goroutine for each connection that is served; outgoing calls have
// deadlines and reuse connections. Every buffer and every wait is bounded, so that
// no peer can hold memory, a goroutine or a socket for ever.
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
	// SetIdle bounds each Read from now on; 0 means no bound.
	SetIdle(time.Duration)
}

// ServeConn serves one accepted connection, in a goroutine of its own. The connection is
// closed when it returns.
type ServeConn func(ctx context.Context, c Stream)

// Network is how a controller reaches the world; a test may bring its own.
type Network interface {
	// Listen serves an address until the context ends, with at most conns
	// connections open at once.
	Listen(ctx context.Context, addr string, conns int, serve ServeConn) error
	// Dial opens a connection out.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// Sockets is the operating system's network: gnet's event loop for incoming connections,
// the standard library's dialer for outgoing ones.
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

// ListenRejecting implements RejectingNetwork.
func (n Sockets) ListenRejecting(ctx context.Context, addr string, conns int, serve ServeConn, reject Rejecter) error {
	s := &server{addr: addr, maxConns: int64(conns), serve: serve, reject: reject, log: n.Log}
	return s.run(ctx)
}

// Rejecter looks at the first bytes of a connection and returns the response with which it is
// rejected, or nil if it is to be served. It is called on the event loop and must not block.
type Rejecter func(first []byte) []byte

// RejectingNetwork is a Network that can reject connections by their first bytes. That costs a
// fraction of serving them, so that a crowd of clients which must retry, here or elsewhere,
// does not starve those that can be served.
type RejectingNetwork interface {
	// ListenRejecting is Listen, with each connection first shown to reject.
	ListenRejecting(ctx context.Context, addr string, conns int, serve ServeConn, turn Rejecter) error
}
