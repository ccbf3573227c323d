package simulator

import (
	"io"
	"net"
	"slices"
	"time"
)

// prefetchedConn is a connection whose first bytes were already read to decide whether to reject it.
// Read returns them first.
type prefetchedConn struct {
	net.Conn
	bytes []byte
}

func (c *prefetchedConn) Read(p []byte) (int, error) {
	if len(c.bytes) > 0 {
		n := copy(p, c.bytes)
		c.bytes = c.bytes[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// conn is one end of a connection between two hosts.
type conn struct {
	net.Conn
	from, to    string // hosts that dialled and accepted the connection
	local, peer string // hosts at this end and at the other end
	net         *Network
	addr        string       // the address that was dialled; empty at the accepting end
	incarnation *Incarnation // of the host at this end
	otherEnd    *conn
	heldWrites  *heldWrites // set while delivery is delayed; guarded by the network's lock
}

// heldWrites buffers what is sent on a connection while its delivery is delayed.
type heldWrites struct {
	bytes  []byte
	closed bool // the sender has closed its end
}

// Read returns received bytes, after any pause or step delay of the host.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.net.waitForHost(c.local)
	return n, err
}

// Write sends bytes, after any pause or step delay of the host. Writes that are dropped or delayed
// succeed for the sender.
func (c *conn) Write(p []byte) (int, error) {
	c.net.mu.Lock()
	observe := c.net.observe
	c.net.mu.Unlock()
	if observe != nil {
		observe(c.local, p)
	}
	c.net.waitForHost(c.local)
	c.net.mu.Lock()
	withheld, duplicateDelay := c.net.dropped[[2]string{c.local, c.peer}], c.net.duplicate
	if c.heldWrites != nil && c.heldWrites.closed {
		c.net.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.heldWrites != nil && !withheld {
		c.heldWrites.bytes = append(c.heldWrites.bytes, p...)
		withheld = true
	}
	c.net.mu.Unlock()
	if duplicateDelay != nil && c.local == c.from {
		if delay := duplicateDelay(c.local, c.addr); delay > 0 {
			c.net.redeliver(c.local, c.addr, slices.Clone(p), delay)
		}
	}
	if withheld {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// deliver writes to a connection whose sender has terminated, discards the answer, and closes the
// connection ten seconds later.
func (c *conn) deliver(p []byte) {
	_ = c.Conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
	_, _ = c.Conn.Write(p)
	time.AfterFunc(10*time.Second, func() { _ = c.Close() })
}

// release delivers the held bytes and ends the delay. The connection then works normally unless the
// sender has closed it.
func (c *conn) release() {
	for {
		c.net.mu.Lock()
		held := c.heldWrites
		p, closed := held.bytes, held.closed
		if held.bytes = nil; closed || len(p) == 0 {
			c.heldWrites = nil
		}
		c.net.mu.Unlock()
		switch {
		case closed:
			c.deliver(p)
			return
		case len(p) == 0:
			return
		}
		_, _ = c.Conn.Write(p)
	}
}

// Close closes the connection. If held bytes are yet to be delivered, it only ends the reading side, and
// release delivers them.
func (c *conn) Close() error {
	c.net.mu.Lock()
	if c.heldWrites != nil && len(c.heldWrites.bytes) > 0 {
		c.heldWrites.closed = true
		c.net.mu.Unlock()
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// stream is the accepting end of a connection, with the idle timeout of transport.Stream.
type stream struct {
	net.Conn
	idle time.Duration
}

// SetIdleTimeout sets the time after which a read without data fails; 0 for no limit.
func (s *stream) SetIdleTimeout(d time.Duration) { s.idle = d }

func (s *stream) Read(p []byte) (int, error) {
	if s.idle > 0 {
		_ = s.SetReadDeadline(time.Now().Add(s.idle))
	}
	return s.Conn.Read(p)
}
