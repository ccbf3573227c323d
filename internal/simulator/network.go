// Package standin holds small stand-ins of everything that a controller talks
// to: the network, the state service, the cloud and the workers, and a checker
// of the protocol's rules that knows nothing of the controllers. They serve
// tests, in one process and on any clock.
package simulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
)

// Network is a network of hosts, named by their IP addresses, in memory.
type Network struct {
	mu             sync.Mutex
	listeners      map[string]listener
	downHosts      map[string]bool
	partitions     map[[2]string]bool
	zones          map[string]string  // of hosts
	isolatedZones  map[string]int     // how many cuts each zone is behind
	dropped        map[[2]string]bool // packets one way
	pausedUntil    map[string]time.Time
	stepDelay      map[string]func() time.Duration
	refuseInbound  map[string]bool // hosts that take no connection
	refuseOutbound map[string]bool // hosts that get none out
	conns          map[*conn]bool
	duplicate      func(from, to string) time.Duration
	observe        func(from string, p []byte)
}

type listener struct {
	incarnation *Incarnation
	ctx         context.Context
	serve       transport.ServeConn
	conns       int // that may be open, 0 for any number
	open        *int
	screen      transport.Rejecter
}

// prefetchedConn is a connection of which the first bytes were read ahead.
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

// serveFirst serves a connection unless its peer is turned away by its first bytes.
func (l *listener) serveFirst(in net.Conn) {
	if l.screen != nil {
		b := make([]byte, 4096)
		n, err := in.Read(b)
		if err != nil {
			return
		}
		if answer := l.screen(b[:n]); answer != nil {
			_, _ = in.Write(answer)
			return
		}
		in = &prefetchedConn{in, b[:n]}
	}
	l.serve(l.ctx, &stream{Conn: in})
}

// conn is one end of a connection between two hosts.
type conn struct {
	net.Conn
	from, to    string
	local, peer string
	net         *Network
	addr        string       // that was dialled
	incarnation *Incarnation // of the end's host
	other       *conn
	held        *heldBytes // under the network's lock
}

// heldBytes is what the network keeps of what was sent on a connection.
type heldBytes struct {
	bytes  []byte
	closed bool // the sender has given up
}

// Read gives what has come once the host gets round to it.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.net.waitForHost(c.local)
	return n, err
}

// Write sends once the host gets round to it. What is lost on its way seems sent, and so does
// what the network holds.
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
	if c.held != nil && c.held.closed {
		c.net.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.held != nil && !lost {
		c.held.bytes = append(c.held.bytes, p...)
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

// redeliver has what a host sent arrive once more, on a connection of its own. Nobody reads the
// answer.
func (n *Network) redeliver(from, addr string, p []byte, late time.Duration) {
	time.AfterFunc(late, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c, err := n.Host(from).dial(ctx, addr)
		if err != nil {
			return
		}
		c.deliver(p)
	})
}

// deliver writes to a connection of which the sender is no longer there, and ends it.
func (c *conn) deliver(p []byte) {
	_ = c.Conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.Copy(io.Discard, c.Conn) }()
	_, _ = c.Conn.Write(p)
	time.AfterFunc(10*time.Second, func() { c.Close() })
}

// Duplicate has some of what is sent to an address arrive again, so much later as the
// function says, 0 for not.
func (n *Network) Duplicate(late func(from, addr string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.duplicate = late
}

// Observe has somebody see whatever hosts send, at the moment at which they do so: what the network
// then holds, delays or loses too.
func (n *Network) Observe(see func(from string, p []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observe = see
}

// Hold keeps what a host sends from now on over the connections that it has, and delivers it
// after a while, also if the host has gone and is back meanwhile.
func (n *Network) Hold(host string, d time.Duration) {
	n.HoldTo(host, func(string) bool { return true }, d)
}

// HoldTo does so with what it sends to some hosts.
func (n *Network) HoldTo(host string, to func(peer string) bool, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local == host && c.held == nil && to(c.peer) {
			c.held = &heldBytes{}
			time.AfterFunc(d, c.release)
		}
	}
}

// release delivers what was held, and goes on as before unless the sender is gone.
func (c *conn) release() {
	for {
		c.net.mu.Lock()
		h := c.held
		p, closed := h.bytes, h.closed
		if h.bytes = nil; closed || len(p) == 0 {
			c.held = nil
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

// waitForHost waits while a host stands still, and for as long as its steps take.
func (n *Network) waitForHost(host string) {
	n.mu.Lock()
	still, slow := max(0, time.Until(n.pausedUntil[host])), n.stepDelay[host]
	n.mu.Unlock()
	if slow != nil {
		still += slow()
	}
	if still > 0 {
		time.Sleep(still)
	}
}

// Pause makes a host stand still for a while: what it reads, it reads late, and what it
// writes or dials leaves late, as when a process gets no processor.
func (n *Network) Pause(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil[host] = time.Now().Add(d)
}

// SetStepDelay makes each step of a host take as long as it says; nil ends that.
func (n *Network) SetStepDelay(host string, step func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepDelay[host] = step
}

// RefuseInbound makes a host refuse every connection, and ends those that came in.
func (n *Network) RefuseInbound(host string, full bool) {
	n.mu.Lock()
	n.refuseInbound[host] = full
	n.mu.Unlock()
	n.closeConns(func(c *conn) bool { return full && c.to == host })
}

// RefuseOutbound lets a host open no connection, and ends those that it has opened.
func (n *Network) RefuseOutbound(host string, mute bool) {
	n.mu.Lock()
	n.refuseOutbound[host] = mute
	n.mu.Unlock()
	n.closeConns(func(c *conn) bool { return mute && c.from == host })
}

// DropOneWay loses what one host sends to another, and nothing the other way.
func (n *Network) DropOneWay(from, to string, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[[2]string{from, to}] = lose
}

func (c *conn) Close() error {
	c.net.mu.Lock()
	if c.held != nil && len(c.held.bytes) > 0 { // what was sent arrives nevertheless
		c.held.closed = true
		c.net.mu.Unlock()
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// stream gives the accepting end the bound on silence that the service sets.
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

// NewNetwork gives an empty network.
func NewNetwork() *Network {
	return &Network{listeners: map[string]listener{}, downHosts: map[string]bool{}, partitions: map[[2]string]bool{}, zones: map[string]string{}, isolatedZones: map[string]int{},
		dropped: map[[2]string]bool{}, pausedUntil: map[string]time.Time{}, stepDelay: map[string]func() time.Duration{},
		refuseInbound: map[string]bool{}, refuseOutbound: map[string]bool{}, conns: map[*conn]bool{}}
}

// Host is the network as one host sees it.
type Host struct {
	net         *Network
	name        string
	incarnation *Incarnation
}

// Host gives the view of the host with an IP address.
func (n *Network) Host(ip string) Host { return Host{n, ip, nil} }

// Incarnation is one run of a process on a host, which may have several, also at the same time.
type Incarnation struct{ ended atomic.Bool }

// StartIncarnation begins a life on a host.
func (n *Network) StartIncarnation(ip string) Host { return Host{n, ip, new(Incarnation)} }

// End ends a host's life with its connections: it is not heard again, but for what is held.
func (h Host) End() {
	h.incarnation.ended.Store(true)
	h.net.closeConns(func(c *conn) bool { return c.incarnation == h.incarnation || c.other.incarnation == h.incarnation })
}

// Reset ends all connections of a host.
func (n *Network) Reset(host string) {
	n.closeConns(func(c *conn) bool { return c.from == host || c.to == host })
}

// HostOf gives the host of an address.
func HostOf(addr string) string { return strings.Split(addr, ":")[0] }

func (n *Network) partitioned(a, b string) bool {
	za, zb := n.zones[a], n.zones[b]
	return n.downHosts[a] || n.downHosts[b] || n.partitions[[2]string{a, b}] || n.partitions[[2]string{b, a}] || za != zb && n.isolatedZones[za]+n.isolatedZones[zb] > 0
}

// Listen implements transport.Network.
func (h Host) Listen(ctx context.Context, addr string, conns int, serve transport.ServeConn) error {
	return h.ListenRejecting(ctx, addr, conns, serve, nil)
}

// ListenRejecting implements transport.Turner.
func (h Host) ListenRejecting(ctx context.Context, addr string, conns int, serve transport.ServeConn, turn transport.Rejecter) error {
	h.net.mu.Lock()
	h.net.listeners[addr] = listener{h.incarnation, ctx, serve, conns, new(int), turn}
	h.net.mu.Unlock()
	<-ctx.Done()
	return nil
}

// Dial implements transport.Network. Behind a cut it hangs, as on a network
// that swallows packets.
func (h Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := h.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (h Host) dial(ctx context.Context, addr string) (*conn, error) {
	n, to := h.net, HostOf(addr)
	n.waitForHost(h.name)
	n.mu.Lock()
	l, ok := n.listeners[addr]
	severed := n.partitioned(h.name, to) || n.dropped[[2]string{h.name, to}] || n.dropped[[2]string{to, h.name}]
	full := ok && l.conns > 0 && *l.open >= l.conns || n.refuseInbound[to] && h.name != to || n.refuseOutbound[h.name]
	n.mu.Unlock()
	if severed {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !ok || full || l.ctx.Err() != nil || h.incarnation != nil && h.incarnation.ended.Load() {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	out, in := &conn{Conn: a, from: h.name, to: to, local: h.name, peer: to, net: n, addr: addr, incarnation: h.incarnation}, &conn{Conn: b, from: h.name, to: to, local: to, peer: h.name, net: n, incarnation: l.incarnation}
	out.other, in.other = in, out
	n.mu.Lock()
	n.conns[out], n.conns[in] = true, true
	*l.open++
	n.mu.Unlock()
	go func() {
		defer func() {
			in.Close()
			n.mu.Lock()
			*l.open--
			n.mu.Unlock()
		}()
		l.serveFirst(in)
	}()
	return out, nil
}

// closeSevered closes every connection that is severed.
func (n *Network) closeSevered(all bool) {
	n.closeConns(func(c *conn) bool { return all || n.partitioned(c.from, c.to) })
}

// closeConns closes the connections that are picked.
func (n *Network) closeConns(pick func(*conn) bool) {
	n.mu.Lock()
	var gone []*conn
	for c := range n.conns {
		if pick(c) && c.other.held == nil { // what is held there is yet to arrive
			gone = append(gone, c)
		}
	}
	n.mu.Unlock()
	for _, c := range gone {
		c.Close()
	}
}

// SetDown takes a host off the network, or brings it back.
func (n *Network) SetDown(host string, down bool) {
	n.mu.Lock()
	n.downHosts[host] = down
	n.mu.Unlock()
	n.closeSevered(false)
}

// Partition severs two hosts, or joins them again.
func (n *Network) Partition(a, b string, cut bool) {
	n.mu.Lock()
	n.partitions[[2]string{a, b}] = cut
	n.mu.Unlock()
	n.closeSevered(false)
}

// SetZone tells in which zone a host stands.
func (n *Network) SetZone(host, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[host] = zone
}

// IsolateZone severs all hosts of a zone from all others, also those that are placed there later, or
// ends that.
func (n *Network) IsolateZone(zone string, apart bool) {
	n.mu.Lock()
	if apart {
		n.isolatedZones[zone]++
	} else {
		n.isolatedZones[zone]--
	}
	n.mu.Unlock()
	n.closeSevered(false)
}

// Close ends every connection.
func (n *Network) Close() { n.closeSevered(true) }

// noAnswer is the status of a request that gets no answer, on a connection that stays open: its
// caller learns nothing before it gives up.
const noAnswer = -1

// serveHTTP serves requests with bodies and query parameters taken apart.
func serveHTTP(f func(method, path string, query map[string]string, body []byte) (int, any)) transport.ServeConn {
	return func(_ context.Context, s transport.Stream) {
		r := bufio.NewReader(s)
		for {
			req, err := httpwire.ReadRequest(r, 1<<20)
			if err != nil {
				return
			}
			query := map[string]string{}
			for _, kv := range strings.Split(req.Query, "&") {
				k, v, _ := strings.Cut(kv, "=")
				query[k] = unescape(v)
			}
			status, body := f(req.Method, req.Path, query, req.Body)
			if status == noAnswer {
				_, _ = io.Copy(io.Discard, s)
				return
			}
			if status == 0 { // swallowed: the caller gets no answer
				return
			}
			resp := &httpwire.Response{Status: status, Body: encode(body)}
			if _, err := s.Write(httpwire.AppendResponse(nil, resp)); err != nil {
				return
			}
		}
	}
}

func unescape(v string) string {
	if text, err := url.QueryUnescape(v); err == nil {
		return text
	}
	return v
}

// Address makes the address of a host's port.
func Address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
