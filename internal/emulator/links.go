package emulator

import (
	"context"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
)

// side is one end of a connection.
type side struct {
	name string // of a controller, or state, cloud or a machine
	kind string // controllers, machines, or the same as the name
	zone string // empty for what is regional
}

func (s side) is(what string) bool {
	return what == "all" || what == s.name || what == s.kind || s.zone != "" && what == "zone:"+s.zone
}

// rule is what becomes of bytes from one side to another.
type rule struct {
	from, to     string
	sparesInside bool // a zone that is cut off works on inside
	mode         string
	delay        time.Duration
}

func (r *rule) applies(from, to side) bool {
	if !from.is(r.from) || !to.is(r.to) {
		return false
	}
	return !(r.sparesInside && from.zone == to.zone)
}

// links says what becomes of what is sent, as faults come and go.
type links struct {
	mu      sync.Mutex
	rules   map[int]*rule
	next    int
	changed chan struct{}
	conns   map[*link]bool
	traffic map[Direction]*counter
}

func newLinks() *links {
	return &links{rules: map[int]*rule{}, changed: make(chan struct{}), conns: map[*link]bool{}, traffic: map[Direction]*counter{}}
}

// add puts a rule into force, until the function that it gives is called.
func (l *links) add(r *rule) (lift func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	n := l.next
	l.rules[n] = r
	l.notifyChange()
	if r.mode == "reset" {
		for c := range l.conns {
			if r.applies(c.local, c.peer) || r.applies(c.peer, c.local) {
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

func (l *links) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// modeOf tells what becomes of bytes from one side to another now.
func (l *links) modeOf(from, to side) (mode string, delay time.Duration, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.rules {
		if r.applies(from, to) {
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

// awaitPassage waits until bytes may go from one side to another, and says whether they are lost.
func (l *links) awaitPassage(done <-chan struct{}, from, to side) (lost bool, err error) {
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

// link is one end of a connection, whose bytes go as the rules say.
type link struct {
	net.Conn
	links          *links
	local, peer    side
	checkReads     bool // what is read is judged here too, since the other end is outside
	done           chan struct{}
	once           sync.Once
	idle           time.Duration
	sent, received *counter

	mu      sync.Mutex
	held    [][]byte
	closing bool
}

func (l *links) wrap(c net.Conn, local, peer side, in bool) *link {
	k := &link{Conn: c, links: l, local: local, peer: peer, checkReads: in, done: make(chan struct{})}
	l.mu.Lock()
	k.sent, k.received = l.counter(local, peer), l.counter(peer, local)
	l.conns[k] = true
	l.mu.Unlock()
	return k
}

// SetIdle implements transport.Stream.
func (c *link) SetIdle(d time.Duration) { c.idle = d }

// Read gives what the peer has sent, once it has come through.
func (c *link) Read(p []byte) (int, error) {
	for {
		if c.idle > 0 {
			_ = c.Conn.SetReadDeadline(time.Now().Add(c.idle))
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.received.add(n)
		}
		if n == 0 || err != nil || !c.checkReads {
			return n, err
		}
		lost, err := c.links.awaitPassage(c.done, c.peer, c.local)
		if err != nil {
			c.Close()
			return 0, err
		}
		if !lost {
			return n, nil
		}
	}
}

// Write sends as the rules say. What is lost or held up seems sent; what was held up is
// delivered in order afterwards, also if the sender has closed meanwhile.
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

// deliver sends what was held up.
func (c *link) deliver() {
	for {
		lost, _ := c.links.awaitPassage(nil, c.local, c.peer)
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

// Close ends the connection, once what was held up is delivered.
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

// host is the network as one side sees it: plain sockets of the library, since thousands of
// machines listen in one process and an event loop for each would be a thread for each.
type host struct {
	links  *links
	self   side
	sideAt func(addr string) side // who is at an address
}

// Dial implements transport.Network.
func (h host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	to := h.sideAt(addr)
	for _, way := range [][2]side{{h.self, to}, {to, h.self}} { // a connection needs both
		if lost, err := h.links.awaitPassage(ctx.Done(), way[0], way[1]); err != nil {
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
	return h.links.wrap(c, h.self, to, true), nil
}

// Dial opens a connection that no fault touches.
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
	h.accept(ctx, lis, conns, func(c net.Conn) { serve(ctx, h.links.wrap(c, h.self, h.sideAt(""), true)) })
	return nil
}

// accept serves the connections of a listener until the context ends.
func (h host) accept(ctx context.Context, lis net.Listener, conns int, serve func(net.Conn)) {
	stop := context.AfterFunc(ctx, func() { lis.Close() })
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
