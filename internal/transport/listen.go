// Package transport moves bytes: listeners and connections on gnet's event
// loop, a goroutine for each connection, and calls out with deadlines.
package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"

	"amberdeal.example/amberdeal/internal/httpwire"
)

// maxPending bounds the bytes of a connection that wait for its goroutine.
const maxPending = 128 << 10

// maxUnread bounds the bytes of a connection that wait for its peer.
const maxUnread = 256 << 10

// firstByteTimeout bounds how long a new connection may stay without a byte.
const firstByteTimeout = 30 * time.Second

// requestTimeout bounds how long one request may take to come in whole.
const requestTimeout = 10 * time.Second

// Conn is an accepted connection: gnet's loop fills it, its goroutine reads
// and writes it.
type Conn struct {
	conn           gnet.Conn
	mu             sync.Mutex
	pending        []byte
	closed         bool
	wake           chan struct{}
	idle           time.Duration
	firstByteTimer *time.Timer // ends a connection on which nothing ever came
	serving        bool        // its goroutine runs; of the loop alone
}

// SetIdle bounds each Read from now on; 0 means no bound.
func (c *Conn) SetIdle(d time.Duration) { c.idle = d }

// Read waits for bytes of the peer. Those of a peer that has gone are not read: nobody
// waits for an answer any more, and under a heavy load most that is late is such.
func (c *Conn) Read(p []byte) (int, error) {
	var expired <-chan time.Time
	for {
		c.mu.Lock()
		if len(c.pending) > 0 && !c.closed {
			n := copy(p, c.pending)
			c.pending = c.pending[n:]
			if len(c.pending) == 0 {
				c.pending = nil
			}
			c.mu.Unlock()
			return n, nil
		}
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		if expired == nil && c.idle > 0 {
			t := time.NewTimer(c.idle)
			defer t.Stop()
			expired = t.C
		}
		select {
		case <-c.wake:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Write hands bytes to the loop.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, io.ErrClosedPipe
	}
	if err := c.conn.AsyncWrite(append([]byte(nil), p...), closeUnread); err != nil {
		return 0, err
	}
	return len(p), nil
}

// closeUnread ends a connection whose peer asks and asks and reads no answers,
// which would pile up here. The loop calls it after each write.
func closeUnread(c gnet.Conn, err error) error {
	if err == nil && c.OutboundBuffered() > maxUnread {
		return c.Close()
	}
	return nil
}

// Close ends the connection after what was written.
func (c *Conn) Close() error { return c.conn.Close() }

func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// feed takes bytes from the loop; false means that the peer sent too much.
func (c *Conn) feed(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending)+len(b) > maxPending {
		return false
	}
	c.pending = append(c.pending, b...)
	c.signal()
	return true
}

func (c *Conn) markClosed() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.signal()
}

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

// server is gnet's view of one listening address.
type server struct {
	gnet.BuiltinEventEngine
	addr   string
	conns  int64
	serve  ServeConn
	reject Rejecter
	log    *slog.Logger

	ctx     context.Context
	engine  gnet.Engine
	booted  atomic.Bool
	open    atomic.Int64
	serving sync.WaitGroup
	// Of the loop alone: connections that were refused since that was last told.
	refused     int
	lastWarning time.Time
}

// refusalLogInterval is the time between two lines that tell of refused connections.
const refusalLogInterval = 10 * time.Second

func (s *server) run(ctx context.Context) error {
	s.ctx = ctx
	done := make(chan error, 1)
	go func() {
		done <- gnet.Run(s, "tcp://"+s.addr, gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
			gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithReadBufferCap(16<<10), gnet.WithWriteBufferCap(64<<10),
			gnet.WithLogger(gnetLogger{s.log}), gnet.WithLogLevel(logging.ErrorLevel))
	}()
	select {
	case err := <-done:
		if err == nil {
			err = errors.New("listener ended")
		}
		return err
	case <-ctx.Done():
	}
	if s.booted.Load() {
		stop, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = s.engine.Stop(stop)
	}
	s.serving.Wait()
	return nil
}

// OnBoot is called by gnet.
func (s *server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	s.booted.Store(true)
	return gnet.None
}

// OnOpen is called by gnet for each new connection.
func (s *server) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	if s.open.Add(1) > s.conns {
		s.refused++
		if now := time.Now(); now.Sub(s.lastWarning) > refusalLogInterval { // a line for each would cost more than the refusal
			s.log.Warn("connections refused: too many are open", "addr", s.addr, "limit", s.conns, "refused", s.refused)
			s.lastWarning, s.refused = now, 0
		}
		return nil, gnet.Close
	}
	c := &Conn{conn: g, wake: make(chan struct{}, 1)}
	c.firstByteTimer = time.AfterFunc(firstByteTimeout, func() { _ = c.Close() })
	g.SetContext(c)
	return nil, gnet.None
}

// startServing starts the goroutine of a connection.
func (s *server) startServing(c *Conn) {
	c.serving = true
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		defer c.Close()
		s.serve(s.ctx, c)
	}()
}

// OnClose is called by gnet when a connection is gone.
func (s *server) OnClose(g gnet.Conn, _ error) gnet.Action {
	s.open.Add(-1)
	if c, ok := g.Context().(*Conn); ok {
		c.firstByteTimer.Stop()
		c.markClosed()
	}
	return gnet.None
}

// OnTraffic is called by gnet when bytes have come.
func (s *server) OnTraffic(g gnet.Conn) gnet.Action {
	c, ok := g.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	b, _ := g.Next(-1)
	if !c.serving {
		c.firstByteTimer.Stop()
		if s.reject != nil {
			if answer := s.reject(b); answer != nil {
				_, _ = g.Write(answer)
				return gnet.Close
			}
		}
		s.startServing(c)
	}
	if !c.feed(b) {
		return gnet.Close
	}
	return gnet.None
}

// gnetLogger keeps gnet's own words in our log.
type gnetLogger struct{ log *slog.Logger }

func (q gnetLogger) Debugf(string, ...any)     {}
func (q gnetLogger) Infof(string, ...any)      {}
func (q gnetLogger) Warnf(f string, a ...any)  { q.log.Debug("gnet", "warn", f, "args", a) }
func (q gnetLogger) Errorf(f string, a ...any) { q.log.Debug("gnet", "error", f, "args", a) }
func (q gnetLogger) Fatalf(f string, a ...any) { q.log.Error("gnet", "fatal", f, "args", a) }

// Handler answers one request.
type Handler func(ctx context.Context, r *httpwire.Request) *httpwire.Response

// HTTP serves requests, one after the other, on a connection. A peer that is
// silent for longer than idle, or slower with one request than requestTime, is
// closed.
func HTTP(limit int64, idle time.Duration, h Handler) ServeConn {
	return func(ctx context.Context, c Stream) {
		c.SetIdle(idle)
		stop := context.AfterFunc(ctx, func() { c.Close() })
		defer stop()
		r := bufio.NewReaderSize(c, 4<<10)
		for {
			if _, err := r.Peek(1); err != nil {
				return
			}
			slow := time.AfterFunc(requestTimeout, func() { c.Close() })
			req, err := httpwire.ReadRequest(r, limit)
			slow.Stop()
			var fault *httpwire.Error
			switch {
			case errors.As(err, &fault):
				_, _ = c.Write(httpwire.AppendResponse(nil, &httpwire.Response{Status: fault.Status, Close: true}))
				return
			case err != nil:
				return
			}
			resp := h(ctx, req)
			resp.Close = resp.Close || req.Close
			if _, err := c.Write(httpwire.AppendResponse(nil, resp)); err != nil || resp.Close {
				return
			}
		}
	}
}
