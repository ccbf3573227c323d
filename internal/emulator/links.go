package emulator

import (
	"context"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
)

// endpoint is one end of a network link.
type endpoint struct {
	name string // name of a controller or a machine, state, cloud, or empty for an unknown controller
	kind string // controllers, machines, state or cloud
	zone string // empty for regional services
}

// matches reports whether the selector of a rule matches this endpoint.
func (e endpoint) matches(selector string) bool {
	return selector == "all" || selector == e.name || selector == e.kind || e.zone != "" && selector == "zone:"+e.zone
}

// rule determines what happens to bytes sent from some endpoints to others.
type rule struct {
	from, to         string
	exceptWithinZone bool          // the rule does not apply between endpoints of the same zone
	mode             string        // hold, lose or reset; empty if the rule only delays
	delay            time.Duration // added to the transmission
}

// matches reports whether a rule matches a direction.
func (r *rule) matches(from, to endpoint) bool {
	if !from.matches(r.from) || !to.matches(r.to) {
		return false
	}
	return !(r.exceptWithinZone && from.zone == to.zone)
}

// links applies the active rules to all connections of a cluster.
type links struct {
	mu       sync.Mutex
	rules    map[int]*rule
	lastRule int
	changed  chan struct{}
	conns    map[*link]bool
	traffic  map[Direction]*counter
}

// newLinks returns links without rules.
func newLinks() *links {
	return &links{rules: map[int]*rule{}, changed: make(chan struct{}), conns: map[*link]bool{}, traffic: map[Direction]*counter{}}
}

// add activates a rule until the returned function is called.
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

// notifyChange wakes all connections that wait for a rule to end. The caller holds the lock.
func (l *links) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// modeOf returns the mode and the delay that currently apply to bytes between two endpoints, and a channel that is
// closed when a rule is added or removed. An empty mode delivers them.
func (l *links) modeOf(from, to endpoint) (mode string, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.rules {
		if r.matches(from, to) {
			delay = max(delay, r.delay)
			switch {
			case r.mode == "reset": // open connections have been closed; new ones get nothing through
				mode = "hold"
			case r.mode != "":
				mode = r.mode
			}
		}
	}
	return mode, delay, l.changed
}

// awaitDelivery blocks until the rules deliver or drop bytes between two endpoints, and reports whether they are lost.
// It returns net.ErrClosed if done is closed before.
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

// link is one end of a connection whose traffic is subject to the rules.
type link struct {
	net.Conn
	links          *links
	local, peer    endpoint
	done           chan struct{}
	once           sync.Once
	idle           time.Duration
	sent, received *counter

	mu      sync.Mutex
	held    [][]byte // written but not yet delivered, in order
	closing bool
}

// wrap returns a connection whose traffic is subject to the rules.
func (l *links) wrap(c net.Conn, local, peer endpoint) *link {
	k := &link{Conn: c, links: l, local: local, peer: peer, done: make(chan struct{})}
	l.mu.Lock()
	k.sent, k.received = l.counter(local, peer), l.counter(peer, local)
	l.conns[k] = true
	l.mu.Unlock()
	return k
}

// SetIdleTimeout implements transport.Stream.
func (c *link) SetIdleTimeout(d time.Duration) { c.idle = d }

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

// Write sends bytes as the rules allow. It also succeeds for bytes that are lost or held back. Those held back are
// delivered in order later, even if the sender has closed the connection by then.
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

// deliver sends the bytes that were held back, once the rules allow it.
func (c *link) deliver() {
	for {
		lost, _ := c.links.awaitDelivery(nil, c.local, c.peer)
		c.mu.Lock()
		if !lost {
			_, _ = c.Conn.Write(c.held[0])
		}
		c.held = c.held[1:]
		remaining, closing := len(c.held), c.closing
		c.mu.Unlock()
		if remaining == 0 {
			if closing {
				c.Conn.Close()
			}
			return
		}
	}
}

// Close closes the connection, once the bytes that were held back are delivered.
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

// host is the network as one endpoint sees it. It uses the sockets of the standard library: thousands of machines
// listen in one process, and an event loop for each would need a thread for each.
type host struct {
	links      *links
	local      endpoint
	endpointAt func(addr string) endpoint // returns the endpoint at an address
}

// Dial implements transport.Network.
func (h host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := h.endpointAt(addr)
	for _, direction := range [][2]endpoint{{h.local, to}, {to, h.local}} { // a TCP handshake needs both
		if lost, err := h.links.awaitDelivery(ctx.Done(), direction[0], direction[1]); err != nil {
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

// Dial opens a connection that is not subject to injected faults.
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

// accept serves the connections of a listener until the context ends, at most conns at a time; it closes excess
// connections at once.
func (h host) accept(ctx context.Context, lis net.Listener, conns int, serve func(net.Conn)) {
	stop := context.AfterFunc(ctx, func() { _ = lis.Close() })
	defer stop()
	slots := make(chan struct{}, conns)
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close()
			continue
		}
		go func() {
			end := context.AfterFunc(ctx, func() { c.Close() })
			defer func() {
				end()
				c.Close()
				<-slots
			}()
			serve(c)
		}()
	}
}
