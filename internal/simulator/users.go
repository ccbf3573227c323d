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

// Users simulates users that poll jobs through a load balancer, which removes failing controllers from
// rotation.
type Users struct {
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Controllers []string         // addresses of the controllers
	Liveness    *LivenessChecker // is notified of the answers to polls

	mu       sync.Mutex
	backends map[string]*backend // by address
}

// backend is a controller as the load balancer sees it.
type backend struct {
	healthy, wasHealthy bool               // in rotation now; in rotation at some time so far
	probes              []bool             // results of the last six probes since it was last added to rotation
	removedAt           time.Time          // when it was last removed from rotation
	removalTime         time.Duration      // for how long, at least
	conns               map[*userConn]bool // open connections of users
}

// userConn is a user's connection to a controller.
type userConn struct {
	net.Conn
	onClose func()
}

// Close closes the connection after calling onClose.
func (c *userConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// Intervals and timeouts that the protocol specifies for users and the load balancer.
const (
	pollInterval          = 5 * time.Second
	pollTimeout           = 2 * time.Second
	probeInterval         = time.Second
	connectTimeout        = 500 * time.Millisecond
	connResetDelay        = 5 * time.Second // after a removal, until open connections are closed
	minRemovalTime        = 3 * time.Second
	maxRemovalTime        = time.Minute
	removalDoublingWindow = 2 * time.Minute // a removal within this time of the last one doubles removalTime
)

// Run probes the readiness of all controllers until the context ends.
func (u *Users) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, addr := range u.Controllers {
		group.Go(func() {
			caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: u.Dial}
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

// sleepContext blocks for d or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// backendAt returns the state of the controller at an address. The caller holds the lock.
func (u *Users) backendAt(addr string) *backend {
	if u.backends == nil {
		u.backends = make(map[string]*backend)
	}
	if u.backends[addr] == nil {
		u.backends[addr] = &backend{conns: make(map[*userConn]bool)}
	}
	return u.backends[addr]
}

// recordProbe updates a controller's state with the result of a probe. A controller is removed from
// rotation when two probes in a row or three of the last six have failed, and added again when two in a
// row have succeeded and removalTime has passed; the first time, one success is enough.
func (u *Users) recordProbe(addr string, now time.Time, ok bool) {
	u.mu.Lock()
	b := u.backendAt(addr)
	b.probes = append(b.probes, ok)
	b.probes = b.probes[max(0, len(b.probes)-6):]
	failed := 0
	for _, ok := range b.probes {
		if !ok {
			failed++
		}
	}
	lastTwo := slices.Clone(b.probes[max(0, len(b.probes)-2):])
	switch {
	case b.healthy && (failed >= 3 || len(lastTwo) == 2 && !lastTwo[0] && !lastTwo[1]):
		b.removalTime = max(minRemovalTime, min(maxRemovalTime, 2*b.removalTime))
		if now.Sub(b.removedAt) > removalDoublingWindow {
			b.removalTime = minRemovalTime
		}
		b.healthy, b.removedAt = false, now
	case !b.healthy && ok && (!b.wasHealthy || len(lastTwo) == 2 && lastTwo[0] && now.Sub(b.removedAt) >= b.removalTime):
		b.healthy, b.wasHealthy, b.probes = true, true, nil
	}
	var closed []*userConn
	if !b.healthy && now.Sub(b.removedAt) >= connResetDelay {
		closed = slices.Collect(maps.Keys(b.conns))
	}
	u.mu.Unlock()
	for _, c := range closed {
		_ = c.Close()
	}
}

// connect opens a connection to a healthy controller. It tries up to three, those with the fewest
// connections first.
func (u *Users) connect(ctx context.Context, _ string) (net.Conn, error) {
	u.mu.Lock()
	healthy := slices.DeleteFunc(slices.Clone(u.Controllers), func(addr string) bool { return !u.backendAt(addr).healthy })
	slices.SortStableFunc(healthy, func(a, b string) int { return cmp.Compare(len(u.backends[a].conns), len(u.backends[b].conns)) })
	u.mu.Unlock()
	err := errors.New("no controller is healthy")
	for _, addr := range healthy[:min(3, len(healthy))] {
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
			delete(u.backendAt(addr).conns, c)
		}
		u.mu.Lock()
		u.backendAt(addr).conns[c] = true
		u.mu.Unlock()
		return c, nil
	}
	return nil, err
}

// Follow polls a job until the context ends or the job is reported as cancelled.
func (u *Users) Follow(ctx context.Context, job string) {
	caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: u.connect}
	u.Liveness.Accepted(time.Now(), job)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, pollTimeout)
		resp, err := caller.Call(call, "controllers", "GET", wire.PathJobs+"/"+job, nil)
		cancel()
		status, jobStatus := 0, wire.JobStatus{}
		if err == nil {
			status = resp.Status
			_ = wire.Decode(resp.Body, &jobStatus)
		}
		switch {
		case ctx.Err() != nil:
			return
		case status == 200 && jobStatus.Stage == wire.Cancelled:
			u.Liveness.Cancelled(job)
			return
		}
		u.Liveness.ObservePoll(time.Now(), job, status, jobStatus.Stage)
		sleepContext(ctx, pollInterval)
	}
}
