package transport

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// maxPendingBytes bounds the bytes received on a connection that its goroutine has not read yet.
const maxPendingBytes = 128 << 10

// maxOutboundBytes bounds the bytes written to a connection that its peer has not taken yet.
const maxOutboundBytes = 256 << 10

// Conn is an accepted connection. gnet's event loop feeds it, and the goroutine that serves
// it reads and writes it.
type Conn struct {
	conn gnet.Conn
	wake chan struct{} // has room for one signal to a waiting Read
	idle time.Duration // bounds each Read; 0 means no bound

	firstByteTimer *time.Timer // closes a connection on which nothing ever arrived
	serving        bool        // its goroutine has been started; used on the event loop only

	mu      sync.Mutex
	pending []byte // received and not read yet
	closed  bool
}

// SetIdle bounds each Read from now on; 0 means no bound.
func (c *Conn) SetIdle(d time.Duration) { c.idle = d }

// Read waits for bytes from the peer. What a peer has sent before it closed the connection
// is discarded: nobody waits for the response any more, and under heavy load most late
// requests are of this kind.
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
// responses, which would pile up in memory. The event loop calls it after each write.
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

// feed takes bytes from the event loop. It returns false if the peer sends faster than
// its requests are read.
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
