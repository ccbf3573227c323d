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

// fault is a fault that lasts for a while.
type fault struct {
	name  string
	apply func(w *simulation, rng *rand.Rand, d time.Duration)
}

// during starts a fault and ends it after a while.
func during(d time.Duration, apply func(on bool)) {
	apply(true)
	time.AfterFunc(d, func() { apply(false) })
}

// everyMachine returns the hosts of all machines that are up.
func (w *simulation) everyMachine() (hosts []string) {
	for i := range w.cloud.CountRunning() {
		hosts = append(hosts, simulator.HostOf(w.cloud.AddrOfNth(i)))
	}
	return hosts
}

// stallFaults are what too little CPU time, exhausted sockets and asymmetric partitions do to the
// time-based rules: any time may pass between reading a clock, using its value and sending a
// message.
var stallFaults = []fault{
	{"a controller stands still", func(w *simulation, rng *rand.Rand, d time.Duration) { w.net.Pause(w.ip(rng.IntN(3)), d) }},
	{"all controllers stand still", func(w *simulation, _ *rand.Rand, d time.Duration) {
		for i := range 3 {
			w.net.Pause(w.ip(i), d)
		}
	}},
	{"a controller is slow at each step", func(w *simulation, rng *rand.Rand, d time.Duration) {
		most, steps := 1+rng.IntN(1500), rand.New(rand.NewPCG(rng.Uint64(), 7))
		step := func() time.Duration { return time.Duration(w.draw(steps, most)) * time.Millisecond }
		ip := w.ip(rng.IntN(3))
		during(d, func(on bool) {
			if !on {
				step = nil
			}
			w.net.SetStepDelay(ip, step)
		})
	}},
	{"machines hear a controller, which does not hear them", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		for _, host := range w.everyMachine() {
			during(d, func(on bool) { w.net.DropOneWay(host, ip, on) })
		}
	}},
	{"a controller hears machines, which do not hear it", func(w *simulation, rng *rand.Rand, d time.Duration) {
		ip := w.ip(rng.IntN(3))
		for _, host := range w.everyMachine() {
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
		if hosts := w.everyMachine(); len(hosts) > 0 {
			host := hosts[rng.IntN(len(hosts))]
			for i := range 3 {
				during(d, func(on bool) { w.net.DropOneWay(w.ip(i), host, on) })
			}
		}
	}},
	{"one machine can only be called", func(w *simulation, rng *rand.Rand, d time.Duration) {
		if hosts := w.everyMachine(); len(hosts) > 0 {
			host := hosts[rng.IntN(len(hosts))]
			during(d, func(on bool) { w.net.RefuseOutbound(host, on) })
		}
	}},
	{"a machine hangs", func(w *simulation, rng *rand.Rand, d time.Duration) {
		if hosts := w.everyMachine(); len(hosts) > 0 {
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
// are slow at each, sockets run out, and messages pass in one direction only. AMBERDEAL_STALLS
// sets the number of days, AMBERDEAL_STALL plays one.
func TestProcessStalls(t *testing.T) {
	playSeeds(t, 24, "AMBERDEAL_STALL", func(t *testing.T, seed uint64) { runStallScenario(t, seed, sameSharding("off"), nil) })
}

// sameSharding sets every controller to the same sharding.
func sameSharding(by string) func(string) string { return func(string) string { return by } }

// playSeeds plays that many days, or as many as the variable with a final S says, or the one that
// the variable names.
func playSeeds(t *testing.T, days uint64, variable string, play func(t *testing.T, seed uint64)) {
	first := uint64(0)
	if text := os.Getenv(variable + "S"); text != "" {
		days, _ = strconv.ParseUint(text, 10, 64)
	}
	if text := os.Getenv(variable); text != "" {
		first, _ = strconv.ParseUint(text, 10, 64)
		days = 1
	}
	for seed := first; seed < first+days; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { synctest.Test(t, func(t *testing.T) { play(t, seed) }) })
	}
}

// runStallScenario simulates a day with each controller's sharding by its name, and with the given
// faults in addition to those that all days have. settle, if set, is called before its end.
func runStallScenario(t *testing.T, seed uint64, by func(name string) string, settle func(*simulation), more ...fault) {
	faults := slices.Concat(stallFaults, more)
	rng := rand.New(rand.NewPCG(seed, 6))
	tuning := drawHeartbeatTuning(rng)
	w := newSimulation(t, seed, 0.02*float64(rng.IntN(3)), func(c *config.Config) { tuning.apply(c, by(c.Name)) })
	w.group.Go(func() { w.submit(seed, 24) })
	time.Sleep(10 * time.Second)
	w.playFaults(rng, 14, 12*time.Second, func(int) (fault, time.Duration) { return drawFault(rng, faults, 60) })
	if settle != nil {
		settle(w)
	}
	w.finishDay(20 * time.Minute)
}

// TestShardsThroughFaults simulates such days with a fleet in two shards. AMBERDEAL_PARTS sets
// their number, AMBERDEAL_PART plays one.
func TestShardsThroughFaults(t *testing.T) {
	playSeeds(t, 12, "AMBERDEAL_PART", func(t *testing.T, seed uint64) { runStallScenario(t, seed, sameSharding("zone"), nil) })
}
