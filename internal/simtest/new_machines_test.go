package simtest

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// The tests in this file simulate days on which machines are up as soon as they are rented, and days on which
// some machines answer calls but can open no connections.

// bootObserver records when machines booted and when tasks started on them.
type bootObserver struct {
	*simulator.Checker
	mu       sync.Mutex
	bootedAt map[string]time.Time
	starts   []observedStart
}

// observedStart is the start of a task on a machine.
type observedStart struct {
	at      time.Time
	machine string
	task    wire.TaskID
}

// TaskStarted implements simulator.Fixture.
func (b *bootObserver) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	b.mu.Lock()
	b.starts = append(b.starts, observedStart{time.Now(), machine, t})
	b.mu.Unlock()
	return b.Checker.TaskStarted(t, machine, typ, zone, spot)
}

// countStarts counts the starts that match.
func (b *bootObserver) countStarts(matches func(observedStart) bool) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.starts {
		if matches(s) {
			n++
		}
	}
	return n
}

// observeBoots sets the boot time of machines that are rented from now on, and returns an observer of them.
func (w *simulation) observeBoots(boot time.Duration) *bootObserver {
	b := &bootObserver{Checker: w.checker, bootedAt: map[string]time.Time{}}
	w.fixture = b
	start := w.machineStarter(2*sec, nil)
	w.cloud.SetFaults(func(*simulator.CloudFaults) {
		w.cloud.BootTime = boot
		w.cloud.Start = func(id, addr, typ, zone string, spot bool) simulator.Machine {
			b.mu.Lock()
			b.bootedAt[id] = time.Now()
			b.mu.Unlock()
			return start(id, addr, typ, zone, spot)
		}
	})
	return b
}

// allCasesRequested reports whether an environment variable requests all cases instead of a selection.
func allCasesRequested(variable string) bool { return os.Getenv(variable) != "" }

// withSharding returns a settings function that sets the sharding, and keeps idle machines for an hour.
func withSharding(by string) func(*config.Config) {
	return func(c *config.Config) { c.Tuning.Shards.By, c.Tuning.IdleTimeout = by, time.Hour }
}

// outboundBlockDurations lie around the heartbeat interval, the response timeout, and a worker's lease.
var outboundBlockDurations = []time.Duration{3 * sec, 8 * sec, 12 * sec, 19 * sec, 21 * sec, 26 * sec, 60 * sec, 100 * sec}

// outboundBlockGrace is how long after its last heartbeat a machine that only answers calls may still
// be given tasks: a single heartbeat may be lost for other reasons.
const outboundBlockGrace = 11 * sec

// TestOutboundBlockedMachines keeps half of the machines from opening connections for a while;
// they still answer calls. Their tasks must stop at once when the job is cancelled, tasks that were
// lost when the machines' leases expired must soon run elsewhere, and these machines may get no new
// tasks, which would be lost the same way. When their heartbeats arrive again, their capacity must be
// used. In some cases the leader crashes meanwhile.
func TestOutboundBlockedMachines(t *testing.T) {
	for n, d := range outboundBlockDurations {
		for k, ends := range []time.Duration{-1, 0, 2 * sec, 15 * sec} { // when the leader crashes
			if !allCasesRequested("AMBERDEAL_NEWMACHINES") && (k != (n+1)%4 || n%2 == 0 && n != 4) {
				continue
			}
			by, count := []string{"off", "zone"}[(n/2+k)%2], []int{3, 5}[(n+k/2)%2]
			t.Run(fmt.Sprint("for ", d, ", the leader ends after ", ends, ", parts ", by, ", ", count), func(t *testing.T) {
				runOutboundBlockScenario(t, uint64(10*n+k), d, ends, by, count)
			})
		}
	}
}

// runOutboundBlockScenario simulates a day on which machines can't open connections for the duration d.
func runOutboundBlockScenario(t *testing.T, seed uint64, d, ends time.Duration, by string, count int) {
	o := &outboundBlockScenario{seed: seed, duration: d, leaderEndsAfter: ends, blocked: map[string]runningMachine{}}
	script{seed: seed, count: count, settings: withSharding(by), setUp: o.setUp, steps: []step{
		{50 * sec, "a long job", func(*simulation) { o.longJob.untilAnswered(o.longJob.submit) }},
		{65 * sec, "half of the machines can only be called", o.startBlock},
		{66500 * time.Millisecond, "a cancellation", func(*simulation) { o.longJob.untilAnswered(o.longJob.cancel) }},
		{70 * sec, "which has stopped all", func(w *simulation) {
			if n := w.checker.RunningTasks("wk-3"); n > 0 {
				w.t.Errorf("%d tasks of a cancelled job still run", n)
			}
		}},
		{65*sec + d, "they are heard again", o.checkAfterBlock},
		{71*sec + d, "a gang for all of them", o.checkGangUsesAllMachines},
	}, verify: o.verify}.run(t)
}

// outboundBlockScenario is a simulated day on which half of the machines can't open connections for a while.
type outboundBlockScenario struct {
	seed                      uint64
	duration, leaderEndsAfter time.Duration // of the fault, and when the leader crashes after its start; negative for never
	boots                     *bootObserver
	longJob                   *client
	token                     uint64
	blocked                   map[string]runningMachine
	machinesBefore            int // that were up when the fault began
	replicasBefore            int // of the service, that ran when the fault began
	tasksBefore               int // of the long job, that ran when the fault began
	startedAt, endedAt        time.Time
	leaderElected             chan time.Time
}

func (o *outboundBlockScenario) setUp(w *simulation) {
	o.boots, o.leaderElected = w.observeBoots(2*sec), make(chan time.Time, 1)
	w.startClient(o.seed, jobOf("wk-1", wire.Array, 8, 20*sec, func(j *wire.Job) { j.GPUs = 4 }), 5*sec, 0, 20*sec) // makes the leader rent eight machines
	w.startClient(o.seed, jobOf("wk-2", wire.Service, 4, 0, func(j *wire.Job) { j.GPUs = 2 }), 50*sec, 65*sec+o.duration+3*time.Minute, serviceRunTime)
	o.longJob = w.client(jobOf("wk-3", wire.Array, 8, 10*time.Minute), rngOf(o.seed, "wk-3"), 10*time.Minute)
	w.startClient(o.seed, jobOf("wk-4", wire.Array, 8, 40*sec), 65*sec+outboundBlockGrace, 0, 40*sec)
}

// startBlock starts the fault, and schedules the crash of the leader if there is one.
func (o *outboundBlockScenario) startBlock(w *simulation) {
	o.replicasBefore, o.tasksBefore, o.startedAt, o.token = w.checker.RunningTasks("wk-2"), w.checker.RunningTasks("wk-3"), time.Now(), w.lastFencingToken()
	for i, m := range w.runningMachines() {
		if o.machinesBefore++; i%2 == 0 || i < 2 {
			o.blocked[m.id] = m
			during(o.duration, func(on bool) { w.net.RefuseOutbound(m.host, on) })
		}
	}
	if o.leaderEndsAfter >= 0 {
		w.group.Go(func() {
			time.Sleep(o.leaderEndsAfter)
			w.crash(w.anyLeader(), 400*time.Millisecond, 0)
			for w.lastFencingToken() == o.token {
				time.Sleep(50 * time.Millisecond)
			}
			o.leaderElected <- time.Now()
		})
	}
}

// checkAfterBlock checks, at the end of the fault, that the fault had an effect and that all replicas run.
func (o *outboundBlockScenario) checkAfterBlock(w *simulation) {
	o.endedAt = time.Now()
	if n := w.checker.RunningTasks("wk-2"); o.duration > workerLease+10*sec && n < 4 {
		w.t.Errorf("%d of 4 replicas run", n)
	}
	lost := 0
	for _, m := range o.blocked {
		lost += m.ExpiredLeases()
	}
	if o.machinesBefore < 6 || len(o.blocked) < 3 || o.replicasBefore != 4 || o.tasksBefore != 8 || o.duration > workerLease && lost < len(o.blocked) {
		w.t.Errorf("%d machines, %d of them only answered calls, %d leases expired, %d replicas and %d tasks ran", o.machinesBefore, len(o.blocked), lost, o.replicasBefore, o.tasksBefore)
	}
}

// checkGangUsesAllMachines submits a gang that needs all machines, and checks that it starts in time.
func (o *outboundBlockScenario) checkGangUsesAllMachines(w *simulation) {
	w.startClient(o.seed, jobOf("wk-5", wire.Gang, 10, 20*sec, func(j *wire.Job) { j.GPUs = 2 }), 0, 0, 20*sec)
	for w.checker.RunningTasks("wk-5") < 10 && time.Since(o.endedAt) < 2*time.Minute {
		time.Sleep(sec)
	}
	if late := time.Since(o.endedAt); late > 60*sec {
		w.t.Errorf("the gang started %v after the fault ended, want 60s at most", late)
	}
}

// verify checks that no task was started on machines that only answered calls. A new leader has
// outboundBlockGrace to detect them, too.
func (o *outboundBlockScenario) verify(w *simulation) {
	elected := o.startedAt
	if o.leaderEndsAfter >= 0 {
		elected = <-o.leaderElected
	}
	if n := o.boots.countStarts(func(s observedStart) bool {
		return o.blocked[s.machine].Worker != nil && s.at.After(o.startedAt.Add(outboundBlockGrace)) && s.at.Before(o.endedAt) && (s.at.Before(elected) || s.at.After(elected.Add(outboundBlockGrace)))
	}); n > 0 {
		w.t.Errorf("%d tasks were started on machines that only answer calls", n)
	}
}

// leaderEndOffsets are the times after the write of a launch on a new machine at which the leader
// that wrote it crashes.
var leaderEndOffsets = []time.Duration{0, 15 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, 3 * sec}

// newMachineFaults are what happens to machines when the leader crashes.
var newMachineFaults = []struct {
	name  string
	apply func(w *simulation, m runningMachine)
}{
	{"live on", func(*simulation, runningMachine) {}},
	{"are deaf", func(_ *simulation, m runningMachine) { dropInbound(15*sec, m) }},
	{"are cut off", func(w *simulation, m runningMachine) {
		during(17*sec, func(on bool) { w.net.SetDown(m.host, on) })
	}},
	{"can only be called", func(w *simulation, m runningMachine) {
		during(12*sec, func(on bool) { w.net.RefuseOutbound(m.host, on) })
	}},
	{"are gone", func(w *simulation, m runningMachine) { w.cloud.Preempt(m.id, 0) }},
}

// TestNewMachinesAsLeaderEnds has machines boot before the response to their rental and before the
// cloud lists them, and get work at once: an array up to its team's quota, a gang and an array in one
// zone, a spread service. The write of a launch on such a machine is answered, or committed without a
// reply, at once or late, and then the leader crashes; some of the machines can't be reached. The next
// leader has only the launch's own record of machine and task: no task may start twice or in the wrong
// place.
func TestNewMachinesAsLeaderEnds(t *testing.T) {
	for n, at := range leaderEndOffsets {
		for k, x := range newMachineFaults {
			for f, fate := range []simulator.TxnOutcome{simulator.TxnAnswered, simulator.TxnReplyLost, simulator.TxnDelayed} {
				if !allCasesRequested("AMBERDEAL_NEWMACHINES") && (k != n%len(newMachineFaults) || f != (n+n/3)%3) {
					continue
				}
				by, count, late := []string{"off", "zone"}[(n+f)%2], []int{3, 5}[(n+k)%2], (n+k+f)%3 == 0
				t.Run(fmt.Sprint(at, " after a write that is ", []string{"answered", "taken", "late"}[f], ", new machines ", x.name, ", parts ", by, ", ", count, ", rentals late: ", late), func(t *testing.T) {
					runNewMachineScenario(t, uint64(300+20*n+4*k+f), at, x.apply, fate, by, count, late)
				})
			}
		}
	}
}

// runNewMachineScenario simulates a day on which the leader crashes some time after a launch on a new machine.
func runNewMachineScenario(t *testing.T, seed uint64, at time.Duration, apply func(*simulation, runningMachine), fate simulator.TxnOutcome, by string, count int, late bool) {
	d := &newMachineScenario{seed: seed, endsAfter: at, apply: apply, fate: fate, lateRental: late}
	script{seed: seed, count: count, settings: func(c *config.Config) { c.Tuning.Shards.By, c.Cloud.ListLag = by, 4*sec }, setUp: d.setUp, steps: []step{
		{6 * sec, "a launch on a new machine, and the leader ends", d.endLeader},
	}, verify: func(w *simulation) {
		if d.unlistedMachines == 0 || w.lastFencingToken() == d.token {
			w.t.Errorf("%d machines were not listed yet, fencing token %d after %d; want some, and a higher token", d.unlistedMachines, w.lastFencingToken(), d.token)
		}
	}, quietTime: 60 * sec}.run(t)
}

// newMachineScenario is a simulated day on which the leader crashes after the write of a launch on a new machine.
type newMachineScenario struct {
	seed             uint64
	endsAfter        time.Duration
	apply            func(*simulation, runningMachine) // is called for every second machine
	fate             simulator.TxnOutcome              // of the write of the launch
	lateRental       bool                              // rentals are carried out late, and not answered
	boots            *bootObserver
	launchedShard    chan string // the shard of the launch
	token            uint64      // before the crash
	unlistedMachines int         // number of machines that the cloud may not list yet
}

func (d *newMachineScenario) setUp(w *simulation) {
	d.boots, d.launchedShard = w.observeBoots(300*time.Millisecond), make(chan string, 1)
	w.cloud.SetFaults(func(f *simulator.CloudFaults) {
		if w.cloud.ListLag = 4 * sec; d.lateRental {
			f.RentDelay = 700 * time.Millisecond
		}
	})
	known, launched := map[string]string{}, false
	w.store.Configure(func(s *simulator.StateService) {
		s.OutcomeOf = func(puts map[string]wire.Raw) simulator.TxnOutcome {
			is, shard := recordsLaunch(known, puts)
			if !is || launched {
				return simulator.TxnAnswered
			}
			launched = true
			d.launchedShard <- shard
			return d.fate
		}
	})
	w.startClient(d.seed, jobOf("wk-1", wire.Array, 9, 40*sec, teamRed), 6*sec, 0, 40*sec)
	w.startClient(d.seed, jobOf("wk-2", wire.Gang, 3, 40*sec, inOneZone, withCheckpoints), 6*sec, 0, 40*sec)
	w.startClient(d.seed, jobOf("wk-3", wire.Service, 4, 0, spreadOverZones), 6*sec, 2*time.Minute, serviceRunTime)
	w.startClient(d.seed, jobOf("wk-4", wire.Array, 3, 30*sec, inOneZone), 6*sec, 0, 30*sec)
	w.startClient(d.seed, jobOf("wk-5", wire.Array, 2, 30*sec), 6*sec, 45*sec, 10*time.Minute)
}

// endLeader waits for the launch, crashes the leader, and checks that the service recovers.
func (d *newMachineScenario) endLeader(w *simulation) {
	shard := ""
	select {
	case shard = <-d.launchedShard:
	case <-time.After(time.Minute):
		w.t.Error("no launch was written")
		return
	}
	time.Sleep(d.endsAfter)
	d.token = w.lastFencingToken()
	d.boots.mu.Lock()
	for _, up := range d.boots.bootedAt {
		if time.Since(up) < 2*w.cloud.ListLag {
			d.unlistedMachines++
		}
	}
	d.boots.mu.Unlock()
	for i, m := range w.runningMachines() {
		if i%2 == 0 {
			d.apply(w, m)
		}
	}
	w.crash(max(w.leaderOf(shard), w.anyLeader()), 300*time.Millisecond, 0)
	time.Sleep(10 * sec)
	w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.RentDelay = 0 })
	time.Sleep(45 * sec)
	if n := w.checker.RunningTasks("wk-3"); n != 4 {
		w.t.Errorf("%d of 4 replicas run", n)
	}
}
