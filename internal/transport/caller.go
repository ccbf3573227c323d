package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
)

// maxIdle bounds the connections to one address that are kept for reuse.
const maxIdle = 4

// idleLife is how long an unused connection is kept.
const idleLife = 15 * time.Second

// Caller makes calls out. Every call has a deadline and reuses connections; a
// silent peer costs a time-out only to its own callers.
type Caller struct {
	Limit int64 // of an answer's body
	Keep  int   // unused connections that are kept in all; 0 stands for no bound
	Dial  func(ctx context.Context, addr string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*outConn
	kept  int // of them in all
	swept time.Time
}

// ErrNotSent means that the request was never sent: no connection came about,
// and one that was given up does not complete later.
var ErrNotSent = errors.New("not sent")

type outConn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time
}

// Call sends a request and waits for its answer until the context ends. An
// error leaves open whether the peer has executed the request.
func (c *Caller) Call(ctx context.Context, addr, method, target string, body []byte) (*httpwire.Response, error) {
	conn, reused, err := c.take(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := c.exchange(ctx, conn, addr, method, target, body)
	if err != nil && reused && method == "GET" && ctx.Err() == nil {
		// The peer may have closed the kept connection; a read can be repeated.
		if conn, err = c.dial(ctx, addr); err == nil {
			resp, err = c.exchange(ctx, conn, addr, method, target, body)
		}
	}
	return resp, err
}

func (c *Caller) exchange(ctx context.Context, conn *outConn, addr, method, target string, body []byte) (*httpwire.Response, error) {
	if d, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(d)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(httpwire.AppendRequest(nil, addr, method, target, body)); err != nil {
		conn.Close()
		return nil, err
	}
	resp, err := httpwire.ReadResponse(conn.r, c.Limit)
	if err != nil {
		conn.Close()
		return nil, err
	}
	if resp.Close || !stop() {
		conn.Close()
	} else {
		c.give(addr, conn)
	}
	return resp, nil
}

func (c *Caller) take(ctx context.Context, addr string) (*outConn, bool, error) {
	c.mu.Lock()
	for n := len(c.idle[addr]); n > 0; n-- {
		conn := c.idle[addr][n-1]
		c.idle[addr] = c.idle[addr][:n-1]
		c.kept--
		if time.Since(conn.since) < idleLife {
			c.mu.Unlock()
			return conn, true, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	conn, err := c.dial(ctx, addr)
	return conn, false, err
}

func (c *Caller) dial(ctx context.Context, addr string) (*outConn, error) {
	conn, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &outConn{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}, nil
}

func (c *Caller) give(addr string, conn *outConn) {
	_ = conn.SetDeadline(time.Time{})
	conn.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*outConn)
	}
	if len(c.idle[addr]) >= maxIdle || c.Keep > 0 && c.kept >= c.Keep {
		conn.Close()
	} else {
		c.idle[addr] = append(c.idle[addr], conn)
		c.kept++
	}
	if time.Since(c.swept) > idleLife/4 {
		c.sweep()
	}
}

// sweep closes the connections that were not used for long: with thousands of
// addresses, kept ones would take all sockets.
func (c *Caller) sweep() {
	c.swept = time.Now()
	for addr, conns := range c.idle {
		rest := slices.DeleteFunc(conns, func(o *outConn) bool {
			old := time.Since(o.since) > idleLife
			if old {
				o.Close()
				c.kept--
			}
			return old
		})
		if c.idle[addr] = rest; len(rest) == 0 {
			delete(c.idle, addr)
		}
	}
}
