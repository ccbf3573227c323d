package transport

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// maxPendingBytes limits the bytes received on a connection that its goroutine has not read yet.
const maxPendingBytes = 128 << 10

// maxOutboundBytes limits the bytes written to a connection that have not been sent to its peer yet.
const maxOutboundBytes = 256 << 10

// Conn is an accepted connection. gnet's event loop passes received bytes to it, and the goroutine
// that serves the connection reads from it and writes to it.
type Conn struct {
	conn gnet.Conn
	wake chan struct{} // holds at most one signal for a waiting Read
	idle time.Duration // timeout of each Read; 0 means no timeout

	firstByteTimer *time.Timer // closes the connection if nothing arrives on it
	serving        bool        // whether its goroutine has been started; used on the event loop only

	mu      sync.Mutex
	pending []byte // received but not read yet
	closed  bool
}

// SetIdleTimeout sets the timeout of each further Read; 0 means no timeout.
func (c *Conn) SetIdleTimeout(d time.Duration) { c.idle = d }

// Read waits for bytes from the peer. Once the peer has closed the connection, unread bytes are
// discarded: the peer no longer waits for a response, and under heavy load most late requests are
// of this kind.
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
			timer := time.NewTimer(c.idle)
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-c.wake:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Write hands a copy of p to the event loop, which sends it.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, io.ErrClosedPipe
	}
	if err := c.conn.AsyncWrite(append([]byte(nil), p...), closeIfResponsesUnread); err != nil {
		return 0, err
	}
	return len(p), nil
}

// closeIfResponsesUnread closes a connection whose peer keeps sending requests without reading the
// responses, which would accumulate in memory. The event loop calls it after each write.
func closeIfResponsesUnread(c gnet.Conn, err error) error {
	if err == nil && c.OutboundBuffered() > maxOutboundBytes {
		return c.Close()
	}
	return nil
}

// Close closes the connection once everything written to it has been sent.
func (c *Conn) Close() error { return c.conn.Close() }

// signal wakes a waiting Read.
func (c *Conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// feed appends bytes that the event loop received. It returns false if the peer sends faster than its
// requests are read.
func (c *Conn) feed(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending)+len(b) > maxPendingBytes {
		return false
	}
	c.pending = append(c.pending, b...)
	c.signal()
	return true
}

// markClosed makes every further Read and Write fail.
func (c *Conn) markClosed() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.signal()
}
