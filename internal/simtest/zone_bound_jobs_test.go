package simtest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// What becomes of jobs that are bound to a zone and lose machines there: one_zone gangs, arrays and services, and
// such as name a zone. While a task may be where it was, none of a job starts in another zone; once all are
// proven gone, or done, the rest goes wherever it may.

// zoneLossKinds are how the machines of a zone are lost; gone says that the cloud ends them.
var zoneLossKinds = []struct {
	name  string
	apply func(w *simulation, lost []upMachine, d time.Duration)
}{
	{"die", func(w *simulation, lost []upMachine, _ time.Duration) {
		for _, m := range lost {
			w.cloud.Crash(m.id)
		}
	}},
	{"are taken", func(w *simulation, lost []upMachine, _ time.Duration) {
		for i, m := range lost {
			w.cloud.Preempt(m.id, time.Duration(i%3)*4*time.Second)
		}
	}},
	{"hang", func(_ *simulation, lost []upMachine, d time.Duration) {
		for _, m := range lost {
			m.Pause(d)
		}
	}},
	{"are cut off", func(w *simulation, lost []upMachine, d time.Duration) {
		for _, m := range lost {
			during(d, func(on bool) { w.net.SetDown(m.host, on) })
		}
	}},
	{"are cut off with their zone", func(w *simulation, lost []upMachine, d time.Duration) {
		zone := w.cloud.ZoneOf(lost[0].host + ":9000")
		during(d, func(on bool) { w.net.IsolateZone(zone, on) })
	}},
	{"hear nothing", func(_ *simulation, lost []upMachine, d time.Duration) { loseInbound(d, lost...) }},
}

// zoneObserver records in which zones the tasks of jobs start.
type zoneObserver struct {
	*simulator.Checker
	mu         sync.Mutex
	startZones map[string][]string // of a job's starts, in order
}

// TaskStarted implements simulator.Fixture.
func (b *zoneObserver) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	b.mu.Lock()
	b.startZones[t.Job] = append(b.startZones[t.Job], zone)
	b.mu.Unlock()
	return b.Checker.TaskStarted(t, machine, typ, zone, spot)
}

func (b *zoneObserver) starts(job string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.startZones[job])
}

// runZoneLossScenario loses the machines of the zone with the most one_zone jobs, or all but one of
// them, for a while. What may start elsewhere has to, what may not has to continue in its zone
// once it has machines again.
func runZoneLossScenario(t *testing.T, loss, count int, by string, d time.Duration, all bool, seed uint64) (moved int) {
	x := zoneLossKinds[loss]
	w := newSimulationOf(t, count, seed, 0, func(c *config.Config) {
		c.Zone = []string{"a", "b"}[controllerNumber(c.Name)%2]
		c.Tuning.Shards.By = by
	})
	b := &zoneObserver{Checker: w.checker, startZones: map[string][]string{}}
	w.fixture = b
	w.reconfigureMachines(2*time.Second, func() time.Duration { return 0 })
	w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Capacity = 6 })
	free, tied := w.submitZoneJobs(seed)
	time.Sleep(50 * time.Second)
	zone, jobs := b.busiestZone(free)
	var lost []upMachine
	for _, m := range w.runningMachines() {
		if w.cloud.ZoneOf(m.host+":9000") == zone {
			lost = append(lost, m)
		}
	}
	if !all && len(lost) > 1 {
		lost = lost[:len(lost)-1] // some tasks of a job are still there
	}
	if len(lost) == 0 || jobs == 0 {
		t.Errorf("nothing is bound to a zone: %d jobs in %s, %d machines", jobs, zone, len(lost))
		return 0
	}
	before := map[string]int{}
	for _, id := range append(free, tied...) {
		before[id] = len(b.starts(id))
	}
	log("machines of", zone, x.name, "for", d)
	x.apply(w, lost, d)
	time.Sleep(max(d, 10*time.Second))
	w.finishQuietly(100*time.Second, 10*time.Minute)
	for _, id := range free {
		if s := b.starts(id); len(s) > before[id] && s[len(s)-1] != s[0] {
			moved++
		}
	}
	for _, id := range tied {
		if s := b.starts(id); slices.Contains(s, "b") {
			t.Errorf("%s is bound to a and started in %v", id, s)
		}
	}
	return moved
}

// submitZoneJobs submits jobs of every shape: free ones, which run in one zone but in any, and tied
// ones, which name their zone.
func (w *simulation) submitZoneJobs(seed uint64) (free, tied []string) {
	rng := rand.New(rand.NewPCG(seed, 31))
	for i, shape := range []wire.Shape{wire.Gang, wire.Array, wire.Service, wire.Array, wire.Gang, wire.Array, wire.Array, wire.Service} {
		id, runs := fmt.Sprint("wk-", i+1), []time.Duration{100 * time.Second}
		cancel := time.Duration(0)
		j := jobOf(id, shape, 2+i%3, runs[0])
		switch j.Spot = i%2 == 0; {
		case i < 6:
			j.OneZone = true
			free = append(free, id)
		default:
			j.Zone = "a"
			tied = append(tied, id)
		}
		switch shape {
		case wire.Service:
			runs, cancel = []time.Duration{forever}, 7*time.Minute
		case wire.Array: // some have ended by the time of the loss, and bind the rest no more
			runs = []time.Duration{15 * time.Second, 100 * time.Second, 130 * time.Second}
		case wire.Gang:
			saves(j)
		}
		w.submitter(seed, j, time.Duration(1000+rng.IntN(3000))*time.Millisecond, cancel, runs...)
	}
	return free, tied
}

// busiestZone returns the zone in which most of the jobs started, and how many did.
func (b *zoneObserver) busiestZone(ids []string) (zone string, jobs int) {
	in := map[string]int{}
	for _, id := range ids {
		if s := b.starts(id); len(s) > 0 {
			in[s[0]]++
		}
	}
	zone = "a"
	if in["b"] > in["a"] {
		zone = "b"
	}
	return zone, in[zone]
}

// TestZoneBoundJobs plays each loss, for less and more than a lease, of some and of all machines
// of a zone. AMBERDEAL_ZONEBOUND plays them with 3 and 5 controllers, with one shard and two, for
// that many seeds.
func TestZoneBoundJobs(t *testing.T) {
	seeds, moved := 0, 0
	fmt.Sscan(os.Getenv("AMBERDEAL_ZONEBOUND"), &seeds)
	for i, x := range zoneLossKinds {
		for k, d := range []time.Duration{12 * time.Second, 35 * time.Second} {
			for n := range max(1, 4*seeds) {
				count, by, all := 3+2*(n%2), []string{"off", "zone"}[n/2%2], (i+k+n)%2 == 0
				if seeds == 0 {
					if (i+k)%2 == 1 || i == 1 || i == 4 {
						continue
					}
					count, by = 3+2*(i%2), []string{"off", "zone"}[i/2%2]
				}
				t.Run(fmt.Sprint(x.name, " for ", d, ", all ", all, ", ", count, " controllers, shards ", by, ", ", n/4), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { moved += runZoneLossScenario(t, i, count, by, d, all, uint64(n/4*100+i*10+k)) })
				})
			}
		}
	}
	t.Logf("%d jobs went on in another zone", moved)
	if moved == 0 {
		t.Error("no job went on in another zone")
	}
}
