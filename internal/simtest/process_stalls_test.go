package simtest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
)

// fault is a named fault, which apply injects for the duration d.
type fault struct {
	name  string
	apply func(w *simulation, rng *rand.Rand, d time.Duration)
}

// during switches a fault on, and off again after the duration d.
func during(d time.Duration, apply func(on bool)) {
	apply(true)
	time.AfterFunc(d, func() { apply(false) })
}

// machineHosts returns the hosts of all running machines.
func (w *simulation) machineHosts() (hosts []string) {
	for i := range w.cloud.CountRunning() {
		hosts = append(hosts, simulator.HostOf(w.cloud.AddrOfNth(i)))
	}
	return hosts
}

// stallFaults test the time-based rules under CPU starvation, socket exhaustion and asymmetric
// partitions: any time may pass between reading a clock, using its value and sending a message.
var stallFaults = []fault{
	{"a controller stands still", func(w *simulation, rng *rand.Rand, d time.Duration) { w.net.Pause(w.ip(rng.IntN(3)), d) }},
	{"all controllers stand still", func(w *simulation, _ *rand.Rand, d time.Duration) {
		for i := range 3 {
			w.net.Pause(w.ip(i), d)
		}
	}},
	{"a controller is slow at each step", func(w *simulation, rng *rand.Rand, d time.Duration) {
		maxMillis, stepRNG := 1+rng.IntN(1500), rand.New(rand.NewPCG(rng.Uint64(), 7))
		stepDelay := func() time.Duration { return time.Duration(w.draw(stepRNG, maxMillis)) * time.Millisecond }
		ip := w.ip(rng.IntN(3))
		during(d, func(on bool) {
			if !on {
				stepDelay = nil
			}
			w.net.SetStepDelay(ip, stepDelay)
		})
	}},
	{"machines hear a controller, which does not hear them", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		for _, host := range w.machineHosts() {
			during(d, func(on bool) { w.net.DropOneWay(host, ip, on) })
		}
	}},
	{"a controller hears machines, which do not hear it", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		for _, host := range w.machineHosts() {
			during(d, func(on bool) { w.net.DropOneWay(ip, host, on) })
		}
	}},
	{"no machine finds a socket, all can be called", func(w *simulation, rng *rand.Rand, d time.Duration) {
		first, n := rng.IntN(3), 1+rng.IntN(3)
		for k := range n {
			during(d, func(on bool) { w.net.RefuseInbound(w.ip((first+k)%3), on) })
		}
	}},
	{"one machine's answers are lost", func(w *simulation, rng *rand.Rand, d time.Duration) {
		if hosts := w.machineHosts(); len(hosts) > 0 {
			host := hosts[rng.IntN(len(hosts))]
			for i := range 3 {
				during(d, func(on bool) { w.net.DropOneWay(w.ip(i), host, on) })
			}
		}
	}},
	{"one machine can only be called", func(w *simulation, rng *rand.Rand, d time.Duration) {
		if hosts := w.machineHosts(); len(hosts) > 0 {
			host := hosts[rng.IntN(len(hosts))]
			during(d, func(on bool) { w.net.RefuseOutbound(host, on) })
		}
	}},
	{"a machine hangs", func(w *simulation, rng *rand.Rand, d time.Duration) {
		if hosts := w.machineHosts(); len(hosts) > 0 {
			host := hosts[rng.IntN(len(hosts))]
			during(d, func(on bool) { w.net.SetDown(host, on) })
		}
	}},
	{"the state service's answers to one are lost", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		during(d, func(on bool) { w.net.DropOneWay("10.2.0.1", ip, on) })
	}},
	{"one does not reach the state service", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		during(d, func(on bool) { w.net.Partition(ip, "10.2.0.1", on) })
	}},
	{"controllers don't hear each other", func(w *simulation, rng *rand.Rand, d time.Duration) {
		a, b := rng.IntN(3), rng.IntN(3)
		during(d, func(on bool) { w.net.DropOneWay(w.ip(a), w.ip(b), on) })
	}},
	{"the cloud is not heard", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		during(d, func(on bool) { w.net.DropOneWay("10.2.0.2", ip, on) })
	}},
	{"a controller is killed", func(w *simulation, rng *rand.Rand, _ time.Duration) { w.kill(rng.IntN(3), 3*time.Second) }},
	{"the state service is out", func(w *simulation, _ *rand.Rand, d time.Duration) {
		during(min(d, 30*time.Second), w.store.SetOutage)
	}},
}

// TestProcessStalls simulates days on which controllers are paused for 1 to 60 s at any step or
// are slow at every step, sockets run out, and messages pass in one direction only. AMBERDEAL_STALLS
// sets the number of days, AMBERDEAL_STALL runs one.
func TestProcessStalls(t *testing.T) {
	runSeeds(t, 24, "AMBERDEAL_STALL", func(t *testing.T, seed uint64) { runStallScenario(t, seed, sameSharding("off"), nil) })
}

// sameSharding returns a function that gives every controller the same sharding.
func sameSharding(by string) func(string) string { return func(string) string { return by } }

// runSeeds simulates a day for each seed from 0 to days-1. The environment variable named variable
// plus "S" sets another number of days, and variable itself selects a single seed.
func runSeeds(t *testing.T, days uint64, variable string, simulate func(t *testing.T, seed uint64)) {
	first := uint64(0)
	if text := os.Getenv(variable + "S"); text != "" {
		days, _ = strconv.ParseUint(text, 10, 64)
	}
	if text := os.Getenv(variable); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
		days = 1
	}
	for seed := first; seed < first+days; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { simulate(t, seed) }) })
	}
}

// runStallScenario simulates a day with stallFaults and additional faults. shardingOf returns a controller's
// sharding by its name. settle, if not nil, is called before the end of the day.
func runStallScenario(t *testing.T, seed uint64, shardingOf func(name string) string, settle func(*simulation), additional ...fault) {
	faults := slices.Concat(stallFaults, additional)
	rng := rand.New(rand.NewPCG(seed, 6))
	tuning := drawHeartbeatTuning(rng)
	w := newSimulation(t, seed, 0.02*float64(rng.IntN(3)), func(c *config.Config) { tuning.apply(c, shardingOf(c.Name)) })
	w.group.Go(func() { w.submit(seed, 24) })
	time.Sleep(10 * time.Second)
	w.injectFaults(rng, 14, 12*time.Second, func(int) (fault, time.Duration) { return drawFault(rng, faults, 60) })
	if settle != nil {
		settle(w)
	}
	w.finishAndCheck(20 * time.Minute)
}

// TestShardsThroughFaults simulates days like those of TestProcessStalls with a fleet in two shards.
// AMBERDEAL_PARTS sets their number, AMBERDEAL_PART runs one.
func TestShardsThroughFaults(t *testing.T) {
	runSeeds(t, 12, "AMBERDEAL_PART", func(t *testing.T, seed uint64) { runStallScenario(t, seed, sameSharding("zone"), nil) })
}
