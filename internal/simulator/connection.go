package simulator

import (
	"io"
	"net"
	"slices"
	"time"
)

// prefetchedConn is a connection whose first bytes were already read in order to screen them.
type prefetchedConn struct {
	net.Conn
	bytes []byte
}

func (f *prefetchedConn) Read(p []byte) (int, error) {
	if len(f.bytes) > 0 {
		n := copy(p, f.bytes)
		f.bytes = f.bytes[n:]
		return n, nil
	}
	return f.Conn.Read(p)
}

// conn is one end of a connection between two hosts.
type conn struct {
	net.Conn
	from, to    string
	local, peer string
	net         *Network
	addr        string       // the address that was dialled
	incarnation *Incarnation // of the host at this end
	otherEnd    *conn
	heldWrites  *heldWrites // bytes that are delayed; guarded by the network's lock
}

// heldWrites holds what was sent on a connection while its delivery is delayed.
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
// succeed from the sender's point of view.
func (c *conn) Write(p []byte) (int, error) {
	c.net.mu.Lock()
	watch := c.net.observe
	c.net.mu.Unlock()
	if watch != nil {
		watch(c.local, p)
	}
	c.net.waitForHost(c.local)
	c.net.mu.Lock()
	lost, copies := c.net.dropped[[2]string{c.local, c.peer}], c.net.duplicate
	if c.heldWrites != nil && c.heldWrites.closed {
		c.net.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.heldWrites != nil && !lost {
		c.heldWrites.bytes = append(c.heldWrites.bytes, p...)
		lost = true
	}
	c.net.mu.Unlock()
	if copies != nil && c.local == c.from {
		if late := copies(c.local, c.addr); late > 0 {
			c.net.redeliver(c.local, c.addr, slices.Clone(p), late)
		}
	}
	if lost {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// deliver writes to a connection whose sender is gone, and closes it ten seconds later.
func (c *conn) deliver(p []byte) {
	_ = c.Conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
	_, _ = c.Conn.Write(p)
	time.AfterFunc(10*time.Second, func() { _ = c.Close() })
}

// release delivers what was held. The connection then continues normally unless the sender has
// closed it.
func (c *conn) release() {
	for {
		c.net.mu.Lock()
		h := c.heldWrites
		p, closed := h.bytes, h.closed
		if h.bytes = nil; closed || len(p) == 0 {
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

func (c *conn) Close() error {
	c.net.mu.Lock()
	if c.heldWrites != nil && len(c.heldWrites.bytes) > 0 { // what was sent arrives nevertheless
		c.heldWrites.closed = true
		c.net.mu.Unlock()
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// stream adds the idle timeout that services set to the accepting end of a connection.
type stream struct {
	net.Conn
	idle time.Duration
}

func (s *stream) SetIdle(d time.Duration) { s.idle = d }

func (s *stream) Read(p []byte) (int, error) {
	if s.idle > 0 {
		_ = s.SetReadDeadline(time.Now().Add(s.idle))
	}
	return s.Conn.Read(p)
}
