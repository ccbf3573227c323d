package simtest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// The tests in this file combine a change of the leader with asymmetric partitions (machines receive
// nothing but can still send), delayed direct calls and heartbeats that arrive out of order.

// releaseBlockers are faults that temporarily prevent a machine from being returned to the cloud.
var releaseBlockers = []struct {
	name  string
	apply func(w *simulation)
}{
	{"the cloud is in trouble", func(w *simulation) {
		during(2*time.Minute, func(on bool) { w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = on }) })
	}},
	{"the state service is out", func(w *simulation) {
		time.AfterFunc(15*time.Second, func() { during(70*time.Second, w.store.SetOutage) })
	}},
	{"the cloud does not hear the leader", func(w *simulation) {
		ip := w.ip(w.anyLeader())
		during(2*time.Minute, func(on bool) { w.net.Partition(ip, cloudHost, on) })
	}},
}

// TestDelayedLaunchOfCancelledJob checks that a direct launch call that arrives after its job was
// cancelled starts no task. The job is cancelled before the machine's next heartbeat, and the machine
// cannot be returned to the cloud: the cloud is unavailable or does not hear the leader, or an outage
// of the state service leaves no certain leader. The launch arrives after the time by which the job's
// tasks have to be gone. By then the machine's heartbeats have been unanswered for so long that it
// runs a later incarnation.
func TestDelayedLaunchOfCancelledJob(t *testing.T) {
	for n, blocker := range releaseBlockers {
		for k, delay := range []time.Duration{46 * time.Second, 50 * time.Second, 60 * time.Second} {
			if os.Getenv("AMBERDEAL_DEAFS") == "" && k != n {
				continue // AMBERDEAL_DEAFS runs the other combinations too
			}
			t.Run(fmt.Sprint(blocker.name, ", delayed ", delay), func(t *testing.T) { runDelayedLaunch(t, blocker.name, blocker.apply, delay) })
		}
	}
}

// runDelayedLaunch delays the launch call of a job that is cancelled in the meantime, while another
// fault is active.
func runDelayedLaunch(t *testing.T, name string, apply func(w *simulation), delay time.Duration) {
	var callDelay atomic.Int64
	var sent, arrived chan struct{}
	var cancelledAt time.Time
	script{seed: 31, setUp: func(w *simulation) {
		sent, arrived = make(chan struct{}), make(chan struct{})
		var once sync.Once
		w.reconfigureMachines(2*time.Second, func() time.Duration {
			d := time.Duration(callDelay.Load())
			if d > 0 {
				once.Do(func() {
					close(sent)
					time.AfterFunc(d, func() { close(arrived) })
				})
			}
			return d
		})
		w.startService("wk-1", 3*time.Minute)
	}, steps: []step{
		{40 * time.Second, "its launch is delayed, and it is cancelled", func(w *simulation) { // every machine has sent a heartbeat by now
			callDelay.Store(int64(delay))
			c := w.client(jobOf("wk-2", wire.Array, 1, 5*time.Minute), rngOf(31, "wk-2"), 5*time.Minute)
			c.untilAnswered(c.submit)
			<-sent
			if w.checker.RunningTasks("wk-2") > 0 {
				w.t.Error("the task already runs before its job is cancelled")
			}
			c.untilAnswered(c.cancel)
			cancelledAt = time.Now()
			callDelay.Store(0)
		}},
		{0, name, apply},
		{0, "its launch comes", func(w *simulation) {
			<-arrived
			if late := time.Since(cancelledAt); late < 45*time.Second || w.checker.Stage("wk-2") != wire.Cancelled {
				w.t.Errorf("the launch call arrived %v after the cancellation was confirmed; the job is %s", late, w.checker.Stage("wk-2"))
			}
		}},
		{4 * time.Minute, "all is over", func(*simulation) {}},
	}}.run(t)
}

// partitionLengths are slightly shorter and longer than the intervals on which the protocol's timing
// rules depend: a heartbeat interval, a controller's lease, a worker's lease, and the sum of these.
var partitionLengths = []time.Duration{3 * time.Second, 8 * time.Second, 19 * time.Second, 21 * time.Second, 26 * time.Second, 36 * time.Second, 75 * time.Second}

// TestLeaderKilledDuringAsymmetricPartition kills the leader while some of the machines that run long
// tasks (an array up to its team's quota, a gang in one zone, a gang across two zones, and a spread
// service) receive nothing. The partition starts before or after the failover and lasts for less or
// more time than any lease. No task may be started twice or in the wrong place.
func TestLeaderKilledDuringAsymmetricPartition(t *testing.T) {
	for n, d := range partitionLengths {
		for k, before := range []time.Duration{-3 * time.Second, 0, 5 * time.Second, 17 * time.Second} {
			if os.Getenv("AMBERDEAL_DEAFS") == "" && (k != (n+1)%4 || n%2 == 0) {
				continue // AMBERDEAL_DEAFS runs the other combinations too
			}
			t.Run(fmt.Sprint("for ", d, ", from ", before, " before"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { killLeaderDuringPartition(t, n, d, before) })
			})
		}
	}
}

// killLeaderDuringPartition kills the leader while every second machine receives nothing for d. The
// partition starts the given time before the kill, or after it if before is negative.
func killLeaderDuringPartition(t *testing.T, n int, d, before time.Duration) {
	heartbeatTimeout := []time.Duration{0, time.Hour}[n%2] // silent machines are released, or only expired leases prove that tasks ended
	// A partitioned machine stops waiting for a response after 4 s and retries at another controller 1 s
	// later. That is less than this interval, so its heartbeats keep arriving.
	const interval = 6 * time.Second
	w := newSimulation(t, uint64(40+n), 0, func(c *config.Config) {
		c.Tuning.HeartbeatTimeout, c.Workers.HeartbeatInterval = heartbeatTimeout, interval
	})
	w.reconfigureMachines(interval, nil)
	w.submitLongJobs()
	time.Sleep(35 * time.Second)
	running, _ := w.checker.Counts()
	var partitioned []runningMachine
	startPartition := func() {
		for i, m := range w.runningMachines() {
			if i%2 == n%2 {
				partitioned = append(partitioned, dropInbound(d, m)...)
			}
		}
	}
	if before >= 0 {
		startPartition()
		time.Sleep(before)
	}
	token, leader := w.lastFencingToken(), w.anyLeader()
	w.kill(leader, 20*time.Second)
	if before < 0 {
		time.Sleep(-before)
		startPartition()
	}
	if before < d {
		for w.lastFencingToken() == token {
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(d + 10*time.Second)
	lost, up := 0, w.runningMachines()
	for _, m := range partitioned {
		if lost += m.ExpiredLeases(); !slices.Contains(up, m) {
			lost++ // the fleet released it
		}
	}
	if running < 15 || len(partitioned) < 2 || w.lastFencingToken() == token || d > workerLease+5*time.Second && lost == 0 {
		t.Errorf("%d tasks ran, %d machines received nothing, %d leases or machines were lost, fencing token is %d, was %d", running, len(partitioned), lost, w.lastFencingToken(), token)
	}
	w.finish(15 * time.Minute)
	w.checkResults()
}

// submitLongJobs submits spot jobs with long tasks: arrays, gangs in one zone and across two, and a
// spread service.
func (w *simulation) submitLongJobs() {
	job := func(id string, shape wire.Shape, tasks int, run, until time.Duration, change ...func(*wire.Job)) {
		w.startUser(jobOf(id, shape, tasks, run, append(change, func(j *wire.Job) { j.Spot = true })...), run, until)
	}
	checkpoints := func(j *wire.Job) { j.CheckpointS, j.SaveS = 10, 1 }
	job("wk-1", wire.Array, 9, 70*time.Second, 0, teamRed)
	job("wk-2", wire.Gang, 4, 80*time.Second, 0, inOneZone, checkpoints)
	job("wk-3", wire.Gang, 4, 90*time.Second, 0, spreadOverZones, checkpoints)
	job("wk-4", wire.Service, 6, serviceRunTime, 4*time.Minute, spreadOverZones)
	job("wk-5", wire.Array, 3, 2*time.Minute, 50*time.Second, inOneZone)
}

// heartbeatFaults are the faults that TestLateHeartbeats injects in addition to late heartbeats.
var heartbeatFaults = []fault{
	{"some machines receive nothing", func(w *simulation, rng *rand.Rand, d time.Duration) {
		for _, m := range w.runningMachines() {
			if rng.IntN(3) == 0 {
				dropInbound(d, m)
			}
		}
	}},
	{"a machine receives nothing while the leader ends", func(w *simulation, rng *rand.Rand, d time.Duration) {
		if all := w.runningMachines(); len(all) > 0 {
			dropInbound(d, all[rng.IntN(len(all))])
		}
		if i := w.anyLeader(); i >= 0 {
			time.AfterFunc(time.Duration(rng.IntN(6000))*time.Millisecond, func() { w.kill(i, 3*time.Second) })
		}
	}},
	{"the leader ends twice", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		for range 2 {
			if i := w.anyLeader(); i >= 0 {
				w.kill(i, 3*time.Second)
			}
			time.Sleep(time.Duration(500+rng.IntN(5000)) * time.Millisecond)
		}
	}},
	{"the leader loses the state service and its peers", func(w *simulation, _ *rand.Rand, d time.Duration) {
		if i := w.anyLeader(); i >= 0 {
			during(d, func(on bool) { w.partitionFromStoreAndPeers(i, on) })
		}
	}},
	{"a machine hangs and goes on", func(w *simulation, rng *rand.Rand, _ time.Duration) {
		if all := w.runningMachines(); len(all) > 0 {
			all[rng.IntN(len(all))].Pause(time.Duration(2+rng.IntN(24)) * time.Second)
		}
	}},
	{"a machine is taken", func(w *simulation, rng *rand.Rand, _ time.Duration) { w.cloud.RemoveNth(rng.IntN(8)) }},
	{"the cloud is in trouble", func(w *simulation, _ *rand.Rand, d time.Duration) {
		during(d, func(on bool) { w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = on }) })
	}},
	{"many heartbeats come again", func(w *simulation, rng *rand.Rand, d time.Duration) {
		w.heartbeatReplayer.SetShare(0.5)
		time.AfterFunc(d, func() { w.heartbeatReplayer.SetShare(0.1) })
	}},
}

// TestLateHeartbeats runs simulations in which heartbeats arrive after newer ones, up to three leases
// late, direct calls are delayed, machines receive nothing or are paused, and leaders are killed or
// partitioned. AMBERDEAL_DEAFS sets the number of simulations, AMBERDEAL_DEAF selects a single one.
func TestLateHeartbeats(t *testing.T) {
	runSeeds(t, 2, "AMBERDEAL_DEAF", func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 13))
		tuning := drawHeartbeatTuning(rng)
		sharding := []string{"off", "off", "zone"}[rng.IntN(3)]
		w := newSimulation(t, seed, 0.02*float64(rng.IntN(4)), func(c *config.Config) { tuning.apply(c, sharding) })
		w.heartbeatReplayer.SetShare(0.1)
		w.group.Go(func() { w.submit(seed, 28) })
		time.Sleep(10 * time.Second)
		w.injectFaults(rng, 14, 12*time.Second, func(int) (fault, time.Duration) {
			x := heartbeatFaults[rng.IntN(len(heartbeatFaults))]
			if rng.IntN(4) == 0 {
				x = stallFaults[rng.IntN(len(stallFaults))]
			}
			return x, time.Duration(1+rng.IntN(70)) * time.Second
		})
		time.Sleep(time.Minute)
		w.heartbeatReplayer.SetShare(0)
		if w.heartbeatReplayer.Delivered() < 5 {
			t.Errorf("only %d heartbeats were replayed", w.heartbeatReplayer.Delivered())
		}
		w.finishAndCheck(20 * time.Minute)
	})
}

// TestPartitionedMachineBlocksNobody drops everything that is sent to a machine with replicas for
// minutes. Its heartbeats still arrive, so the machine appears healthy, and what its tasks used before
// its lease expired appears to be free capacity. Nothing may be launched there, and its replicas have
// to be running elsewhere soon.
func TestPartitionedMachineBlocksNobody(t *testing.T) {
	for _, killLeader := range []bool{false, true} { // at the start of the partition
		t.Run(fmt.Sprint("the leader ends: ", killLeader), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const interval = 6 * time.Second
				w := newSimulation(t, 33, 0, func(c *config.Config) { c.Workers.HeartbeatInterval, c.Tuning.IdleTimeout = interval, time.Hour })
				w.reconfigureMachines(interval, nil)
				job := func(id string, shape wire.Shape, tasks int, gpus float64, run, until time.Duration) {
					w.startUser(jobOf(id, shape, tasks, run, func(j *wire.Job) { j.Priority, j.GPUs = wire.Normal, gpus }), run, until)
				}
				job("wk-1", wire.Array, 6, 4, 20*time.Second, 0) // makes the fleet rent six machines
				time.Sleep(70 * time.Second)
				job("wk-2", wire.Service, 4, 2, 24*time.Hour, 4*time.Minute)
				time.Sleep(20 * time.Second)
				all := w.runningMachines()
				dropInbound(3*time.Minute, all[0]) // one of the machines with replicas
				before := w.checker.RunningTasks("wk-2")
				if killLeader {
					w.kill(w.anyLeader(), 3*time.Second)
				}
				time.Sleep(workerLease + 25*time.Second)
				if n := w.checker.RunningTasks("wk-2"); before != 4 || n != 4 || w.checker.Stopped == 0 {
					t.Errorf("%d of 4 replicas run, %d ran before the partition, %d were stopped", n, before, w.checker.Stopped)
				}
				submitted := time.Now()
				job("wk-3", wire.Gang, 8, 2, 20*time.Second, 0)
				for w.checker.RunningTasks("wk-3") < 8 && time.Since(submitted) < time.Minute {
					time.Sleep(time.Second)
				}
				if delay := time.Since(submitted); delay > 30*time.Second {
					t.Errorf("the gang took %v to start", delay)
				}
				w.finish(15 * time.Minute)
				w.checkResults()
			})
		})
	}
}
