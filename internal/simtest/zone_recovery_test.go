package simtest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// zoneSimulation is a simulation with controllers and services in several zones.
type zoneSimulation struct {
	*simulation
	zones           []string
	desiredReplicas int // of all services
	recoveryTimes   []time.Duration
}

// serviceCount is the number of services, which run until the end of the simulation.
const serviceCount = 2

// newZoneSimulation starts a simulation of count controllers, which are assigned to the zones in turn, with
// two services that need several machines in each zone. Each letter of zones names a zone. modify changes
// the controllers' settings.
func newZoneSimulation(t *testing.T, seed uint64, zones string, count int, lossy float64, modify func(*config.Config)) *zoneSimulation {
	r := &zoneSimulation{zones: strings.Split(zones, "")}
	r.simulation = newSimulationOf(t, count, seed, lossy, func(c *config.Config) {
		c.Zones = r.zones
		c.Zone = r.zones[int(c.Name[2]-'0')%len(r.zones)]
		modify(c)
	})
	r.cloud.SetFaults(func(*simulator.CloudFaults) { r.cloud.Capacity = 16 / len(r.zones) })
	for i, tasks := range [serviceCount]int{6, 9} {
		r.startUser(&wire.Job{ID: fmt.Sprint("wk-", i), Class: "s", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: tasks, Spread: true,
			CPUs: 4, GPUs: 2, MemoryGB: 8, Image: fmt.Sprint("model-", i), ImageGB: 4}, 24*time.Hour, 0)
		r.desiredReplicas += tasks
	}
	return r
}

// runningReplicas counts the running replicas of the services.
func (r *zoneSimulation) runningReplicas() (n int) {
	for _, k := range r.checker.Replicas("s") {
		n += k
	}
	return n
}

// cutOffZones partitions zones for a while, and records how long it takes afterwards until as many
// replicas run as before.
func (r *zoneSimulation) cutOffZones(zones []string, d time.Duration) {
	before := r.runningReplicas()
	for _, z := range zones {
		r.net.IsolateZone(z, true)
	}
	time.Sleep(d)
	for _, z := range zones {
		r.net.IsolateZone(z, false)
	}
	healed := time.Now()
	r.group.Go(func() {
		for r.runningReplicas() < before && time.Since(healed) < 2*time.Minute {
			time.Sleep(250 * time.Millisecond)
		}
		r.rngMu.Lock()
		defer r.rngMu.Unlock()
		r.recoveryTimes = append(r.recoveryTimes, time.Since(healed).Truncate(time.Second))
	})
}

// finishWithServices ends the simulation when all jobs but the services are over, and checks the results.
func (r *zoneSimulation) finishWithServices(timeout time.Duration) {
	r.declareQuiet()
	for end := time.Now().Add(timeout); len(r.checker.OpenJobs()) > serviceCount; time.Sleep(time.Second) {
		if time.Now().After(end) {
			r.t.Errorf("jobs are not over after %v: %v", timeout, r.checker.OpenJobs())
			break
		}
	}
	r.checkResults()
	r.end()
	r.group.Wait()
	time.Sleep(time.Minute) // until late timers of the simulated services have fired
}

// crashLeaders crashes the leader of each shard.
func (w *simulation) crashLeaders(rng *rand.Rand) {
	for _, shard := range slices.Sorted(maps.Keys(w.leaders())) {
		if name := w.leaders()[shard]; name != "" {
			w.crash(int(name[2]-'0'), restartDelay(rng), finalHoldTime(rng))
		}
	}
}

// eachMachineInZone calls a function for each running machine of a zone.
func (w *simulation) eachMachineInZone(zone string, do func(m wire.ListedMachine, x simulator.Machine)) {
	w.cloud.EachRunning(func(m wire.ListedMachine, x simulator.Machine) {
		if m.Zone == zone {
			do(m, x)
		}
	})
}

// zoneFault is a fault that affects zones. It is over when apply returns.
type zoneFault struct {
	name  string
	apply func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration)
}

// zoneFaults are the faults that TestZoneFailures injects.
var zoneFaults = []zoneFault{
	{"a zone is cut off", func(r *zoneSimulation, _ *rand.Rand, zone string, d time.Duration) { r.cutOffZones([]string{zone}, d) }},
	{"a zone goes and comes every 10 s", func(r *zoneSimulation, rng *rand.Rand, zone string, _ time.Duration) {
		for range 3 + rng.IntN(3) {
			r.cutOffZones([]string{zone}, 10*time.Second)
			time.Sleep(10 * time.Second)
		}
	}},
	{"two zones in turn", func(r *zoneSimulation, rng *rand.Rand, _ string, d time.Duration) {
		for _, k := range rng.Perm(len(r.zones))[:2] {
			r.cutOffZones([]string{r.zones[k]}, d/2)
			time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		}
	}},
	{"two zones at once", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.group.Go(func() { r.cutOffZones([]string{zone}, d) })
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		r.cutOffZones([]string{r.zones[rng.IntN(len(r.zones))]}, d)
	}},
	{"a zone fails again half way through its return", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.cutOffZones([]string{zone}, d)
		time.Sleep(time.Duration(rng.IntN(30_000)) * time.Millisecond)
		r.cutOffZones([]string{zone}, d/2)
	}},
	{"machines of a zone come back restarted", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.group.Go(func() { r.cutOffZones([]string{zone}, d) })
		time.Sleep(d - time.Duration(rng.IntN(4000))*time.Millisecond)
		some := 1 + rng.IntN(3)
		r.eachMachineInZone(zone, func(m wire.ListedMachine, x simulator.Machine) {
			if rng.IntN(3) < some {
				r.reboot(m.ID, simulator.HostOf(m.Addr), x, rng)
			}
		})
		time.Sleep(5 * time.Second)
	}},
	{"machines of a zone die while it is cut off", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.group.Go(func() { r.cutOffZones([]string{zone}, d) })
		time.Sleep(d / 2)
		r.eachMachineInZone(zone, func(m wire.ListedMachine, _ simulator.Machine) {
			if rng.IntN(2) == 0 {
				r.cloud.Crash(m.ID)
			}
		})
		time.Sleep(d - d/2)
	}},
	{"the cloud has nothing to give while a zone is cut off", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.cloud.SetFaults(func(f *simulator.CloudFaults) { f.MissingCapacityShare = 1 })
		r.cutOffZones([]string{zone}, d)
		time.Sleep(time.Duration(rng.IntN(20_000)) * time.Millisecond)
		r.cloud.SetFaults(func(f *simulator.CloudFaults) { f.MissingCapacityShare = 0 })
	}},
	{"the state service is out in the middle", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.group.Go(func() {
			time.Sleep(time.Duration(rng.Int64N(int64(d))))
			during(min(d, 20*time.Second), r.store.SetOutage)
		})
		r.cutOffZones([]string{zone}, d)
	}},
	{"leaders crash while a zone is cut off, and when it returns", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.group.Go(func() { r.cutOffZones([]string{zone}, d) })
		time.Sleep(time.Duration(rng.Int64N(int64(d))))
		r.crashLeaders(rng)
		time.Sleep(time.Duration(rng.Int64N(int64(d))))
		r.crashLeaders(rng)
	}},
	{"controllers crash again and again while a zone goes", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.group.Go(func() { r.cutOffZones([]string{zone}, d) })
		for end := time.Now().Add(d + 10*time.Second); time.Now().Before(end); {
			r.crash(rng.IntN(r.count), restartDelay(rng), finalHoldTime(rng))
			time.Sleep(time.Duration(500+rng.IntN(8000)) * time.Millisecond)
		}
	}},
	{"whoever writes a round crashes before the answer", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.group.Go(func() { r.cutOffZones([]string{zone}, d) })
		for range 3 {
			time.Sleep(time.Duration(rng.Int64N(int64(d/2 + 1))))
			r.crashOnCommit("ledger/", restartDelay(rng))
		}
	}},
	{"a zone is unreachable for one controller alone", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		i := rng.IntN(r.count)
		var hosts []string
		r.eachMachineInZone(zone, func(m wire.ListedMachine, _ simulator.Machine) { hosts = append(hosts, simulator.HostOf(m.Addr)) })
		for _, on := range []bool{true, false} {
			for _, host := range hosts {
				r.net.Partition(r.ip(i), host, on)
			}
			if on {
				time.Sleep(d)
			}
		}
	}},
}

// runZoneScenario simulates a day on which zones fail and recover.
func runZoneScenario(t *testing.T, seed uint64) {
	const faultTime = 150 * time.Second
	rng := rand.New(rand.NewPCG(seed, 12))
	settings := shardingSettings{initial: []string{"off", "zone"}[seed/2%2]}
	tuning := drawHeartbeatTuning(rng)
	r := newZoneSimulation(t, seed, []string{"ab", "abc"}[seed/4%2], []int{3, 5}[seed%2], 0.02*float64(rng.IntN(2)), func(c *config.Config) { tuning.apply(c, settings.forController(c.Name)) })
	r.group.Go(func() { r.submit(seed, 20) })
	reshard := func(to string) {
		r.crashIntoSharding(&settings, to, rng)
		time.Sleep(time.Second) // until all controllers have restarted
	}
	reshardFault := zoneFault{"resharded while a zone is cut off", func(r *zoneSimulation, rng *rand.Rand, zone string, d time.Duration) {
		r.group.Go(func() { r.cutOffZones([]string{zone}, d) })
		time.Sleep(time.Duration(rng.Int64N(int64(d + 10*time.Second))))
		reshard([]string{"off", "zone"}[rng.IntN(2)])
	}}
	faults := zoneFaults
	if seed%3 == 0 {
		faults = slices.Concat(faults, []zoneFault{reshardFault, reshardFault})
	}
	start := time.Now()
	time.Sleep(40 * time.Second)
	for time.Since(start) < faultTime {
		injected, d := faults[rng.IntN(len(faults))], time.Duration(5+rng.IntN(86))*time.Second
		zone := r.zones[rng.IntN(len(r.zones))]
		log(injected.name, zone, d, r.checker.Replicas("s"))
		injected.apply(r, rng, zone, d)
		if rng.IntN(4) == 0 {
			restartFaults[rng.IntN(len(restartFaults))].apply(r.simulation, rng, 10*time.Second)
		}
		time.Sleep(time.Duration(rng.IntN(40_000)) * time.Millisecond)
	}
	if seed%3 == 0 {
		time.Sleep(time.Second)
		reshard("zone") // some controllers may have missed the last change
	}
	time.Sleep(2 * time.Minute)
	if n := r.runningReplicas(); n != r.desiredReplicas {
		t.Errorf("%d of %d replicas run two minutes after the last fault: %v", n, r.desiredReplicas, r.checker.Replicas("s"))
	}
	t.Logf("replicas %v; %d starts, %d stops; recovery times of the replicas: %v", r.checker.Replicas("s"), r.checker.Started, r.checker.Stopped, r.recoveryTimes)
	r.finishWithServices(20 * time.Minute)
}

// TestZoneFailures simulates days on which zones are partitioned for 5 to 90 s, alone and together,
// while processes and machines restart. AMBERDEAL_ROOMS sets the number of days, AMBERDEAL_ROOM
// runs one.
func TestZoneFailures(t *testing.T) { runSeeds(t, 12, "AMBERDEAL_ROOM", runZoneScenario) }

// recordsZoneChange reports whether a write of a round changes the record of a zone or of its recovery,
// in which shard's ledger, and a description of the changes. It keeps what earlier writes recorded in
// known.
func recordsZoneChange(known map[string]string, puts map[string]wire.Raw) (changes bool, shard, description string) {
	for key, raw := range puts {
		rest, ok := strings.CutPrefix(key, store.StatePrefix+"ledger/")
		var segment store.SegmentRecord
		if !ok || wire.DecodeValue(raw, &segment) != nil {
			continue
		}
		shard, _, _ = strings.Cut(rest, "/")
		for _, entry := range slices.Sorted(maps.Keys(segment.Entries)) {
			if name := shard + entry; entry[:2] == "z/" || entry[:2] == "r/" {
				if v := string(segment.Entries[entry]); known[name] != v {
					known[name], changes = v, true
					var zone store.ZoneRecord
					var recovery store.ZoneRecoveryRecord
					_ = wire.DecodeValue(segment.Entries[entry], &zone)
					_ = wire.DecodeValue(segment.Entries[entry], &recovery)
					description += fmt.Sprint(" ", entry, " ", zone.State, recovery.Step)
				}
			}
		}
	}
	description += ";"
	return changes, shard, description
}

// TestCrashAtEachRecoveryStep crashes the leader at each step of a zone's recovery in turn. The write of
// the step is committed never, late, or at once, but the leader gets no reply; it restarts after 0.1 to
// 0.5 s. In the end all replicas have to run, and the recovery has to be over. A short run tests one of
// these fates at each step.
func TestCrashAtEachRecoveryStep(t *testing.T) {
	fates := []simulator.TxnOutcome{simulator.TxnDropped, simulator.TxnDelayed, simulator.TxnReplyLost}
	all := os.Getenv("AMBERDEAL_ROOMS") != ""
	// The writes of a zone's failure and recovery, and those of the recovery alone; one write may record several steps.
	const failureAndRecoverySteps, recoverySteps = 7, 4
	for k, by := range []string{"off", "zone"} {
		for f, fate := range fates {
			for step, reached := 1, true; reached; step++ {
				if !all && fates[(step+k)%len(fates)] != fate && step < failureAndRecoverySteps {
					continue
				}
				t.Run(fmt.Sprint(by, " step ", step, " fate ", f), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { reached = crashAtRecoveryStep(t, by, fate, step) })
				})
				if !reached && step <= recoverySteps && by == "off" {
					t.Errorf("the recovery had only %d steps", step-1)
				}
			}
		}
	}
}

// crashAtRecoveryStep crashes the leader at one step, and reports whether the step was reached.
func crashAtRecoveryStep(t *testing.T, by string, fate simulator.TxnOutcome, step int) (reached bool) {
	rng := rand.New(rand.NewPCG(uint64(step), 13))
	r := newZoneSimulation(t, 2, "ab", 3, 0, func(c *config.Config) { c.Tuning.Shards.By = by })
	known, changesSoFar := map[string]string{}, ""
	r.store.Configure(func(s *simulator.StateService) {
		s.OutcomeOf = func(puts map[string]wire.Raw) simulator.TxnOutcome {
			changes, shard, description := recordsZoneChange(known, puts)
			if !changes {
				return simulator.TxnAnswered
			}
			if changesSoFar += description; len(strings.Split(changesSoFar, ";")) != step+1 {
				return simulator.TxnAnswered
			}
			reached, changesSoFar = true, changesSoFar+" (crash)"
			restartAfter, held := time.Duration(100+rng.IntN(401))*time.Millisecond, finalHoldTime(rng)
			r.group.Go(func() {
				if name := r.leaders()[shard]; name != "" {
					r.crash(int(name[2]-'0'), restartAfter, held)
				}
			})
			return fate
		}
	})
	time.Sleep(30 * time.Second)
	if r.leaders()["fleet"] == "c-1" { // which is in zone b: it would answer the machines there all the time, and none would be given up
		r.kill(1, 15*time.Second)
		time.Sleep(30 * time.Second)
	}
	r.cutOffZones([]string{"b"}, 30*time.Second)
	time.Sleep(100 * time.Second)
	if n := r.runningReplicas(); n != r.desiredReplicas {
		t.Errorf("%d of %d replicas run: %v", n, r.desiredReplicas, r.checker.Replicas("s"))
	}
	t.Logf("%s replicas %v, %d starts, %d stops, recovery times of the replicas: %v", changesSoFar, r.checker.Replicas("s"), r.checker.Started, r.checker.Stopped, r.recoveryTimes)
	r.finishWithServices(time.Minute)
	return reached
}
