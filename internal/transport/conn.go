package transport

import (
	"io"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// maxPending bounds the bytes of a connection that wait for its goroutine.
const maxPending = 128 << 10

// maxUnread bounds the bytes of a connection that wait for its peer.
const maxUnread = 256 << 10

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
