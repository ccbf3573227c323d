package simulator

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Users poll jobs through a load balancer that removes failing controllers from rotation.
type Users struct {
	Dial  func(ctx context.Context, addr string) (net.Conn, error)
	Nodes []string
	Judge *LivenessChecker

	mu    sync.Mutex
	nodes map[string]*backend
}

// backend is a controller as the load balancer sees it.
type backend struct {
	healthy, ever bool
	probes        []bool // the last six
	out           time.Time
	pause         time.Duration
	conns         map[*userConn]bool
}

// userConn is a user's connection to a controller.
type userConn struct {
	net.Conn
	close func()
}

func (c *userConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// What the protocol specifies for users and the balancer.
const (
	pollEvery      = 5 * time.Second
	pollTimeout    = 2 * time.Second
	probeEvery     = time.Second
	connectTimeout = 500 * time.Millisecond
	resetAfter     = 5 * time.Second
	minPause       = 3 * time.Second
	longestPause   = time.Minute
	samePause      = 2 * time.Minute // a removal within this of the last doubles the pause
)

// Run probes the controllers until the context ends.
func (u *Users) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, addr := range u.Nodes {
		group.Go(func() {
			caller := &transport.Caller{MaxBody: wire.MaxBody, Dial: u.Dial}
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(ctx, probeEvery)
				resp, err := caller.Call(call, addr, "GET", wire.PathReady, nil)
				cancel()
				u.probed(addr, time.Now(), err == nil && resp.Status == 200)
				wait(ctx, probeEvery)
			}
		})
	}
	group.Wait()
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (u *Users) node(addr string) *backend {
	if u.nodes == nil {
		u.nodes = make(map[string]*backend)
	}
	if u.nodes[addr] == nil {
		u.nodes[addr] = &backend{conns: make(map[*userConn]bool)}
	}
	return u.nodes[addr]
}

// probed takes in what a probe has shown.
func (u *Users) probed(addr string, now time.Time, ok bool) {
	u.mu.Lock()
	m := u.node(addr)
	m.probes = append(m.probes, ok)
	m.probes = m.probes[max(0, len(m.probes)-6):]
	failed := 0
	for _, ok := range m.probes {
		if !ok {
			failed++
		}
	}
	two := slices.Clone(m.probes[max(0, len(m.probes)-2):])
	switch {
	case m.healthy && (failed >= 3 || len(two) == 2 && !two[0] && !two[1]):
		m.pause = max(minPause, min(longestPause, 2*m.pause))
		if now.Sub(m.out) > samePause {
			m.pause = minPause
		}
		m.healthy, m.out = false, now
	case !m.healthy && ok && (!m.ever || len(two) == 2 && two[0] && now.Sub(m.out) >= m.pause):
		m.healthy, m.ever, m.probes = true, true, nil
	}
	var closed []*userConn
	if !m.healthy && now.Sub(m.out) >= resetAfter {
		closed = slices.Collect(maps.Keys(m.conns))
	}
	u.mu.Unlock()
	for _, c := range closed {
		_ = c.Close()
	}
}

// connect opens a connection to a healthy controller, of up to three.
func (u *Users) connect(ctx context.Context, _ string) (net.Conn, error) {
	u.mu.Lock()
	nodes := slices.DeleteFunc(slices.Clone(u.Nodes), func(addr string) bool { return !u.node(addr).healthy })
	slices.SortStableFunc(nodes, func(a, b string) int { return cmp.Compare(len(u.nodes[a].conns), len(u.nodes[b].conns)) })
	u.mu.Unlock()
	err := errors.New("no controller is healthy")
	for _, addr := range nodes[:min(3, len(nodes))] {
		var conn net.Conn
		call, cancel := context.WithTimeout(ctx, connectTimeout)
		conn, err = u.Dial(call, addr)
		cancel()
		if err != nil {
			continue
		}
		c := &userConn{Conn: conn}
		c.close = func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			delete(u.node(addr).conns, c)
		}
		u.mu.Lock()
		u.node(addr).conns[c] = true
		u.mu.Unlock()
		return c, nil
	}
	return nil, err
}

// Follow polls a job until the context ends or the job is over.
func (u *Users) Follow(ctx context.Context, job string) {
	caller := &transport.Caller{MaxBody: wire.MaxBody, Dial: u.connect}
	u.Judge.Accepted(time.Now(), job)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, pollTimeout)
		resp, err := caller.Call(call, "controllers", "GET", wire.PathJobs+"/"+job, nil)
		cancel()
		status, s := 0, wire.JobStatus{}
		if err == nil {
			status = resp.Status
			_ = wire.Decode(resp.Body, &s)
		}
		switch {
		case ctx.Err() != nil:
			return
		case status == 200 && s.Stage == wire.Cancelled:
			u.Judge.Cancelled(job)
			return
		}
		u.Judge.ObservePoll(time.Now(), job, status, s.Stage)
		wait(ctx, pollEvery)
	}
}
