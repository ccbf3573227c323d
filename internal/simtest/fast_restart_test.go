package simtest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// restartDelay draws how long a process or machine takes to restart.
func restartDelay(rng *rand.Rand) time.Duration {
	return time.Duration(50+rng.IntN(451)) * time.Millisecond
}

// finalHoldTime draws how long the network delays the last messages of a process: usually 0, sometimes
// longer than any lease.
func finalHoldTime(rng *rand.Rand) time.Duration {
	return []time.Duration{0, 0, time.Duration(rng.IntN(2000)), time.Duration(rng.IntN(40_000))}[rng.IntN(4)] * time.Millisecond
}

// crashOnCommit crashes the writer of the next committed change to a key with the prefix, before it receives
// the response: the leader of the shard that the key belongs to, or all controllers if no shard has a
// leader. The controllers restart after the given time.
func (w *simulation) crashOnCommit(prefix string, restartAfter time.Duration) {
	var triggered atomic.Bool
	crashWriter := func(key string) {
		defer w.group.Done()
		leaders := w.leaders()
		for n := range w.count {
			isWriter := len(leaders) == 0
			for shard, name := range leaders {
				isWriter = isWriter || name == fmt.Sprint("c-", n) && strings.Contains(key, "/"+shard)
			}
			if isWriter {
				w.crash(n, restartAfter, 0)
			}
		}
	}
	w.store.Configure(func(s *simulator.StateService) {
		s.OnCommit = func(puts []string) {
			i := slices.IndexFunc(puts, func(key string) bool { return strings.HasPrefix(key, store.StatePrefix+prefix) })
			if i < 0 || triggered.Swap(true) {
				return
			}
			w.net.Pause("10.2.0.1", 5*time.Millisecond) // holds back the responses of the state service
			w.group.Add(1)
			go crashWriter(puts[i])
		}
	})
}

// startDuplicateProcess starts a second process with the name of a controller, and ends the first one after d. The last
// messages of the first process are delayed by held.
func (w *simulation) startDuplicateProcess(i int, d, held time.Duration) {
	n := w.nodes[i]
	if n.down.Swap(true) {
		return
	}
	old := &node{ip: n.ip, host: n.host, stop: n.stop, done: n.done}
	w.start(i)
	w.group.Add(1)
	time.AfterFunc(d, func() {
		defer w.group.Done()
		w.endIncarnation(old, held)
		n.down.Store(false)
	})
}

// reboot restarts a machine so quickly that no controller can detect its absence.
func (w *simulation) reboot(id, host string, m simulator.Machine, rng *rand.Rand) {
	if hold := finalHoldTime(rng); hold > 0 {
		w.net.Hold(host, hold)
	}
	m.(simulator.Rebooter).Reboot(restartDelay(rng), rng.IntN(2) == 0)
	w.net.Reset(host)
}

// repeatOldRequests repeats earlier requests: submissions, some of them with different content, and
// cancellations. The answers must not change.
func (w *simulation) repeatOldRequests(rng *rand.Rand) {
	caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: w.net.Host("10.3.0.2").Dial}
	for _, id := range w.checker.Jobs() {
		before := w.checker.Stage(id)
		if before == "" || rng.IntN(2) == 0 {
			continue
		}
		j, _ := w.checker.Describe(id)
		other := *j
		switch rng.IntN(4) {
		case 0:
			other.Tasks, other.Team, other.CPUs, other.Image = 90, "nobody", 1000, "other"
		case 1:
			other.Image = strings.Repeat("large", 3000)
		case 2:
			other.Shape = "none"
		}
		cancelled := before == wire.Cancelled
		path, body := wire.PathJobs, wire.Encode(&other)
		if cancelled && rng.IntN(2) == 0 {
			path, body = path+"/"+id+"/"+wire.CancelPathSuffix, []byte{}
		}
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		resp, err := caller.Call(ctx, simulator.Address(w.ip(rng.IntN(w.count)), 8080), "POST", path, body)
		cancel()
		if err != nil || resp.Status >= 500 || resp.Status == 200 && !before.Final() {
			continue // no answer, or the job may have changed in the meantime
		}
		var s wire.JobStatus
		_ = wire.Decode(resp.Body, &s)
		w.checker.ObserveAnswer(id, resp.Status, s.Stage, cancelled)
		if resp.Status != 200 {
			w.t.Errorf("a repeated request for %s, which was %s, is answered %d", id, before, resp.Status)
		}
	}
}

// restartFaults restart processes and machines so quickly that their absence cannot be detected.
var restartFaults = []fault{
	{"a controller crashes", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		w.crash(rng.IntN(w.count), restartDelay(rng), finalHoldTime(rng))
	}},
	{"a controller crashes five times in 2 s", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		i := rng.IntN(w.count)
		for range 5 {
			w.crash(i, 50*time.Millisecond, 0)
			time.Sleep(400 * time.Millisecond)
		}
	}},
	{"all controllers crash and are back in another order", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		hold := finalHoldTime(rng)
		for k, i := range rng.Perm(w.count) {
			restartAfter := time.Duration(50+k*100) * time.Millisecond
			go w.crash(i, restartAfter, hold)
		}
		time.Sleep(time.Second)
	}},
	{"all controllers crash again and again", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for range 3 {
			for _, i := range rng.Perm(w.count) {
				w.crash(i, restartDelay(rng), 0)
			}
			time.Sleep(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
		}
	}},
	{"two controllers swap their roles", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for range 2 {
			for _, name := range w.leaders() {
				w.crash(int(name[2]-'0'), restartDelay(rng), finalHoldTime(rng))
			}
			time.Sleep(time.Duration(500+rng.IntN(1500)) * time.Millisecond)
		}
	}},
	{"two processes of one name", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		w.startDuplicateProcess(rng.IntN(w.count), time.Duration(50+rng.IntN(3000))*time.Millisecond, finalHoldTime(rng))
	}},
	{"whoever claims next crashes before the answer", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		w.crashOnCommit("part/", restartDelay(rng))
		w.crash(rng.IntN(w.count), restartDelay(rng), 0)
	}},
	{"whoever writes a round next crashes before the answer", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		w.crashOnCommit("ledger/", restartDelay(rng))
	}},
	{"a controller crashes while another is suspected", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		i := rng.IntN(w.count)
		w.net.Pause(w.ip(i), 4*time.Second)
		time.Sleep(time.Duration(2000+rng.IntN(3000)) * time.Millisecond)
		w.crash((i+rng.IntN(2))%w.count, restartDelay(rng), finalHoldTime(rng))
	}},
	{"a controller crashes in a rebuild", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		w.crash(rng.IntN(w.count), restartDelay(rng), 0)
		time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
		for _, name := range w.leaders() {
			w.crash(int(name[2]-'0'), restartDelay(rng), finalHoldTime(rng))
		}
	}},
	{"a controller crashes while the state service is out", func(w *simulation, rng *rand.Rand, d time.Duration) {
		during(min(d, 8*time.Second), w.store.SetOutage)
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		w.crash(rng.IntN(w.count), restartDelay(rng), finalHoldTime(rng))
	}},
	{"a machine restarts", func(w *simulation, rng *rand.Rand, _ time.Duration) { w.rebootFirst(rng, 1) }},
	{"half of the machines restart", func(w *simulation, rng *rand.Rand, _ time.Duration) { w.rebootFirst(rng, w.cloud.CountRunning()/2) }},
	{"a machine restarts again and again", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for range 4 {
			w.rebootFirst(rng, 1)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
	}},
	{"the leader and machines restart", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for _, name := range w.leaders() {
			w.crash(int(name[2]-'0'), restartDelay(rng), finalHoldTime(rng))
		}
		w.rebootFirst(rng, 3)
	}},
	{"users ask again", func(w *simulation, rng *rand.Rand, _ time.Duration) { w.repeatOldRequests(rng) }},
}

// rebootFirst restarts the first n running machines.
func (w *simulation) rebootFirst(rng *rand.Rand, n int) {
	w.cloud.EachRunning(func(m wire.ListedMachine, x simulator.Machine) {
		if n > 0 {
			n--
			w.reboot(m.ID, simulator.HostOf(m.Addr), x, rng)
		}
	})
}

// simulateRestarts runs a simulation in which processes and machines restart within 50 to 500 ms, their
// last messages arrive after the restart, and some requests are repeated. sharding returns the sharding
// that the controller with a name is configured with; settle, if not nil, is called after the faults.
func simulateRestarts(t *testing.T, seed uint64, sharding func(name string) string, settle func(*simulation), more ...fault) {
	faults := slices.Concat(restartFaults, more)
	rng := rand.New(rand.NewPCG(seed, 8))
	tuning := drawHeartbeatTuning(rng)
	w := newSimulationOf(t, []int{3, 5}[seed%2], seed, 0.02*float64(rng.IntN(2)), func(c *config.Config) { tuning.apply(c, sharding(c.Name)) })
	duplicateRNG := rand.New(rand.NewPCG(seed, 9))
	w.net.Duplicate(func(_, addr string) time.Duration {
		if w.draw(duplicateRNG, 1000) >= 3 {
			return 0
		}
		return time.Duration(w.draw(duplicateRNG, 1<<w.draw(duplicateRNG, 18))+1) * time.Millisecond
	})
	w.group.Go(func() { w.submit(seed, 24) })
	time.Sleep(10 * time.Second)
	w.injectFaults(rng, 16, 8*time.Second, func(int) (fault, time.Duration) {
		if rng.IntN(5) == 0 {
			return drawFault(rng, stallFaults, 30)
		}
		return drawFault(rng, faults, 30)
	})
	if settle != nil {
		settle(w)
	}
	time.Sleep(time.Minute)
	w.repeatOldRequests(rng)
	w.finishAndCheck(20 * time.Minute)
}

// TestFastRestarts checks that restarts which are too quick to be detected violate no rule in a fleet
// with one shard. AMBERDEAL_BACKS sets the number of simulations, AMBERDEAL_BACK selects a single one.
func TestFastRestarts(t *testing.T) {
	runSeeds(t, 10, "AMBERDEAL_BACK", func(t *testing.T, seed uint64) { simulateRestarts(t, seed, sameSharding("off"), nil) })
}

// TestFastRestartsOfShards does the same with several shards; half of the simulations also reshard from
// time to time. AMBERDEAL_PARTBACKS sets the number of simulations, AMBERDEAL_PARTBACK selects a single
// one.
func TestFastRestartsOfShards(t *testing.T) {
	runSeeds(t, 10, "AMBERDEAL_PARTBACK", func(t *testing.T, seed uint64) {
		if seed/2%2 == 0 {
			simulateRestarts(t, seed, sameSharding("zone"), nil)
			return
		}
		settings := shardingSettings{initial: "zone"}
		reshardAndCrash := fault{"all controllers are set to another sharding and crash again", func(w *simulation, rng *rand.Rand, _ time.Duration) {
			w.crashIntoSharding(&settings, []string{"off", "zone"}[rng.IntN(2)], rng)
			w.crashOnCommit([]string{"grouping", "part/"}[rng.IntN(2)], restartDelay(rng))
		}}
		simulateRestarts(t, seed, settings.forController, func(w *simulation) {
			time.Sleep(5 * time.Second) // all controllers have restarted
			w.crashIntoSharding(&settings, "zone", rand.New(rand.NewPCG(seed, 11)))
		}, reshardAndCrash, reshardAndCrash, reshardAndCrash)
	})
}
