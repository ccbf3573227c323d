package simtest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// The tests in this file run jobs of two or three tasks that end at different times, while leaders change.

// submitStaggeredJobs submits jobs of few tasks that end one after the other: each job needs more than
// half of its team's quota, or is a gang, or has long and short tasks. It returns the total number of
// tasks.
func (w *simulation) submitStaggeredJobs() (tasks int) {
	for i, j := range []wire.Job{
		{Shape: wire.Array, Team: "red", Tasks: 3, GPUs: 4},
		{Shape: wire.Array, Team: "blue", Tasks: 3, GPUs: 3},
		{Shape: wire.Gang, Team: "blue", Tasks: 2, GPUs: 1, OneZone: true},
		{Shape: wire.Array, Team: "blue", Tasks: 2, GPUs: 1, Spread: true},
	} {
		j.ID, j.Class, j.Priority, j.CPUs, j.MemoryGB, j.Image, j.ImageGB = fmt.Sprint("wk-", i+1), "c", wire.Normal, 2, 8, "img", 1
		run := time.Duration(9+5*i) * time.Second
		j.EstimateS = run.Seconds()
		w.startUser(&j, run, 0)
		tasks += j.Tasks
		time.Sleep(1300 * time.Millisecond)
	}
	return tasks
}

// recordsCompletion reports whether a write is the first to record that a task has ended or a job
// is done, and in which shard's ledger. It keeps what earlier writes recorded in known.
func recordsCompletion(known map[string]string, puts map[string]wire.Raw) (completes bool, shard string) {
	for key, raw := range puts {
		var batch store.BatchRecord
		var segment store.SegmentRecord
		if strings.HasPrefix(key, store.BatchKey("")) && wire.DecodeValue(raw, &batch) == nil {
			for id, rec := range batch.Jobs {
				state := string(rec.Stage)
				for _, taskRange := range rec.Ranges {
					state += fmt.Sprint(taskRange.Done)
				}
				if known[id] != state {
					completes = completes || rec.Stage == wire.Done || strings.Contains(state, "true")
					known[id] = state
				}
			}
		}
		rest, ok := strings.CutPrefix(key, store.StatePrefix+"ledger/")
		if !ok || wire.DecodeValue(raw, &segment) != nil {
			continue
		}
		shard, _, _ = strings.Cut(rest, "/")
		shard, _, _ = strings.Cut(shard, "@")
		for entry, raw := range segment.Entries {
			if strings.HasPrefix(entry, "p/") && known[shard+entry] != string(raw) {
				known[shard+entry], completes = string(raw), true
			}
		}
	}
	return completes, shard
}

// completionFault is what happens to the write that records a completion and to the leader that sends it.
type completionFault struct {
	name         string
	fate         simulator.TxnOutcome
	apply        func(w *simulation, leader int, rng *rand.Rand)
	losesMachine bool // a machine is lost too, so that its tasks may have to start again
}

// completionFaults are the faults that are injected at the write that records a completion.
var completionFaults = []completionFault{
	{"the leader crashes, the write is lost", simulator.TxnDropped, crashLeader, false},
	{"the leader crashes, the write comes late", simulator.TxnDelayed, crashLeader, false},
	{"the leader crashes, the write is taken", simulator.TxnReplyLost, crashLeader, false},
	{"the leader is cut off with its machines, the write comes late", simulator.TxnDelayed, cutOffLeader, false},
	{"the leader is cut off with its machines, the write is taken", simulator.TxnReplyLost, cutOffLeader, false},
	{"the leader crashes with a machine, the write is lost", simulator.TxnDropped, func(w *simulation, leader int, rng *rand.Rand) {
		w.cloud.RemoveNth(rng.IntN(4))
		crashLeader(w, leader, rng)
	}, true},
	{"the leader crashes while no machine can receive from the next one", simulator.TxnDropped, func(w *simulation, leader int, rng *rand.Rand) {
		w.dropControllerTraffic(w.machineHosts(), 8*time.Second)
		w.crash(leader, 9*time.Second, 0)
	}, true},
	{"another process of the leader's name begins", simulator.TxnDropped, func(w *simulation, leader int, rng *rand.Rand) {
		w.startDuplicateProcess(leader, 6*time.Second, finalHoldTime(rng))
	}, false},
	{"the leader is cut off with its machines, once it has its answer", simulator.TxnAnswered, cutOffLeader, false},
	{"the leader stands still, once it has its answer", simulator.TxnAnswered, func(w *simulation, leader int, rng *rand.Rand) {
		w.net.Pause(w.ip(leader), time.Duration(5+rng.IntN(40))*time.Second)
	}, true},
}

// cutOffLeader partitions a leader from the state service and its peers for 30 s.
func cutOffLeader(w *simulation, leader int, _ *rand.Rand) {
	during(30*time.Second, func(on bool) { w.partitionFromStoreAndPeers(leader, on) })
}

// crashLeader crashes a leader, which restarts after a short delay.
func crashLeader(w *simulation, leader int, rng *rand.Rand) {
	w.crash(leader, restartDelay(rng), finalHoldTime(rng))
}

// replayHeartbeats delivers copies of a share of the heartbeats, with delays from 2 s to well over a lease.
func (w *simulation) replayHeartbeats(seed uint64, share float64) {
	rng := rand.New(rand.NewPCG(seed, 15))
	w.net.Duplicate(func(from, addr string) time.Duration {
		if !strings.HasPrefix(from, "10.1.") || !strings.HasSuffix(addr, ":8080") || float64(w.draw(rng, 1000)) >= 1000*share {
			return 0
		}
		return 2*time.Second + time.Duration(w.draw(rng, 45_000))*time.Millisecond
	})
}

// TestCrashAtEachCompletion injects a fault at each write that records the end of a task or job in
// turn, while copies of heartbeats arrive late. The job has to become done, but not before its last
// task, and no task that ended on a surviving machine may start again. A short run injects one fault
// at each write, AMBERDEAL_ENDS all of them.
func TestCrashAtEachCompletion(t *testing.T) {
	all := os.Getenv("AMBERDEAL_ENDS") != ""
	const minWrites = 5 // at least this many writes record an end
	for k, by := range []string{"off", "zone"} {
		for f, injected := range completionFaults {
			for step, reached := 1, true; reached; step++ {
				if !all && (step+minWrites*k)%len(completionFaults) != f {
					reached = step < minWrites
					continue
				}
				t.Run(fmt.Sprint(by, " end ", step, " ", injected.name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { reached = crashAtCompletion(t, by, injected, step) })
				})
				if !reached && step <= minWrites {
					t.Errorf("only %d writes recorded an end", step-1)
				}
				reached = reached && (all || step < minWrites)
			}
		}
	}
}

// crashAtCompletion injects a fault at the step-th write that records a completion, and reports whether
// there was such a write.
func crashAtCompletion(t *testing.T, by string, injected completionFault, step int) (reached bool) {
	return faultAtWrite(t, by, injected, step, recordsCompletion)
}

// faultAtWrite injects a fault at the step-th write that matches, and reports whether there was such a write.
func faultAtWrite(t *testing.T, by string, injected completionFault, step int, matches func(known map[string]string, puts map[string]wire.Raw) (is bool, shard string)) (reached bool) {
	seed := uint64(step)
	rng := rand.New(rand.NewPCG(seed, 14))
	w := newSimulationOf(t, []int{3, 5}[step%2], seed, 0, func(c *config.Config) { c.Tuning.Shards.By = by })
	w.replayHeartbeats(seed, 0.1)
	known, writes := map[string]string{}, 0
	w.store.Configure(func(s *simulator.StateService) {
		s.OutcomeOf = func(puts map[string]wire.Raw) simulator.TxnOutcome {
			is, shard := matches(known, puts)
			if !is {
				return simulator.TxnAnswered
			}
			if writes++; writes != step {
				return simulator.TxnAnswered
			}
			reached = true
			w.group.Go(func() {
				if i := w.leaderOf(shard); i >= 0 {
					injected.apply(w, i, rng)
				}
			})
			return injected.fate
		}
	})
	time.Sleep(8 * time.Second)
	tasks := w.submitStaggeredJobs()
	for end := time.Now().Add(3 * time.Minute); len(w.checker.OpenJobs()) > 0; time.Sleep(time.Second) {
		if time.Now().After(end) {
			t.Errorf("these jobs have not ended: %v", w.checker.OpenJobs())
			break
		}
	}
	time.Sleep(10 * time.Second)
	if started := w.checker.Started; !injected.losesMachine && started != tasks {
		t.Errorf("%d starts of %d tasks", started, tasks)
	}
	w.declareQuiet()
	w.finish(time.Minute)
	w.checkResults()
	return reached
}

// recordsLaunch reports whether a write is the first to record a task on a machine, and in which shard's ledger.
// It keeps what earlier writes recorded in known.
func recordsLaunch(known map[string]string, puts map[string]wire.Raw) (launches bool, shard string) {
	for key, raw := range puts {
		var segment store.SegmentRecord
		rest, ok := strings.CutPrefix(key, store.StatePrefix+"ledger/")
		if !ok || wire.DecodeValue(raw, &segment) != nil {
			continue
		}
		shard, _, _ = strings.Cut(rest, "/")
		for entry, raw := range segment.Entries {
			var machine store.MachineRecord
			if !strings.HasPrefix(entry, "m/") || wire.DecodeValue(raw, &machine) != nil {
				continue
			}
			for task, attempt := range machine.Tasks {
				if name := fmt.Sprint(entry, task, attempt); known[name] == "" {
					known[name], launches = "named", true
				}
			}
		}
	}
	return launches, shard
}

// TestPartitionAtEachLaunch injects a fault at the write of each launch: the next leader finds the
// write in the state service at once, or late, or never, while the leader that sent it is partitioned
// together with the machines, or has crashed, or the machines receive nothing. No task may run twice,
// no quota may be exceeded, and each job has to become done. A short run injects one fault at each
// launch, AMBERDEAL_ENDS all of them.
func TestPartitionAtEachLaunch(t *testing.T) {
	all := os.Getenv("AMBERDEAL_ENDS") != ""
	launches := 2
	if all {
		launches = 4
	}
	for k, by := range []string{"off", "zone"} {
		for f, injected := range completionFaults {
			for step := 1; step <= launches; step++ {
				if !all && (2*step+k+5)%len(completionFaults) != f {
					continue
				}
				injected.losesMachine = true // a task may be launched again elsewhere once it is proven to be gone
				t.Run(fmt.Sprint(by, " launch ", step, " ", injected.name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						if !faultAtWrite(t, by, injected, step, recordsLaunch) {
							t.Errorf("too few writes recorded a launch")
						}
					})
				})
			}
		}
	}
}

// completionScenarioFaults are the faults of TestCompletionFaults.
var completionScenarioFaults = []fault{
	{"machines receive nothing", func(w *simulation, rng *rand.Rand, d time.Duration) {
		hosts := w.machineHosts()
		rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		w.dropControllerTraffic(hosts[:rng.IntN(len(hosts)+1)], d)
	}},
	{"a leader is cut from the state service and the others", func(w *simulation, rng *rand.Rand, d time.Duration) {
		for _, name := range w.leaders() {
			if rng.IntN(2) == 0 {
				cutOffLeader(w, controllerNumber(name), rng)
			}
		}
	}},
	{"leaders crash", func(w *simulation, rng *rand.Rand, _ time.Duration) { w.crashLeaders(rng) }},
	{"leaders crash, and again", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for range 2 + rng.IntN(3) {
			w.crashLeaders(rng)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
	}},
	{"all controllers end, one returns", func(w *simulation, rng *rand.Rand, d time.Duration) {
		first := rng.IntN(w.count)
		for i := range w.count {
			if i == first {
				w.kill(i, time.Duration(50+rng.IntN(950))*time.Millisecond)
			} else {
				w.kill(i, d)
			}
		}
	}},
	{"two processes of one name", func(w *simulation, rng *rand.Rand, d time.Duration) {
		w.startDuplicateProcess(rng.IntN(w.count), d/4, finalHoldTime(rng))
	}},
	{"writes come late", func(w *simulation, rng *rand.Rand, d time.Duration) {
		fateRNG, done := rand.New(rand.NewPCG(rng.Uint64(), 16)), make(chan struct{})
		time.AfterFunc(d, func() { close(done) })
		w.store.Configure(func(s *simulator.StateService) {
			s.OutcomeOf = func(map[string]wire.Raw) simulator.TxnOutcome {
				select {
				case <-done:
					return simulator.TxnAnswered
				default:
				}
				return []simulator.TxnOutcome{simulator.TxnAnswered, simulator.TxnAnswered, simulator.TxnDelayed, simulator.TxnReplyLost, simulator.TxnDropped}[w.draw(fateRNG, 5)]
			}
		})
	}},
	{"a zone is cut off", func(w *simulation, rng *rand.Rand, d time.Duration) {
		zone := []string{"a", "b"}[rng.IntN(2)]
		during(d, func(on bool) { w.net.IsolateZone(zone, on) })
	}},
	{"a machine is taken", func(w *simulation, rng *rand.Rand, _ time.Duration) { w.cloud.RemoveNth(rng.IntN(8)) }},
	{"the cloud takes nothing back", func(w *simulation, _ *rand.Rand, d time.Duration) {
		for i := range w.count {
			during(d, func(on bool) { w.net.Partition(w.ip(i), cloudHost, on) })
		}
	}},
	{"machines restart", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		w.cloud.EachRunning(func(m wire.ListedMachine, x simulator.Machine) {
			if rng.IntN(3) == 0 {
				w.reboot(m.ID, simulator.HostOf(m.Addr), x, rng)
			}
		})
	}},
}

// TestCompletionFaults simulates days with jobs of few tasks and two or three faults at a time, with
// one shard and several, with 3 and 5 controllers, some with resharding. The quota of the team red is
// exhausted all the time. AMBERDEAL_ENDS sets the number of days, AMBERDEAL_END runs one.
func TestCompletionFaults(t *testing.T) { runSeeds(t, 3, "AMBERDEAL_END", runCompletionScenario) }

// runCompletionScenario simulates a day of TestCompletionFaults.
func runCompletionScenario(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 17))
	settings := shardingSettings{initial: []string{"off", "zone"}[seed%2]}
	heartbeatTimeout := []time.Duration{0, time.Hour}[rng.IntN(2)]
	w := newSimulationOf(t, []int{3, 5}[seed/2%2], seed, 0, func(c *config.Config) {
		c.Tuning.Shards.By, c.Tuning.HeartbeatTimeout = settings.forController(c.Name), heartbeatTimeout
		c.Zone = []string{"a", "b"}[controllerNumber(c.Name)%2]
	})
	w.replayHeartbeats(seed, 0.05)
	w.group.Go(func() {
		jobRNG := rand.New(rand.NewPCG(seed, 18)) // rand.Rand is not safe for concurrent use
		for i := range 24 {
			w.submitCompletionJob(jobRNG, i)
			time.Sleep(time.Duration(jobRNG.IntN(7000)) * time.Millisecond)
		}
	})
	time.Sleep(15 * time.Second)
	for range 7 {
		for range 2 + rng.IntN(2) {
			injected, d := completionScenarioFaults[rng.IntN(len(completionScenarioFaults))], time.Duration(3+rng.IntN(50))*time.Second
			log(injected.name, d)
			w.group.Go(func() { injected.apply(w, rand.New(rand.NewPCG(seed, uint64(d))), d) })
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		}
		if seed%3 == 2 && rng.IntN(3) == 0 {
			to := []string{"off", "zone"}[rng.IntN(2)]
			for i := range w.count {
				settings.set(i, to)
				w.kill(i, time.Duration(50+rng.IntN(2000))*time.Millisecond)
			}
		}
		time.Sleep(time.Duration(5000+rng.IntN(20_000)) * time.Millisecond)
	}
	time.Sleep(time.Minute)  // until the last fault is over
	for i := range w.count { // a controller that missed a change gets the others' settings
		if settings.set(i, settings.forController("c-0")); seed%3 == 2 {
			w.kill(i, time.Second)
		}
	}
	time.Sleep(2 * time.Second)
	w.declareQuiet()
	w.finish(20 * time.Minute)
	w.checkResults()
}

// submitCompletionJob submits the i-th job of TestCompletionFaults.
func (w *simulation) submitCompletionJob(rng *rand.Rand, i int) {
	j := &wire.Job{ID: fmt.Sprint("wk-", i+1), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.Array, Priority: []wire.Priority{wire.Normal, wire.High, wire.Production}[i%3],
		Tasks: 2 + rng.IntN(2), CPUs: 2, GPUs: float64(1 + rng.IntN(3)), MemoryGB: 8, Image: "img", ImageGB: 1, EstimateS: 20}
	switch i % 5 {
	case 1:
		j.Shape, j.OneZone, j.CheckpointS, j.SaveS, j.GPUs = wire.Gang, true, 5, 1, min(j.GPUs, 2) // within red's quota
	case 2:
		j.Spread, j.Spot = true, true
	case 3:
		j.OneZone = true
	case 4:
		j.Zone = []string{"a", "b"}[rng.IntN(2)]
	}
	cancel := time.Duration(0)
	if i%4 == 3 {
		cancel = time.Duration(5+rng.IntN(40)) * time.Second
	}
	w.startUser(j, time.Duration(5+rng.IntN(30))*time.Second, cancel)
}
