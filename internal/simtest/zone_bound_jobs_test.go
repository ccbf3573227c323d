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

// The tests in this file check jobs that are bound to a zone and lose machines there: gangs, arrays and services with
// one_zone set, and jobs that name a zone. While any task of a job may still be in its zone, no task of the job starts
// in another one; once all are proven to be gone, or done, the other tasks may start in any zone that the job allows.

// zoneLossKinds are the ways in which the machines of a zone are lost.
var zoneLossKinds = []struct {
	name  string
	apply func(w *simulation, lost []runningMachine, d time.Duration)
}{
	{"die", func(w *simulation, lost []runningMachine, _ time.Duration) {
		for _, m := range lost {
			w.cloud.Crash(m.id)
		}
	}},
	{"are taken", func(w *simulation, lost []runningMachine, _ time.Duration) {
		for i, m := range lost {
			w.cloud.Preempt(m.id, time.Duration(i%3)*4*time.Second)
		}
	}},
	{"hang", func(_ *simulation, lost []runningMachine, d time.Duration) {
		for _, m := range lost {
			m.Pause(d)
		}
	}},
	{"are cut off", func(w *simulation, lost []runningMachine, d time.Duration) {
		for _, m := range lost {
			during(d, func(on bool) { w.net.SetDown(m.host, on) })
		}
	}},
	{"are cut off with their zone", func(w *simulation, lost []runningMachine, d time.Duration) {
		zone := w.cloud.ZoneOf(lost[0].host + ":9000")
		during(d, func(on bool) { w.net.IsolateZone(zone, on) })
	}},
	{"hear nothing", func(_ *simulation, lost []runningMachine, d time.Duration) { dropInbound(d, lost...) }},
}

// zoneObserver records the zones in which the tasks of jobs start.
type zoneObserver struct {
	*simulator.Checker
	mu         sync.Mutex
	startZones map[string][]string // zones of a job's starts, in order
}

// TaskStarted implements simulator.Fixture.
func (b *zoneObserver) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	b.mu.Lock()
	b.startZones[t.Job] = append(b.startZones[t.Job], zone)
	b.mu.Unlock()
	return b.Checker.TaskStarted(t, machine, typ, zone, spot)
}

// starts returns the zones in which the tasks of a job have started, in order.
func (b *zoneObserver) starts(job string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.startZones[job])
}

// runZoneLossScenario loses the machines of the zone with the most one_zone jobs, or all but one of
// them, for a while. Jobs that may start elsewhere have to, and the others have to continue in their
// zone once it has machines again. It returns how many jobs moved to another zone.
func runZoneLossScenario(t *testing.T, loss, count int, by string, d time.Duration, all bool, seed uint64) (moved int) {
	lossKind := zoneLossKinds[loss]
	w := newSimulationOf(t, count, seed, 0, func(c *config.Config) {
		c.Zone = []string{"a", "b"}[controllerNumber(c.Name)%2]
		c.Tuning.Shards.By = by
	})
	b := &zoneObserver{Checker: w.checker, startZones: map[string][]string{}}
	w.fixture = b
	w.reconfigureMachines(2*time.Second, func() time.Duration { return 0 })
	w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Capacity = 6 })
	anyZone, zoneA := w.submitZoneJobs(seed)
	time.Sleep(50 * time.Second)
	zone, jobs := b.busiestZone(anyZone)
	var lost []runningMachine
	for _, m := range w.runningMachines() {
		if w.cloud.ZoneOf(m.host+":9000") == zone {
			lost = append(lost, m)
		}
	}
	if !all && len(lost) > 1 {
		lost = lost[:len(lost)-1] // some tasks of a job remain in the zone
	}
	if len(lost) == 0 || jobs == 0 {
		t.Errorf("no job is affected by the loss: %d jobs in zone %s, %d machines", jobs, zone, len(lost))
		return 0
	}
	before := map[string]int{}
	for _, id := range append(anyZone, zoneA...) {
		before[id] = len(b.starts(id))
	}
	log("machines of", zone, lossKind.name, "for", d)
	lossKind.apply(w, lost, d)
	time.Sleep(max(d, 10*time.Second))
	w.finishQuietly(100*time.Second, 10*time.Minute)
	for _, id := range anyZone {
		if s := b.starts(id); len(s) > before[id] && s[len(s)-1] != s[0] {
			moved++
		}
	}
	for _, id := range zoneA {
		if s := b.starts(id); slices.Contains(s, "b") {
			t.Errorf("%s is bound to zone a, but started in %v", id, s)
		}
	}
	return moved
}

// submitZoneJobs submits jobs of every shape, and returns the IDs of those that run in a single zone, but
// in any (anyZone), and of those that name zone a (zoneA).
func (w *simulation) submitZoneJobs(seed uint64) (anyZone, zoneA []string) {
	rng := rand.New(rand.NewPCG(seed, 31))
	for i, shape := range []wire.Shape{wire.Gang, wire.Array, wire.Service, wire.Array, wire.Gang, wire.Array, wire.Array, wire.Service} {
		id, runs := fmt.Sprint("wk-", i+1), []time.Duration{100 * time.Second}
		cancel := time.Duration(0)
		j := jobOf(id, shape, 2+i%3, runs[0])
		switch j.Spot = i%2 == 0; {
		case i < 6:
			j.OneZone = true
			anyZone = append(anyZone, id)
		default:
			j.Zone = "a"
			zoneA = append(zoneA, id)
		}
		switch shape {
		case wire.Service:
			runs, cancel = []time.Duration{serviceRunTime}, 7*time.Minute
		case wire.Array: // some tasks end before the loss, and no longer bind the others to the zone
			runs = []time.Duration{15 * time.Second, 100 * time.Second, 130 * time.Second}
		case wire.Gang:
			withCheckpoints(j)
		}
		w.startClient(seed, j, time.Duration(1000+rng.IntN(3000))*time.Millisecond, cancel, runs...)
	}
	return anyZone, zoneA
}

// busiestZone returns the zone in which most of the jobs first started, and how many did.
func (b *zoneObserver) busiestZone(ids []string) (zone string, jobs int) {
	jobsByZone := map[string]int{}
	for _, id := range ids {
		if s := b.starts(id); len(s) > 0 {
			jobsByZone[s[0]]++
		}
	}
	zone = "a"
	if jobsByZone["b"] > jobsByZone["a"] {
		zone = "b"
	}
	return zone, jobsByZone[zone]
}

// TestZoneBoundJobs simulates losses of some and of all machines of a zone, for less and for more than
// a lease. AMBERDEAL_ZONEBOUND simulates every loss with 3 and 5 controllers, with one shard and two,
// for that many seeds.
func TestZoneBoundJobs(t *testing.T) {
	seeds, moved := 0, 0
	fmt.Sscan(os.Getenv("AMBERDEAL_ZONEBOUND"), &seeds)
	for i, lossKind := range zoneLossKinds {
		for k, d := range []time.Duration{12 * time.Second, 35 * time.Second} {
			for n := range max(1, 4*seeds) {
				count, by, all := 3+2*(n%2), []string{"off", "zone"}[n/2%2], (i+k+n)%2 == 0
				if seeds == 0 {
					if (i+k)%2 == 1 || i == 1 || i == 4 {
						continue
					}
					count, by = 3+2*(i%2), []string{"off", "zone"}[i/2%2]
				}
				t.Run(fmt.Sprint(lossKind.name, " for ", d, ", all ", all, ", ", count, " controllers, shards ", by, ", ", n/4), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { moved += runZoneLossScenario(t, i, count, by, d, all, uint64(n/4*100+i*10+k)) })
				})
			}
		}
	}
	t.Logf("%d jobs moved to another zone", moved)
	if moved == 0 {
		t.Error("no job moved to another zone")
	}
}
