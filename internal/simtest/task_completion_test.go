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

// Jobs of two or three tasks that end far apart, while leaders change.

// submitStaggeredJobs submits jobs of few tasks that end one after the other: each needs more than
// half of its team's quota, or is a gang, or has long and short tasks. It returns the number of
// their tasks.
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
		w.user(&j, run, 0)
		tasks += j.Tasks
		time.Sleep(1300 * time.Millisecond)
	}
	return tasks
}

// recordsCompletion reports whether a write is the first to record that a task has ended or a job
// is done, and in which shard's ledger.
func recordsCompletion(known map[string]string, puts map[string]wire.Raw) (is bool, shard string) {
	for key, raw := range puts {
		var batch store.BatchRecord
		var slot store.SegmentRecord
		if strings.HasPrefix(key, store.BatchKey("")) && wire.DecodeValue(raw, &batch) == nil {
			for id, rec := range batch.Jobs {
				said := string(rec.Stage)
				for _, s := range rec.Ranges {
					said += fmt.Sprint(s.Done)
				}
				if known[id] != said {
					is = is || rec.Stage == wire.Done || strings.Contains(said, "true")
					known[id] = said
				}
			}
		}
		rest, ok := strings.CutPrefix(key, store.StatePrefix+"ledger/")
		if !ok || wire.DecodeValue(raw, &slot) != nil {
			continue
		}
		shard, _, _ = strings.Cut(rest, "/")
		shard, _, _ = strings.Cut(shard, "@")
		for entry, raw := range slot.Entries {
			if strings.HasPrefix(entry, "p/") && known[shard+entry] != string(raw) {
				known[shard+entry], is = string(raw), true
			}
		}
	}
	return is, shard
}

// completionFault is what happens to the write of a completion and to the leader that writes it.
type completionFault struct {
	name         string
	fate         simulator.Fate
	apply        func(w *simulation, leader int, rng *rand.Rand)
	losesMachine bool // a machine ends too, so that its work may have to be repeated
}

// completionFaults are the faults that are injected at the write of a completion.
var completionFaults = []completionFault{
	{"the leader crashes, the write is lost", simulator.FateDropped, crashLeader, false},
	{"the leader crashes, the write comes late", simulator.FateDelayed, crashLeader, false},
	{"the leader crashes, the write is taken", simulator.FateReplyLost, crashLeader, false},
	{"the leader is cut off with its machines, the write comes late", simulator.FateDelayed, cutOffLeader, false},
	{"the leader is cut off with its machines, the write is taken", simulator.FateReplyLost, cutOffLeader, false},
	{"the leader crashes with a machine, the write is lost", simulator.FateDropped, func(w *simulation, leader int, rng *rand.Rand) {
		w.cloud.RemoveNth(rng.IntN(4))
		crashLeader(w, leader, rng)
	}, true},
	{"the leader crashes while no machine can receive from the next one", simulator.FateDropped, func(w *simulation, leader int, rng *rand.Rand) {
		w.deafenHosts(w.everyMachine(), 8*time.Second)
		w.crash(leader, 9*time.Second, 0)
	}, true},
	{"another process of the leader's name begins", simulator.FateDropped, func(w *simulation, leader int, rng *rand.Rand) {
		w.twin(leader, 6*time.Second, finalHoldTime(rng))
	}, false},
	{"the leader is cut off with its machines, once it has its answer", simulator.FateAnswered, cutOffLeader, false},
	{"the leader stands still, once it has its answer", simulator.FateAnswered, func(w *simulation, leader int, rng *rand.Rand) {
		w.net.Pause(w.ip(leader), time.Duration(5+rng.IntN(40))*time.Second)
	}, true},
}

// cutOffLeader cuts a leader off for a while.
func cutOffLeader(w *simulation, leader int, _ *rand.Rand) {
	during(30*time.Second, func(on bool) { w.cutOff(leader, on) })
}

// crashLeader crashes a leader, which restarts soon.
func crashLeader(w *simulation, leader int, rng *rand.Rand) {
	w.crash(leader, restartDelay(rng), finalHoldTime(rng))
}

// replayHeartbeats delivers copies of a share of the heartbeats from 2 s to well over a lease
// later.
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
// turn, while copies of heartbeats arrive late. The job has to become done, not before its last
// task, and nothing that ended on a surviving machine may start again. A short run injects one
// fault at each write, AMBERDEAL_ENDS all.
func TestCrashAtEachCompletion(t *testing.T) {
	all := os.Getenv("AMBERDEAL_ENDS") != ""
	const sure = 5 // ends that are written apart, at the least
	for k, by := range []string{"off", "zone"} {
		for f, x := range completionFaults {
			for step, met := 1, true; met; step++ {
				if !all && (step+sure*k)%len(completionFaults) != f {
					met = step < sure
					continue
				}
				t.Run(fmt.Sprint(by, " end ", step, " ", x.name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { met = crashAtCompletion(t, by, x, step) })
				})
				if !met && step <= sure {
					t.Errorf("only %d ends were written", step-1)
				}
				met = met && (all || step < sure)
			}
		}
	}
}

// crashAtCompletion injects a fault at the step-th write of a completion, and reports whether
// there was one.
func crashAtCompletion(t *testing.T, by string, x completionFault, step int) (met bool) {
	return faultAtWrite(t, by, x, step, recordsCompletion)
}

// faultAtWrite injects a fault at the step-th write of a kind, and reports whether there was one.
func faultAtWrite(t *testing.T, by string, x completionFault, step int, kind func(known map[string]string, puts map[string]wire.Raw) (is bool, shard string)) (met bool) {
	seed := uint64(step)
	rng := rand.New(rand.NewPCG(seed, 14))
	w := newSimulationOf(t, []int{3, 5}[step%2], seed, 0, func(c *config.Config) { c.Tuning.Shards.By = by })
	w.replayHeartbeats(seed, 0.1)
	known, said := map[string]string{}, 0
	w.store.Configure(func(s *simulator.StateService) {
		s.FateOf = func(puts map[string]wire.Raw) simulator.Fate {
			is, shard := kind(known, puts)
			if !is {
				return simulator.FateAnswered
			}
			if said++; said != step {
				return simulator.FateAnswered
			}
			met = true
			w.group.Go(func() {
				if i := w.leaderOf(shard); i >= 0 {
					x.apply(w, i, rng)
				}
			})
			return x.fate
		}
	})
	time.Sleep(8 * time.Second)
	tasks := w.submitStaggeredJobs()
	for end := time.Now().Add(3 * time.Minute); len(w.checker.OpenJobs()) > 0; time.Sleep(time.Second) {
		if time.Now().After(end) {
			t.Errorf("still open: %v", w.checker.OpenJobs())
			break
		}
	}
	time.Sleep(10 * time.Second)
	if started := w.checker.Started; !x.losesMachine && started != tasks {
		t.Errorf("%d starts of %d tasks", started, tasks)
	}
	w.declareQuiet()
	w.finish(time.Minute)
	w.checkResults()
	return met
}

// recordsLaunch reports whether a write is the first to name a task on a machine.
func recordsLaunch(known map[string]string, puts map[string]wire.Raw) (is bool, shard string) {
	for key, raw := range puts {
		var slot store.SegmentRecord
		rest, ok := strings.CutPrefix(key, store.StatePrefix+"ledger/")
		if !ok || wire.DecodeValue(raw, &slot) != nil {
			continue
		}
		shard, _, _ = strings.Cut(rest, "/")
		for entry, raw := range slot.Entries {
			var m store.MachineRecord
			if !strings.HasPrefix(entry, "m/") || wire.DecodeValue(raw, &m) != nil {
				continue
			}
			for task, attempt := range m.Tasks {
				if name := fmt.Sprint(entry, task, attempt); known[name] == "" {
					known[name], is = "named", true
				}
			}
		}
	}
	return is, shard
}

// TestPartitionAtEachLaunch injects a fault at the write of each launch: the next leader finds it
// in the state service, or later, or never, while the leader that decided it is cut off together
// with the machines, or has ended, or the machines receive nothing. No task may run twice, no
// quota may be exceeded, and each job has to be done. A short run injects one fault at each
// launch, AMBERDEAL_ENDS all.
func TestPartitionAtEachLaunch(t *testing.T) {
	all := os.Getenv("AMBERDEAL_ENDS") != ""
	sure := 2
	if all {
		sure = 4
	}
	for k, by := range []string{"off", "zone"} {
		for f, x := range completionFaults {
			for step := 1; step <= sure; step++ {
				if !all && (2*step+k+5)%len(completionFaults) != f {
					continue
				}
				x.losesMachine = true // what was launched may be launched again elsewhere, once it is proven to be gone
				t.Run(fmt.Sprint(by, " launch ", step, " ", x.name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						if !faultAtWrite(t, by, x, step, recordsLaunch) {
							t.Errorf("there was no such write")
						}
					})
				})
			}
		}
	}
}

// additionalCompletionFaults are additional faults for days of such jobs.
var additionalCompletionFaults = []fault{
	{"machines receive nothing", func(w *simulation, rng *rand.Rand, d time.Duration) {
		hosts := w.everyMachine()
		rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		w.deafenHosts(hosts[:rng.IntN(len(hosts)+1)], d)
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
		w.twin(rng.IntN(w.count), d/4, finalHoldTime(rng))
	}},
	{"writes come late", func(w *simulation, rng *rand.Rand, d time.Duration) {
		late, done := rand.New(rand.NewPCG(rng.Uint64(), 16)), make(chan struct{})
		time.AfterFunc(d, func() { close(done) })
		w.store.Configure(func(s *simulator.StateService) {
			s.FateOf = func(map[string]wire.Raw) simulator.Fate {
				select {
				case <-done:
					return simulator.FateAnswered
				default:
				}
				return []simulator.Fate{simulator.FateAnswered, simulator.FateAnswered, simulator.FateDelayed, simulator.FateReplyLost, simulator.FateDropped}[w.draw(late, 5)]
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

// TestCompletionFaults simulates days of such jobs with two and three faults at a time, with one
// shard and several, with 3 and 5 controllers, some with resharding. The quota of the team red is
// exhausted all day. AMBERDEAL_ENDS sets the number of days, AMBERDEAL_END plays one.
func TestCompletionFaults(t *testing.T) { playSeeds(t, 3, "AMBERDEAL_END", runCompletionScenario) }

// runCompletionScenario simulates such a day.
func runCompletionScenario(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 17))
	settings := shardingSettings{initial: []string{"off", "zone"}[seed%2]}
	silence := []time.Duration{0, time.Hour}[rng.IntN(2)]
	w := newSimulationOf(t, []int{3, 5}[seed/2%2], seed, 0, func(c *config.Config) {
		c.Tuning.Shards.By, c.Tuning.HeartbeatTimeout = settings.of(c.Name), silence
		c.Zone = []string{"a", "b"}[controllerNumber(c.Name)%2]
	})
	w.replayHeartbeats(seed, 0.05)
	w.group.Go(func() {
		jobs := rand.New(rand.NewPCG(seed, 18)) // a generator is not safe for concurrent use
		for i := range 24 {
			w.submitCompletionJob(jobs, i)
			time.Sleep(time.Duration(jobs.IntN(7000)) * time.Millisecond)
		}
	})
	time.Sleep(15 * time.Second)
	for range 7 {
		for range 2 + rng.IntN(2) {
			x, d := additionalCompletionFaults[rng.IntN(len(additionalCompletionFaults))], time.Duration(3+rng.IntN(50))*time.Second
			log(x.name, d)
			w.group.Go(func() { x.apply(w, rand.New(rand.NewPCG(seed, uint64(d))), d) })
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
	time.Sleep(time.Minute)  // the last of them is over
	for i := range w.count { // a controller that missed a change gets the others' settings
		if settings.set(i, settings.of("c-0")); seed%3 == 2 {
			w.kill(i, time.Second)
		}
	}
	time.Sleep(2 * time.Second)
	w.declareQuiet()
	w.finish(20 * time.Minute)
	w.checkResults()
}

// submitCompletionJob submits the i-th job of a day on which the quota of the team red is exhausted.
func (w *simulation) submitCompletionJob(rng *rand.Rand, i int) {
	j := &wire.Job{ID: fmt.Sprint("wk-", i+1), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.Array, Priority: []wire.Priority{wire.Normal, wire.High, wire.Production}[i%3],
		Tasks: 2 + rng.IntN(2), CPUs: 2, GPUs: float64(1 + rng.IntN(3)), MemoryGB: 8, Image: "img", ImageGB: 1, EstimateS: 20}
	switch i % 5 {
	case 1:
		j.Shape, j.OneZone, j.CheckpointS, j.SaveS, j.GPUs = wire.Gang, true, 5, 1, min(j.GPUs, 2) // or red's quota is too small
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
	w.user(j, time.Duration(5+rng.IntN(30))*time.Second, cancel)
}
