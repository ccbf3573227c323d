package simulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
)

// Network is an in-memory network of hosts that are identified by their IP addresses. Every fault of a
// network can be injected: partitions in both directions or in one, delays, duplicates, and hosts that
// pause or refuse connections.
type Network struct {
	mu             sync.Mutex
	listeners      map[string]listener
	downHosts      map[string]bool
	partitions     map[[2]string]bool              // pairs of hosts that are separated from each other
	zones          map[string]string               // zone of each host
	isolatedZones  map[string]int                  // number of faults that isolate each zone
	dropped        map[[2]string]bool              // pairs (from, to): what is sent in this direction is lost
	pausedUntil    map[string]time.Time            // when the pause of a host ends
	stepDelay      map[string]func() time.Duration // delay of each read, write and dial of a host
	refuseInbound  map[string]bool                 // hosts that accept no connections
	refuseOutbound map[string]bool                 // hosts that cannot open connections
	conns          map[*conn]bool
	duplicate      func(from, to string) time.Duration
	observe        func(from string, p []byte)
}

// listener is an address on which an incarnation accepts connections.
type listener struct {
	incarnation *Incarnation
	ctx         context.Context
	serve       transport.ServeConn
	conns       int // limit on open connections, 0 for none
	openConns   *int
	reject      transport.Rejecter
}

// serveUnlessRejected serves a connection, unless the listener rejects it because of its first bytes.
func (l *listener) serveUnlessRejected(in net.Conn) {
	if l.reject != nil {
		b := make([]byte, 4096)
		n, err := in.Read(b)
		if err != nil {
			return
		}
		if answer := l.reject(b[:n]); answer != nil {
			_, _ = in.Write(answer)
			return
		}
		in = &prefetchedConn{in, b[:n]}
	}
	l.serve(l.ctx, &stream{Conn: in})
}

// redeliver sends a duplicate of a message after a delay, on a connection of its own. The answer is
// discarded.
func (n *Network) redeliver(from, addr string, p []byte, delay time.Duration) {
	time.AfterFunc(delay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c, err := n.Host(from).dial(ctx, addr)
		if err != nil {
			return
		}
		c.deliver(p)
	})
}

// Duplicate makes some messages arrive a second time. The function delay returns the delay of the
// duplicate, or 0 for no duplicate.
func (n *Network) Duplicate(delay func(from, addr string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.duplicate = delay
}

// Observe calls a function with every message that a host sends, even if the network then delays or
// drops the message.
func (n *Network) Observe(observe func(from string, p []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observe = observe
}

// Hold withholds for d what a host sends over the connections that are open now. The bytes arrive
// afterwards, even if the host has terminated or restarted in the meantime.
func (n *Network) Hold(host string, d time.Duration) {
	n.HoldTo(host, func(string) bool { return true }, d)
}

// HoldTo is Hold for only those peers that the predicate to selects.
func (n *Network) HoldTo(host string, to func(peer string) bool, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local == host && c.heldWrites == nil && to(c.peer) {
			c.heldWrites = &heldWrites{}
			time.AfterFunc(d, c.release)
		}
	}
}

// waitForHost blocks while a host is paused, and for the host's step delay after that.
func (n *Network) waitForHost(host string) {
	n.mu.Lock()
	delay, stepDelay := max(0, time.Until(n.pausedUntil[host])), n.stepDelay[host]
	n.mu.Unlock()
	if stepDelay != nil {
		delay += stepDelay()
	}
	if delay > 0 {
		time.Sleep(delay)
	}
}

// Pause suspends a host for d: its reads, writes and dials are delayed, as for a process that gets no CPU
// time.
func (n *Network) Pause(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil[host] = time.Now().Add(d)
}

// SetStepDelay delays each read, write and dial of a host by what the function delay returns. nil removes
// the delay.
func (n *Network) SetStepDelay(host string, delay func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepDelay[host] = delay
}

// RefuseInbound makes a host refuse new connections and closes those that it has accepted. refuse=false
// ends the fault.
func (n *Network) RefuseInbound(host string, refuse bool) {
	n.mu.Lock()
	n.refuseInbound[host] = refuse
	n.mu.Unlock()
	n.closeConns(func(c *conn) bool { return refuse && c.to == host })
}

// RefuseOutbound prevents a host from opening connections and closes those that it has opened.
// refuse=false ends the fault.
func (n *Network) RefuseOutbound(host string, refuse bool) {
	n.mu.Lock()
	n.refuseOutbound[host] = refuse
	n.mu.Unlock()
	n.closeConns(func(c *conn) bool { return refuse && c.from == host })
}

// DropOneWay drops everything that one host sends to another while the opposite direction works.
// drop=false ends the fault.
func (n *Network) DropOneWay(from, to string, drop bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[[2]string{from, to}] = drop
}

// NewNetwork returns a network without hosts or faults.
func NewNetwork() *Network {
	return &Network{listeners: map[string]listener{}, downHosts: map[string]bool{}, partitions: map[[2]string]bool{}, zones: map[string]string{}, isolatedZones: map[string]int{},
		dropped: map[[2]string]bool{}, pausedUntil: map[string]time.Time{}, stepDelay: map[string]func() time.Duration{},
		refuseInbound: map[string]bool{}, refuseOutbound: map[string]bool{}, conns: map[*conn]bool{}}
}

// Host is the view that one host has of the network. It implements transport.Network.
type Host struct {
	net         *Network
	name        string
	incarnation *Incarnation
}

// Host returns the view of the host with this IP address.
func (n *Network) Host(ip string) Host { return Host{n, ip, nil} }

// Incarnation is one run of a process on a host. A host may have several, also at the same time.
type Incarnation struct{ ended atomic.Bool }

// StartIncarnation returns the view of a new incarnation of a process on a host.
func (n *Network) StartIncarnation(ip string) Host { return Host{n, ip, new(Incarnation)} }

// End terminates the host's incarnation and closes its connections. Only bytes that Hold has withheld may
// still arrive from it.
func (h Host) End() {
	h.incarnation.ended.Store(true)
	h.net.closeConns(func(c *conn) bool { return c.incarnation == h.incarnation || c.otherEnd.incarnation == h.incarnation })
}

// Reset closes all connections of a host.
func (n *Network) Reset(host string) {
	n.closeConns(func(c *conn) bool { return c.from == host || c.to == host })
}

// HostOf returns the host part of an address.
func HostOf(addr string) string { return strings.Split(addr, ":")[0] }

// partitioned reports whether two hosts cannot reach each other. The caller holds the lock.
func (n *Network) partitioned(a, b string) bool {
	zoneA, zoneB := n.zones[a], n.zones[b]
	return n.downHosts[a] || n.downHosts[b] || n.partitions[[2]string{a, b}] || n.partitions[[2]string{b, a}] || zoneA != zoneB && n.isolatedZones[zoneA]+n.isolatedZones[zoneB] > 0
}

// Listen implements transport.Network.
func (h Host) Listen(ctx context.Context, addr string, maxConns int, serve transport.ServeConn) error {
	return h.ListenRejecting(ctx, addr, maxConns, serve, nil)
}

// ListenRejecting implements transport.RejectingNetwork.
func (h Host) ListenRejecting(ctx context.Context, addr string, maxConns int, serve transport.ServeConn, reject transport.Rejecter) error {
	h.net.mu.Lock()
	h.net.listeners[addr] = listener{h.incarnation, ctx, serve, maxConns, new(int), reject}
	h.net.mu.Unlock()
	<-ctx.Done()
	return nil
}

// Dial implements transport.Network. Across a partition it blocks until the context ends, as on a
// network that drops packets silently.
func (h Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := h.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// dial opens a connection to an address. It is like Dial but returns the concrete type.
func (h Host) dial(ctx context.Context, addr string) (*conn, error) {
	n, to := h.net, HostOf(addr)
	n.waitForHost(h.name)
	n.mu.Lock()
	l, listening := n.listeners[addr]
	unreachable := n.partitioned(h.name, to) || n.dropped[[2]string{h.name, to}] || n.dropped[[2]string{to, h.name}]
	refused := listening && l.conns > 0 && *l.openConns >= l.conns || n.refuseInbound[to] && h.name != to || n.refuseOutbound[h.name]
	n.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if !listening || refused || l.ctx.Err() != nil || h.incarnation != nil && h.incarnation.ended.Load() {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	out, in := &conn{Conn: a, from: h.name, to: to, local: h.name, peer: to, net: n, addr: addr, incarnation: h.incarnation}, &conn{Conn: b, from: h.name, to: to, local: to, peer: h.name, net: n, incarnation: l.incarnation}
	out.otherEnd, in.otherEnd = in, out
	n.mu.Lock()
	n.conns[out], n.conns[in] = true, true
	*l.openConns++
	n.mu.Unlock()
	go func() {
		defer func() {
			_ = in.Close()
			n.mu.Lock()
			*l.openConns--
			n.mu.Unlock()
		}()
		l.serveUnlessRejected(in)
	}()
	return out, nil
}

// closeSevered closes every connection across a partition, or every connection if all is true.
func (n *Network) closeSevered(all bool) {
	n.closeConns(func(c *conn) bool { return all || n.partitioned(c.from, c.to) })
}

// closeConns closes the selected connections, except for those with held bytes that are yet to arrive.
func (n *Network) closeConns(selects func(*conn) bool) {
	n.mu.Lock()
	var selected []*conn
	for c := range n.conns {
		if selects(c) && c.otherEnd.heldWrites == nil {
			selected = append(selected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range selected {
		_ = c.Close()
	}
}

// SetDown disconnects a host from the network, or reconnects it.
func (n *Network) SetDown(host string, down bool) {
	n.mu.Lock()
	n.downHosts[host] = down
	n.mu.Unlock()
	n.closeSevered(false)
}

// Partition separates two hosts from each other. separate=false reconnects them.
func (n *Network) Partition(a, b string, separate bool) {
	n.mu.Lock()
	n.partitions[[2]string{a, b}] = separate
	n.mu.Unlock()
	n.closeSevered(false)
}

// SetZone assigns a host to a zone.
func (n *Network) SetZone(host, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[host] = zone
}

// IsolateZone separates all hosts of a zone, including those that are assigned to it later, from all
// hosts of other zones. isolate=false ends the fault. Overlapping faults are counted, so that the zone is
// reconnected when the last one ends.
func (n *Network) IsolateZone(zone string, isolate bool) {
	n.mu.Lock()
	if isolate {
		n.isolatedZones[zone]++
	} else {
		n.isolatedZones[zone]--
	}
	n.mu.Unlock()
	n.closeSevered(false)
}

// Close closes every connection.
func (n *Network) Close() { n.closeSevered(true) }

// Address joins an IP address and a port.
func Address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
