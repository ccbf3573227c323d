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

// maxIdlePerAddr bounds the connections to one address that are kept for reuse.
const maxIdlePerAddr = 4

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 15 * time.Second

// Caller makes calls out. Every call has a deadline and reuses connections; a
// silent peer costs a time-out only to its own callers.
type Caller struct {
	MaxBody int64 // of an answer's body
	MaxIdle int   // unused connections that are kept in all; 0 stands for no bound
	Dial    func(ctx context.Context, addr string) (net.Conn, error)

	mu        sync.Mutex
	idle      map[string][]*clientConn
	idleCount int // of them in all
	lastSweep time.Time
}

// ErrNotSent means that the request was never sent: no connection came about,
// and one that was given up does not complete later.
var ErrNotSent = errors.New("not sent")

type clientConn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time
}

// Call sends a request and waits for its answer until the context ends. An
// error leaves open whether the peer has executed the request.
func (c *Caller) Call(ctx context.Context, addr, method, target string, body []byte) (*httpwire.Response, error) {
	conn, reused, err := c.getConn(ctx, addr)
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

func (c *Caller) exchange(ctx context.Context, conn *clientConn, addr, method, target string, body []byte) (*httpwire.Response, error) {
	if d, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(d)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(httpwire.AppendRequest(nil, addr, method, target, body)); err != nil {
		conn.Close()
		return nil, err
	}
	resp, err := httpwire.ReadResponse(conn.r, c.MaxBody)
	if err != nil {
		conn.Close()
		return nil, err
	}
	if resp.Close || !stop() {
		conn.Close()
	} else {
		c.putConn(addr, conn)
	}
	return resp, nil
}

func (c *Caller) getConn(ctx context.Context, addr string) (*clientConn, bool, error) {
	c.mu.Lock()
	for n := len(c.idle[addr]); n > 0; n-- {
		conn := c.idle[addr][n-1]
		c.idle[addr] = c.idle[addr][:n-1]
		c.idleCount--
		if time.Since(conn.idleSince) < idleTimeout {
			c.mu.Unlock()
			return conn, true, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	conn, err := c.dial(ctx, addr)
	return conn, false, err
}

func (c *Caller) dial(ctx context.Context, addr string) (*clientConn, error) {
	conn, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}, nil
}

func (c *Caller) putConn(addr string, conn *clientConn) {
	_ = conn.SetDeadline(time.Time{})
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(map[string][]*clientConn)
	}
	if len(c.idle[addr]) >= maxIdlePerAddr || c.MaxIdle > 0 && c.idleCount >= c.MaxIdle {
		conn.Close()
	} else {
		c.idle[addr] = append(c.idle[addr], conn)
		c.idleCount++
	}
	if time.Since(c.lastSweep) > idleTimeout/4 {
		c.sweep()
	}
}

// sweep closes the connections that were not used for long: with thousands of
// addresses, kept ones would take all sockets.
func (c *Caller) sweep() {
	c.lastSweep = time.Now()
	for addr, conns := range c.idle {
		rest := slices.DeleteFunc(conns, func(o *clientConn) bool {
			old := time.Since(o.idleSince) > idleTimeout
			if old {
				o.Close()
				c.idleCount--
			}
			return old
		})
		if c.idle[addr] = rest; len(rest) == 0 {
			delete(c.idle, addr)
		}
	}
}
