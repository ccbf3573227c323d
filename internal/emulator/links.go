package emulator

import (
	"context"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
)

// endpoint is one end of a connection.
type endpoint struct {
	name string // of a controller or a machine, or state or cloud
	kind string // controllers, machines, or the same as the name
	zone string // empty for what is regional
}

// matches reports whether a selector of a rule matches this side.
func (s endpoint) matches(what string) bool {
	return what == "all" || what == s.name || what == s.kind || s.zone != "" && what == "zone:"+s.zone
}

// rule determines what happens to bytes from one side to another.
type rule struct {
	from, to         string
	exceptWithinZone bool // a zone that is isolated works inside
	mode             string
	delay            time.Duration
}

// matches reports whether a rule matches a direction.
func (r *rule) matches(from, to endpoint) bool {
	if !from.matches(r.from) || !to.matches(r.to) {
		return false
	}
	return !(r.exceptWithinZone && from.zone == to.zone)
}

// links applies the rules in force to all connections of a cluster.
type links struct {
	mu       sync.Mutex
	rules    map[int]*rule
	lastRule int
	changed  chan struct{}
	conns    map[*link]bool
	traffic  map[Direction]*flowCounter
}

// newLinks returns links without rules.
func newLinks() *links {
	return &links{rules: map[int]*rule{}, changed: make(chan struct{}), conns: map[*link]bool{}, traffic: map[Direction]*flowCounter{}}
}

// add puts a rule into force until the returned function is called.
func (l *links) add(r *rule) (lift func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRule++
	n := l.lastRule
	l.rules[n] = r
	l.notifyChange()
	if r.mode == "reset" {
		for c := range l.conns {
			if r.matches(c.local, c.peer) || r.matches(c.peer, c.local) {
				go c.Conn.Close()
			}
		}
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.rules, n)
		l.notifyChange()
	}
}

// notifyChange wakes all connections that wait for a rule to end; the lock is held.
func (l *links) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// modeOf returns what happens at present to bytes from one side to another, and a channel that is
// closed when that changes.
func (l *links) modeOf(from, to endpoint) (mode string, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.rules {
		if r.matches(from, to) {
			delay = max(delay, r.delay)
			switch {
			case r.mode == "reset": // what was open has been reset; nothing new comes through
				mode = "hold"
			case r.mode != "":
				mode = r.mode
			}
		}
	}
	return mode, delay, l.changed
}

// awaitDelivery blocks until bytes may pass from one side to another, and reports whether they are
// lost.
func (l *links) awaitDelivery(done <-chan struct{}, from, to endpoint) (lost bool, err error) {
	for {
		mode, delay, changed := l.modeOf(from, to)
		switch mode {
		case "hold":
			select {
			case <-changed:
				continue
			case <-done:
				return true, net.ErrClosed
			}
		case "lose":
			return true, nil
		}
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-done:
				return true, net.ErrClosed
			}
		}
		return false, nil
	}
}

// link is one end of a connection whose bytes are subject to the rules.
type link struct {
	net.Conn
	links          *links
	local, peer    endpoint
	done           chan struct{}
	once           sync.Once
	idle           time.Duration
	sent, received *flowCounter

	mu      sync.Mutex
	held    [][]byte
	closing bool
}

// wrap makes a connection subject to the rules.
func (l *links) wrap(c net.Conn, local, peer endpoint) *link {
	k := &link{Conn: c, links: l, local: local, peer: peer, done: make(chan struct{})}
	l.mu.Lock()
	k.sent, k.received = l.counter(local, peer), l.counter(peer, local)
	l.conns[k] = true
	l.mu.Unlock()
	return k
}

// SetIdle implements transport.Stream.
func (c *link) SetIdle(d time.Duration) { c.idle = d }

// Read returns received bytes once the rules let them pass.
func (c *link) Read(p []byte) (int, error) {
	for {
		if c.idle > 0 {
			_ = c.Conn.SetReadDeadline(time.Now().Add(c.idle))
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.received.add(n)
		}
		if n == 0 || err != nil {
			return n, err
		}
		lost, err := c.links.awaitDelivery(c.done, c.peer, c.local)
		if err != nil {
			_ = c.Close()
			return 0, err
		}
		if !lost {
			return n, nil
		}
	}
}

// Write sends as the rules allow. Bytes that are lost or held back seem to be sent; those held
// back are delivered later in order, also if the sender has closed the connection by then.
func (c *link) Write(p []byte) (int, error) {
	mode, delay, _ := c.links.modeOf(c.local, c.peer)
	c.sent.add(len(p))
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		return 0, net.ErrClosed
	case mode == "lose":
		return len(p), nil
	case mode == "" && delay == 0 && len(c.held) == 0:
		return c.Conn.Write(p)
	}
	if c.held = append(c.held, append([]byte(nil), p...)); len(c.held) == 1 {
		go c.deliver()
	}
	return len(p), nil
}

// deliver sends what was held back.
func (c *link) deliver() {
	for {
		lost, _ := c.links.awaitDelivery(nil, c.local, c.peer)
		c.mu.Lock()
		if !lost {
			_, _ = c.Conn.Write(c.held[0])
		}
		c.held = c.held[1:]
		left, closing := len(c.held), c.closing
		c.mu.Unlock()
		if left == 0 {
			if closing {
				c.Conn.Close()
			}
			return
		}
	}
}

// Close closes the connection after what was held back is delivered.
func (c *link) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.links.mu.Lock()
		delete(c.links.conns, c)
		c.links.mu.Unlock()
	})
	c.mu.Lock()
	c.closing = true
	held := len(c.held) > 0
	c.mu.Unlock()
	if held {
		return nil
	}
	return c.Conn.Close()
}

// host is the network as one side sees it. It uses plain sockets of the standard library, since
// thousands of machines listen in one process and an event loop for each would be a thread for
// each.
type host struct {
	links      *links
	local      endpoint
	endpointAt func(addr string) endpoint // returns the side at an address
}

// Dial implements transport.Network.
func (h host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := h.endpointAt(addr)
	for _, way := range [][2]endpoint{{h.local, to}, {to, h.local}} { // a connection needs both
		if lost, err := h.links.awaitDelivery(ctx.Done(), way[0], way[1]); err != nil {
			return nil, err
		} else if lost {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	return h.links.wrap(c, h.local, to), nil
}

// Dial opens a connection that is not subject to faults.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen implements transport.Network.
func (h host) Listen(ctx context.Context, addr string, conns int, serve transport.ServeConn) error {
	lis, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	h.accept(ctx, lis, conns, func(c net.Conn) { serve(ctx, h.links.wrap(c, h.local, h.endpointAt(""))) })
	return nil
}

// accept serves the connections of a listener until the context ends.
func (h host) accept(ctx context.Context, lis net.Listener, conns int, serve func(net.Conn)) {
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	places := make(chan struct{}, conns)
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			c.Close()
			continue
		}
		go func() {
			end := context.AfterFunc(ctx, func() { c.Close() })
			defer func() {
				end()
				c.Close()
				<-places
			}()
			serve(c)
		}()
	}
}
