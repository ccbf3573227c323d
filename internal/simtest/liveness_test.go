package simtest

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// batchOf returns the batch record that holds an accepted job, and its key.
func (w *simulation) batchOf(job string) (key string, rec store.BatchRecord) {
	for _, it := range w.store.Page(store.BatchKey(""), "", 0).Items {
		var rec store.BatchRecord
		if _ = wire.DecodeValue(it.Value, &rec); rec.Jobs[job].Tasks > 0 {
			return it.Key, rec
		}
	}
	w.t.Fatalf("no batch contains %s", job)
	return "", rec
}

// writeState writes to the state service, bypassing the controllers.
func (w *simulation) writeState(op wire.Operation) {
	if status, _ := w.store.Commit(wire.Txn{Then: []wire.Operation{op}}); status != 200 {
		w.t.Fatalf("%+v was answered %d", op, status)
	}
}

// overriddenConn is a connection that does not send requests which begin with requestPrefix. Reads
// return response instead, or block like the connection if response is empty.
type overriddenConn struct {
	net.Conn
	requestPrefix, response []byte
	matched                 bool // whether the last request began with requestPrefix
}

// Write implements net.Conn.
func (c *overriddenConn) Write(p []byte) (int, error) {
	if c.matched = bytes.HasPrefix(p, c.requestPrefix); c.matched {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *overriddenConn) Read(p []byte) (int, error) {
	if c.matched && len(c.response) > 0 {
		c.matched = false
		return copy(p, c.response), nil
	}
	return c.Conn.Read(p)
}

// overrideResponses replaces the responses to polls of a job, at the controller with the given address, or
// at every controller if that is empty.
func (w *simulation) overrideResponses(job, controller string, response []byte) {
	w.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := w.net.Host("10.3.0.2").Dial(ctx, addr)
		if err != nil || controller != "" && controller != addr {
			return conn, err
		}
		return &overriddenConn{Conn: conn, requestPrefix: []byte("GET " + wire.PathJobs + "/" + job + " "), response: response}, nil
	}
	w.pollers()
	time.Sleep(10 * time.Second) // until all controllers are ready
}

// TestLivenessCheckerFindsForgottenJobs makes one job violate the liveness rules, in various ways. The
// checker has to report this job and no other.
func TestLivenessCheckerFindsForgottenJobs(t *testing.T) {
	for name, violation := range map[string]struct {
		before, after func(w *simulation)
		want          string
	}{
		"no violation": {},
		"a batch that no reader can decode": {want: "no question about wk-1 is answered", after: func(w *simulation) {
			key, _ := w.batchOf("wk-1")
			w.writeState(wire.Operation{Put: key, Value: "garbled"})
			for i := range 3 { // restart all, since a controller that has read the batch keeps its contents
				w.kill(i, time.Second)
			}
		}},
		"deleted between batch and history": {want: "wk-1 was accepted and is answered 404", after: func(w *simulation) {
			key, _ := w.batchOf("wk-1")
			w.writeState(wire.Operation{Delete: key})
		}},
		"assigned to a shard without a leader": {want: "wk-1 is called pending", before: func(w *simulation) {
			time.Sleep(10 * time.Second)
			w.writeState(wire.Operation{Put: store.LeaderKey("b"), Value: store.LeaderRecord{Leader: "c-9", FencingToken: 99, Format: store.Format}})
		}},
		"not answered by the controller that its user polls": {want: "no question about wk-1 is answered",
			before: func(w *simulation) { w.overrideResponses("wk-1", simulator.Address(w.ip(0), 8080), nil) }},
		"answered 503 again and again": {want: "no question about wk-1 is answered", before: func(w *simulation) {
			w.overrideResponses("wk-1", "", httpwire.AppendResponse(nil, &httpwire.Response{Status: 503, RetryAfter: time.Second}))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(t, 51, 0, func(c *config.Config) { c.Tuning.Shards.By = "zone" })
				w.checker.Liveness.MaxPending = 90 * time.Second
				if violation.before != nil {
					violation.before(w)
				}
				for i := range 4 {
					w.startUser(&wire.Job{ID: fmt.Sprint("wk-", i+1), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 2, GPUs: 1,
						MemoryGB: 8, Zone: []string{"a", "b"}[max(0, 1-i)], Image: "img", ImageGB: 1, EstimateS: 30}, 30*time.Second, 0)
					time.Sleep(2 * time.Second)
				}
				if violation.after != nil {
					violation.after(w)
				}
				w.declareQuiet()
				time.Sleep(3 * time.Minute)
				broken := w.checker.Liveness.Violations()
				if violation.want == "" && len(broken) > 0 || violation.want != "" && (len(broken) != 1 || !strings.Contains(broken[0], violation.want)) {
					t.Errorf("reported violations: %q", broken)
				}
				w.end()
				w.group.Wait()
				time.Sleep(time.Minute)
			})
		})
	}
}

// addPollingUsers starts users who poll random jobs, at this interval on average, until the simulation
// ends. They keep their connections open.
func (w *simulation) addPollingUsers(rng *rand.Rand, users int, interval time.Duration) {
	for n := range users {
		w.pollGroup.Go(func() {
			caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: w.net.Host("10.3.0.3").Dial}
			for try := n; w.ctx.Err() == nil; try++ {
				ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
				_, _ = caller.Call(ctx, simulator.Address(w.ip(n%3), 8080), "GET", fmt.Sprintf("%s/wk-%06d", wire.PathJobs, w.draw(rng, 1e6)), nil)
				cancel()
				time.Sleep(interval/2 + time.Duration(w.draw(rng, int(interval))))
			}
		})
	}
}

// livenessFaults lists faults that may not affect polls after their end.
var livenessFaults = []fault{
	{"the leader dies while it compacts, and again", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for range 1 + rng.IntN(4) {
			for _, name := range w.leaders() {
				w.kill(int(name[2]-'0'), time.Duration(50+rng.IntN(450))*time.Millisecond)
			}
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		}
	}},
	{"all die at once", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for i := range 3 {
			w.kill(i, time.Duration(50+rng.IntN(2000))*time.Millisecond)
		}
	}},
	{"two are away, and get their shards back", func(w *simulation, rng *rand.Rand, d time.Duration) {
		first := rng.IntN(3)
		w.kill(first, d)
		w.kill((first+1)%3, d)
	}},
	{"the state service is out, and comes back with leases at full time", func(w *simulation, _ *rand.Rand, d time.Duration) { during(d, w.store.SetOutage) }},
	{"the state service forgets its changes", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for range 1 + rng.IntN(20) {
			w.store.DropHistory()
			time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		}
	}},
	{"transactions get no answer", func(w *simulation, _ *rand.Rand, d time.Duration) {
		during(d, func(on bool) {
			w.store.Configure(func(s *simulator.StateService) { s.LossShare = map[bool]float64{true: 0.4}[on] })
		})
	}},
	{"the state service is slow", func(w *simulation, _ *rand.Rand, d time.Duration) {
		during(d, func(on bool) {
			w.store.Configure(func(s *simulator.StateService) {
				if s.ResponseDelay = nil; on {
					s.ResponseDelay = func() time.Duration { return 1500 * time.Millisecond }
				}
			})
		})
	}},
	{"one does not hear the state service", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		during(d, func(on bool) { w.net.DropOneWay("10.2.0.1", ip, on) })
	}},
	{"a controller stands still", func(w *simulation, rng *rand.Rand, d time.Duration) { w.net.Pause(w.ip(rng.IntN(3)), d) }},
	{"a controller is cut off", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		during(d, func(on bool) { w.net.SetDown(ip, on) })
	}},
}

// TestNoJobIsForgotten runs simulations in which jobs are compacted as soon as they end, while leaders
// end, the sharding changes and its shards change leaders, and the state service fails. Once the
// faults are over, no poll may remain unanswered for long, although many other users poll as well.
// AMBERDEAL_QUIETS sets the number of simulations, AMBERDEAL_QUIET selects a single one.
func TestNoJobIsForgotten(t *testing.T) {
	runSeeds(t, 5, "AMBERDEAL_QUIET", func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 9))
		sharding := []string{"off", "zone"}[rng.IntN(2)]
		settings := shardingSettings{initial: sharding}
		lowRPS := rng.IntN(2) == 0 // the state service allows few requests per second
		w := newSimulation(t, seed, 0, func(c *config.Config) {
			c.Tuning.Shards.By = settings.forController(c.Name)
			c.Tuning.History.Interval, c.Tuning.History.MaxWait = 200*time.Millisecond, 500*time.Millisecond
			if lowRPS {
				c.Store.RPS = 36
			}
		})
		if lowRPS {
			w.store.Configure(func(s *simulator.StateService) { s.Limits.RPS = 36 })
		}
		reshard := fault{"all are set to another sharding", func(w *simulation, rng *rand.Rand, _ time.Duration) {
			sharding = map[string]string{"off": "zone", "zone": "off"}[sharding]
			for i := range 3 {
				settings.set(i, sharding)
				w.kill(i, time.Duration(50+rng.IntN(450))*time.Millisecond)
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
			}
		}}
		w.addPollingUsers(rand.New(rand.NewPCG(seed, 10)), 30, 3*time.Second)
		w.group.Go(func() { w.submit(seed, 30) })
		time.Sleep(15 * time.Second)
		faults := slices.Concat(livenessFaults, []fault{reshard})
		w.injectFaults(rng, 8, 9*time.Second, func(int) (fault, time.Duration) { return drawFault(rng, faults, 30) })
		time.Sleep(32 * time.Second) // until the last fault is over; each lasts 30 s at most
		w.declareQuiet()
		time.Sleep(3 * time.Minute)
		w.finish(20 * time.Minute)
		w.checkResults()
	})
}

// TestIdleConnectionsBlockNobody runs more users than all controllers have sockets for. They poll
// rarely and keep their connections open. Another user's job still has to be accepted and answered.
func TestIdleConnectionsBlockNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 52, 0, func(c *config.Config) { c.Limits.OpenFiles = 100 })
		time.Sleep(10 * time.Second)
		w.addPollingUsers(rand.New(rand.NewPCG(1, 1)), 300, 5*time.Second)
		time.Sleep(20 * time.Second)
		w.startUser(&wire.Job{ID: "wk-1", Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 2, GPUs: 1, MemoryGB: 8,
			Image: "img", ImageGB: 1, EstimateS: 200}, 200*time.Second, 0)
		w.declareQuiet()
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}
