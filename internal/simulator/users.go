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

	mu       sync.Mutex
	backends map[string]*backend
}

// backend is a controller as the load balancer sees it.
type backend struct {
	healthy, wasHealthy bool
	probes              []bool // the last six
	removedAt           time.Time
	removalTime         time.Duration
	conns               map[*userConn]bool
}

// userConn is a user's connection to a controller.
type userConn struct {
	net.Conn
	onClose func()
}

func (c *userConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// What the protocol specifies for users and the balancer.
const (
	pollInterval          = 5 * time.Second
	pollTimeout           = 2 * time.Second
	probeInterval         = time.Second
	connectTimeout        = 500 * time.Millisecond
	connResetDelay        = 5 * time.Second
	minRemovalTime        = 3 * time.Second
	maxRemovalTime        = time.Minute
	removalDoublingWindow = 2 * time.Minute // a removal within this of the last doubles the pause
)

// Run probes the controllers until the context ends.
func (u *Users) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, addr := range u.Nodes {
		group.Go(func() {
			caller := &transport.Caller{MaxBody: wire.MaxBody, Dial: u.Dial}
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(ctx, probeInterval)
				resp, err := caller.Call(call, addr, "GET", wire.PathReady, nil)
				cancel()
				u.recordProbe(addr, time.Now(), err == nil && resp.Status == 200)
				sleepContext(ctx, probeInterval)
			}
		})
	}
	group.Wait()
}

func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func (u *Users) backend(addr string) *backend {
	if u.backends == nil {
		u.backends = make(map[string]*backend)
	}
	if u.backends[addr] == nil {
		u.backends[addr] = &backend{conns: make(map[*userConn]bool)}
	}
	return u.backends[addr]
}

// recordProbe takes in what a probe has shown.
func (u *Users) recordProbe(addr string, now time.Time, ok bool) {
	u.mu.Lock()
	m := u.backend(addr)
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
		m.removalTime = max(minRemovalTime, min(maxRemovalTime, 2*m.removalTime))
		if now.Sub(m.removedAt) > removalDoublingWindow {
			m.removalTime = minRemovalTime
		}
		m.healthy, m.removedAt = false, now
	case !m.healthy && ok && (!m.wasHealthy || len(two) == 2 && two[0] && now.Sub(m.removedAt) >= m.removalTime):
		m.healthy, m.wasHealthy, m.probes = true, true, nil
	}
	var closed []*userConn
	if !m.healthy && now.Sub(m.removedAt) >= connResetDelay {
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
	nodes := slices.DeleteFunc(slices.Clone(u.Nodes), func(addr string) bool { return !u.backend(addr).healthy })
	slices.SortStableFunc(nodes, func(a, b string) int { return cmp.Compare(len(u.backends[a].conns), len(u.backends[b].conns)) })
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
		c.onClose = func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			delete(u.backend(addr).conns, c)
		}
		u.mu.Lock()
		u.backend(addr).conns[c] = true
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
		sleepContext(ctx, pollInterval)
	}
}
