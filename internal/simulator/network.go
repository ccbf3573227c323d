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

// Network is an in-memory network of hosts that are named by their IP addresses. Every fault of a
// network can be injected: cuts, asymmetric partitions, delays, duplicates, and hosts that pause
// or refuse connections.
type Network struct {
	mu             sync.Mutex
	listeners      map[string]listener
	downHosts      map[string]bool
	partitions     map[[2]string]bool
	zones          map[string]string    // zone of each host
	isolatedZones  map[string]int       // number of faults that isolate each zone
	dropped        map[[2]string]bool   // from, to: packets in this direction are lost
	pausedUntil    map[string]time.Time // hosts that make no progress until then
	stepDelay      map[string]func() time.Duration
	refuseInbound  map[string]bool // hosts that accept no connection
	refuseOutbound map[string]bool // hosts that can open no connection
	conns          map[*conn]bool
	duplicate      func(from, to string) time.Duration
	observe        func(from string, p []byte)
}

type listener struct {
	incarnation *Incarnation
	ctx         context.Context
	serve       transport.ServeConn
	maxConns    int // limit on open connections, 0 for none
	openConns   *int
	reject      transport.Rejecter
}

// serveUnlessRejected serves a connection unless the listener's screen rejects it on its first bytes.
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

// redeliver sends a duplicate of a message on a connection of its own. The answer is discarded.
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

// Duplicate makes some messages arrive a second time: the function returns the delay of the
// duplicate, or 0 for none.
func (n *Network) Duplicate(late func(from, addr string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.duplicate = late
}

// Observe calls a function with every message as its host sends it, also if the network then
// delays or drops it.
func (n *Network) Observe(see func(from string, p []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observe = see
}

// Hold delays what a host sends from now on over its open connections by d. The bytes arrive even
// if the host has terminated or restarted in the meantime.
func (n *Network) Hold(host string, d time.Duration) {
	n.HoldTo(host, func(string) bool { return true }, d)
}

// HoldTo is Hold for the peers that the predicate selects.
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

// waitForHost blocks while a host is paused, and then for the host's step delay.
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

// Pause suspends a host for d: what it reads, writes or dials is delayed, as in a process that
// gets no CPU time.
func (n *Network) Pause(host string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedUntil[host] = time.Now().Add(d)
}

// SetStepDelay delays each read, write and dial of a host by the value of the function; nil
// removes the delay.
func (n *Network) SetStepDelay(host string, step func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepDelay[host] = step
}

// RefuseInbound makes a host refuse new connections and closes those that it has accepted, or ends
// that.
func (n *Network) RefuseInbound(host string, refuse bool) {
	n.mu.Lock()
	n.refuseInbound[host] = refuse
	n.mu.Unlock()
	n.closeConns(func(c *conn) bool { return refuse && c.to == host })
}

// RefuseOutbound prevents a host from opening connections and closes those that it has opened, or
// ends that.
func (n *Network) RefuseOutbound(host string, refuse bool) {
	n.mu.Lock()
	n.refuseOutbound[host] = refuse
	n.mu.Unlock()
	n.closeConns(func(c *conn) bool { return refuse && c.from == host })
}

// DropOneWay loses everything that one host sends to another, while the opposite direction works,
// or ends that.
func (n *Network) DropOneWay(from, to string, lose bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[[2]string{from, to}] = lose
}

// NewNetwork returns a network without hosts or faults.
func NewNetwork() *Network {
	return &Network{listeners: map[string]listener{}, downHosts: map[string]bool{}, partitions: map[[2]string]bool{}, zones: map[string]string{}, isolatedZones: map[string]int{},
		dropped: map[[2]string]bool{}, pausedUntil: map[string]time.Time{}, stepDelay: map[string]func() time.Duration{},
		refuseInbound: map[string]bool{}, refuseOutbound: map[string]bool{}, conns: map[*conn]bool{}}
}

// Host is the network as one host sees it. It implements transport.Network.
type Host struct {
	net         *Network
	name        string
	incarnation *Incarnation
}

// Host returns the network as the host with this IP address sees it.
func (n *Network) Host(ip string) Host { return Host{n, ip, nil} }

// Incarnation is one run of a process on a host. A host may have several, also at the same time.
type Incarnation struct{ ended atomic.Bool }

// StartIncarnation returns the network as a new incarnation of a process on a host sees it.
func (n *Network) StartIncarnation(ip string) Host { return Host{n, ip, new(Incarnation)} }

// End terminates the host's incarnation and its connections. Only bytes that the network holds
// back may still arrive from it.
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

// partitioned reports whether two hosts cannot exchange anything; the lock is held.
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

// Dial implements transport.Network. Across a partition it blocks until the context ends, as on a
// network that drops packets silently.
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
	full := ok && l.maxConns > 0 && *l.openConns >= l.maxConns || n.refuseInbound[to] && h.name != to || n.refuseOutbound[h.name]
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

// closeSevered closes every connection that crosses a partition, or all connections.
func (n *Network) closeSevered(all bool) {
	n.closeConns(func(c *conn) bool { return all || n.partitioned(c.from, c.to) })
}

// closeConns closes the selected connections, except for those that still have bytes to deliver.
func (n *Network) closeConns(pick func(*conn) bool) {
	n.mu.Lock()
	var selected []*conn
	for c := range n.conns {
		if pick(c) && c.otherEnd.heldWrites == nil { // what is held there is yet to arrive
			selected = append(selected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range selected {
		_ = c.Close()
	}
}

// SetDown takes a host off the network, or brings it back.
func (n *Network) SetDown(host string, down bool) {
	n.mu.Lock()
	n.downHosts[host] = down
	n.mu.Unlock()
	n.closeSevered(false)
}

// Partition separates two hosts from each other, or reconnects them.
func (n *Network) Partition(a, b string, cut bool) {
	n.mu.Lock()
	n.partitions[[2]string{a, b}] = cut
	n.mu.Unlock()
	n.closeSevered(false)
}

// SetZone assigns a host to a zone.
func (n *Network) SetZone(host, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[host] = zone
}

// IsolateZone separates all hosts of a zone, including those that are assigned to it later, from
// all hosts of other zones, or ends that. Overlapping faults are counted.
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

// Close closes every connection.
func (n *Network) Close() { n.closeSevered(true) }

// Address joins an IP address and a port.
func Address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
