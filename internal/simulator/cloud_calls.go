package simulator

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Serve returns a handler that implements the cloud's protocol.
func (c *Cloud) Serve() transport.ServeConn {
	c.mu.Lock()
	if c.machines == nil {
		c.machines, c.rentedByRequest = map[string]*instance{}, map[string][]string{}
	}
	c.mu.Unlock()
	return serveHTTP(func(method, path string, q map[string]string, body []byte) (int, any) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.allowRequest() {
			return 429, nil
		}
		if c.Faults.Unavailable {
			return 503, wire.Failure{Error: "trouble"}
		}
		switch {
		case path == wire.PathMachineTypes:
			return 200, map[string]any{"frames": c.Types}
		case path == wire.PathRelease:
			return c.serveRelease(body)
		case method == "POST":
			return c.serveRent(body)
		}
		limit, _ := strconv.Atoi(q["limit"])
		return 200, c.list(q["from"], limit)
	})
}

// allowRequest reports whether the request rate limit admits another request. The caller holds the
// lock.
func (c *Cloud) allowRequest() bool {
	if c.RPS <= 0 {
		return true
	}
	if c.requestLimiter == nil {
		c.requestLimiter = rate.NewLimiter(rate.Limit(c.RPS), max(1, int(2*c.RPS)))
	}
	return c.requestLimiter.AllowN(time.Now(), 1)
}

// serveRelease handles a request to delete machines. The caller holds the lock.
func (c *Cloud) serveRelease(body []byte) (int, any) {
	var names wire.MachineIDs
	if err := wire.Decode(body, &names); err != nil || len(names.Machines) > wire.MaxRelease {
		return 400, wire.Failure{Error: "hives: at most 100 names"}
	}
	for _, id := range names.Machines {
		c.remove(id)
	}
	return 200, map[string]any{}
}

// serveRent handles a request to rent machines. With a RentDelay the machines are rented later and the
// request is not answered. The caller holds the lock.
func (c *Cloud) serveRent(body []byte) (int, any) {
	var r wire.ScaleOutRequest
	if err := wire.Decode(body, &r); err != nil || r.RequestID == "" || r.Count < 1 || r.Count > wire.MaxScaleOut || c.machineType(r.Type) == nil {
		return 400, wire.Failure{Error: "ask, frame, or how_many (1 to 50)"}
	}
	if delay := c.Faults.RentDelay; delay > 0 {
		time.AfterFunc(delay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.rentMachines(r)
		})
		return 0, nil
	}
	return c.rentMachines(r)
}

// list returns a page of machines as they were at a random time in the past, at most twice ListLag
// ago. Each call chooses another time.
func (c *Cloud) list(after string, limit int) wire.MachineList {
	at := time.Now().Add(-time.Duration(c.Rand.Int64N(int64(2*c.ListLag) + 1)))
	out := wire.MachineList{Machines: []wire.ListedMachine{}}
	for _, id := range slices.Sorted(maps.Keys(c.machines)) {
		m := c.machines[id]
		if id <= after || !m.rentedAt.Before(at) || !m.deletedAt.IsZero() && !m.deletedAt.After(at) {
			continue
		}
		if len(out.Machines) == min(cmp.Or(max(limit, 0), wire.MaxListPage), wire.MaxListPage) {
			out.More = true
			break
		}
		listed := m.ListedMachine
		listed.AgeS = at.Sub(m.rentedAt).Seconds()
		out.Machines = append(out.Machines, listed)
	}
	return out
}
