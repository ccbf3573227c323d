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

const (
	// maxIdlePerAddr limits the idle connections to one address that are kept for reuse.
	maxIdlePerAddr = 4
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 15 * time.Second
	// expiryCheckInterval is the minimum time between two searches for expired idle connections.
	expiryCheckInterval = idleTimeout / 4
	// responseBufferBytes is the size of the buffer that responses are parsed from.
	responseBufferBytes = 4 << 10
)

// Client is an HTTP client that reuses connections. Every call ends with its context, so
// that an unresponsive peer delays only calls to itself.
type Client struct {
	MaxBody int64 // maximum size of a response body in bytes
	MaxIdle int   // maximum number of idle connections to all addresses; 0 means no limit
	Dial    func(ctx context.Context, addr string) (net.Conn, error)

	mu              sync.Mutex
	idle            map[string][]*clientConn
	idleCount       int // number of idle connections to all addresses
	lastExpiryCheck time.Time
}

// ErrNotSent means that no connection could be opened and the request was certainly not
// sent.
var ErrNotSent = errors.New("not sent")

// clientConn is an outgoing connection.
type clientConn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time
}

// Call sends a request and waits for the response until the context ends. After any error
// other than ErrNotSent, the peer may or may not have executed the request.
func (c *Client) Call(ctx context.Context, addr, method, target string, body []byte) (*httpwire.Response, error) {
	conn, reused, err := c.getConn(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := c.exchange(ctx, conn, addr, method, target, body)
	if err != nil && reused && method == "GET" && ctx.Err() == nil {
		// The peer may have closed the idle connection in the meantime. A GET is idempotent and can be repeated.
		if conn, err = c.dial(ctx, addr); err == nil {
			resp, err = c.exchange(ctx, conn, addr, method, target, body)
		}
	}
	return resp, err
}

// exchange sends a request on a connection and reads the response. It then keeps the
// connection for reuse or closes it.
func (c *Client) exchange(ctx context.Context, conn *clientConn, addr, method, target string, body []byte) (*httpwire.Response, error) {
	if d, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(d)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(httpwire.AppendRequest(nil, addr, method, target, body)); err != nil {
		conn.Close()
		return nil, fmt.Errorf("send %s %s to %s: %w", method, target, addr, err)
	}
	resp, err := httpwire.ReadResponse(conn.r, c.MaxBody)
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("read response to %s %s from %s: %w", method, target, addr, err)
	}
	if resp.Close || !stop() {
		conn.Close()
	} else {
		c.putConn(addr, conn)
	}
	return resp, nil
}

// getConn returns an idle connection to an address, or opens one. It reports whether the connection is reused.
func (c *Client) getConn(ctx context.Context, addr string) (*clientConn, bool, error) {
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

func (c *Client) dial(ctx context.Context, addr string) (*clientConn, error) {
	conn, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, r: bufio.NewReaderSize(conn, responseBufferBytes)}, nil
}

// putConn keeps a connection for reuse, or closes it if enough connections are idle already.
func (c *Client) putConn(addr string, conn *clientConn) {
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
	if time.Since(c.lastExpiryCheck) > expiryCheckInterval {
		c.closeExpired()
	}
}

// closeExpired closes connections that have been idle for too long. With thousands of addresses
// they would otherwise use up all sockets. The caller must hold the lock.
func (c *Client) closeExpired() {
	c.lastExpiryCheck = time.Now()
	for addr, conns := range c.idle {
		kept := slices.DeleteFunc(conns, func(conn *clientConn) bool {
			expired := time.Since(conn.idleSince) > idleTimeout
			if expired {
				conn.Close()
				c.idleCount--
			}
			return expired
		})
		if c.idle[addr] = kept; len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}
