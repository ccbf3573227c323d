package simtest

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// This file has the parts that scripted simulations share: scripts, faults, and users who submit,
// poll and cancel jobs.

// stateHost and cloudHost are the IP addresses of the state service and the cloud.
const stateHost, cloudHost = "10.2.0.1", "10.2.0.2"

// script describes a simulation with faults at fixed times.
type script struct {
	seed      uint64
	count     int                  // number of controllers, 3 if it is less
	settings  func(*config.Config) // changes the controllers' settings, if set
	setUp     func(w *simulation)  // starts users and their jobs, if set
	steps     []step
	verify    func(w *simulation) // reports a test failure if an expected event did not happen
	quietTime time.Duration       // without faults after the last step, before the remaining jobs have to end
}

// step is an action at a fixed time of a script. It is applied later if the previous step ends later.
type step struct {
	at    time.Duration // since the start of the simulation
	label string
	apply func(w *simulation)
}

// run runs the simulation and checks it.
func (d script) run(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newProxiedSimulation(t, max(3, d.count), d.seed, d.settings)
		start := time.Now()
		if d.setUp != nil {
			d.setUp(w)
		}
		for _, s := range d.steps {
			time.Sleep(time.Until(start.Add(s.at)))
			log(s.label)
			s.apply(w)
		}
		if d.verify != nil {
			d.verify(w)
		}
		log("faults are over")
		w.finishQuietly(d.quietTime, 10*time.Minute)
	})
}

// finishQuietly declares that no fault is active, lets the simulation run for the quiet time, waits
// until all jobs have ended, for at most timeout, and checks the simulation.
func (w *simulation) finishQuietly(quiet, timeout time.Duration) {
	w.t.Helper()
	w.declareQuiet()
	time.Sleep(quiet)
	w.finishAndCheck(timeout)
}

// finishAndCheck waits until all jobs have ended, for at most timeout, and checks that no rule was
// violated. A simulation in which no task was started proves nothing, and fails.
func (w *simulation) finishAndCheck(timeout time.Duration) {
	w.t.Helper()
	w.finish(timeout)
	w.checkResults()
	if w.checker.Started == 0 {
		w.t.Error("no task was started")
	}
}

// injectFaults injects n faults in sequence, each for the duration that draw returns with it, and
// waits a random time of less than maxPause after each.
func (w *simulation) injectFaults(rng *rand.Rand, n int, maxPause time.Duration, draw func(k int) (fault, time.Duration)) {
	for k := range n {
		injected, d := draw(k)
		log(injected.name, d)
		injected.apply(w, rng, d)
		time.Sleep(time.Duration(rng.IntN(int(maxPause/time.Millisecond))) * time.Millisecond)
	}
}

// drawFault selects a random fault and its duration, from 1 to maxSeconds seconds.
func drawFault(rng *rand.Rand, faults []fault, maxSeconds int) (fault, time.Duration) {
	return faults[rng.IntN(len(faults))], time.Duration(1+rng.IntN(maxSeconds)) * time.Second
}

// heartbeatTuning holds settings that no rule of the protocol depends on, so that each simulation
// selects them at random. With the long timeout, machines without heartbeats are not released: only
// the expiry of their leases proves that their tasks have ended.
type heartbeatTuning struct {
	direct  int           // largest number of machines whose heartbeats a leader receives all itself
	timeout time.Duration // after which a machine without heartbeats counts as failed; 0 for the default
}

// drawHeartbeatTuning selects the settings of a simulation at random.
func drawHeartbeatTuning(rng *rand.Rand) heartbeatTuning {
	direct := []int{0, 2, 200}[rng.IntN(3)]
	return heartbeatTuning{direct, []time.Duration{0, time.Hour}[rng.IntN(2)]}
}

// apply writes the tuning and the sharding to a controller's settings.
func (h heartbeatTuning) apply(c *config.Config, sharding string) {
	c.Tuning.MaxDirectHeartbeats, c.Tuning.HeartbeatTimeout, c.Tuning.Shards.By = h.direct, h.timeout, sharding
}

// newProxiedSimulation starts a simulation in which each controller reaches the state service at an
// address of its own, so that the state service can refuse single controllers.
func newProxiedSimulation(t *testing.T, count int, seed uint64, changeSettings func(*config.Config)) *simulation {
	storeAddr := func(i int) string { return simulator.Address(stateHost, 2400+i) }
	w := newSimulationOf(t, count, seed, 0, func(c *config.Config) {
		if c.StoreAddr = storeAddr(controllerNumber(c.Name)); changeSettings != nil {
			changeSettings(c)
		}
	})
	for i := range count {
		go w.net.Host(stateHost).Listen(w.ctx, storeAddr(i), 0, w.store.ServeCaller(fmt.Sprint("c-", i)))
	}
	return w
}

// refuseByStore has the state service refuse the requests of one controller, or serve it again.
func (w *simulation) refuseByStore(i int, on bool) { w.store.RefuseCaller(fmt.Sprint("c-", i), on) }

// controllerNumber returns the number in a controller's name, such as 2 for "c-2".
func controllerNumber(name string) int {
	n, _ := strconv.Atoi(name[2:])
	return n
}

// leaderOf returns the number of a shard's leader according to the state service, or -1.
func (w *simulation) leaderOf(shard string) int {
	if name := w.leaders()[shard]; name != "" {
		return controllerNumber(name)
	}
	return -1
}

// anyLeader returns the number of the fleet's leader, or of the leader of some shard, or -1.
func (w *simulation) anyLeader() int {
	for _, shard := range []string{"fleet", "a", "b"} {
		if i := w.leaderOf(shard); i >= 0 {
			return i
		}
	}
	return -1
}

// partition calls setFault for each pair of one of the given controllers and either one of the hosts
// or one of the other controllers.
func (w *simulation) partition(setFault func(a, b string, on bool), on bool, hosts []string, controllers ...int) {
	for k := range w.count {
		if !slices.Contains(controllers, k) {
			hosts = append(slices.Clip(hosts), w.ip(k))
		}
	}
	for _, i := range controllers {
		for _, host := range hosts {
			setFault(w.ip(i), host, on)
		}
	}
}

// partitionFromStoreAndPeers partitions a controller from the state service and its peers. Machines and users still
// reach it.
func (w *simulation) partitionFromStoreAndPeers(i int, on bool) {
	w.partition(w.net.Partition, on, []string{stateHost}, i)
}

// partitionFromPeers partitions a controller from its peers only.
func (w *simulation) partitionFromPeers(i int, on bool) { w.partition(w.net.Partition, on, nil, i) }

// isolate drops all traffic between the given controllers and both the state service and the other
// controllers, also on open connections.
func (w *simulation) isolate(on bool, controllers ...int) {
	w.partition(func(a, b string, on bool) {
		w.net.DropOneWay(a, b, on)
		w.net.DropOneWay(b, a, on)
	}, on, []string{stateHost}, controllers...)
}

// runningMachine is a machine that is running.
type runningMachine struct {
	*simulator.Worker
	id, host string
}

// runningMachines returns all machines that are running.
func (w *simulation) runningMachines() (out []runningMachine) {
	w.cloud.EachRunning(func(l wire.ListedMachine, m simulator.Machine) {
		out = append(out, runningMachine{m.(*simulator.Worker), l.ID, simulator.HostOf(l.Addr)})
	})
	return out
}

// reconfigureMachines sets the heartbeat interval, and the delay of direct calls, of the machines
// that boot from now on.
func (w *simulation) reconfigureMachines(heartbeatInterval time.Duration, callDelay func() time.Duration) {
	startMachine := w.machineStarter(heartbeatInterval, callDelay)
	w.cloud.SetFaults(func(*simulator.CloudFaults) { w.cloud.Start = startMachine })
}

// dropInbound drops all traffic to the given machines for the duration d, and returns the machines.
// Their heartbeats still arrive.
func dropInbound(d time.Duration, machines ...runningMachine) []runningMachine {
	for _, m := range machines {
		during(d, m.DropInbound)
	}
	return machines
}

// dropControllerTraffic drops all traffic from controllers to the given hosts for the duration d. New
// connections fail, but messages from the hosts on open connections still arrive.
func (w *simulation) dropControllerTraffic(hosts []string, d time.Duration) {
	for _, host := range hosts {
		for i := range w.count {
			during(d, func(on bool) { w.net.DropOneWay(w.ip(i), host, on) })
		}
	}
}

// request sends one request to a controller, as a user does.
func (w *simulation) request(i int, timeout time.Duration, method, path string, body []byte) (*httpwire.Response, error) {
	caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: w.net.Host("10.3.0.4").Dial}
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	return caller.Call(ctx, simulator.Address(w.ip(i), 8080), method, path, body)
}

// serviceRunTime is the run time of services: longer than any simulation.
const serviceRunTime = 24 * time.Hour

// jobOf returns a job of the team blue. Each of its tasks uses one GPU, a quarter of a machine's.
func jobOf(id string, shape wire.Shape, tasks int, run time.Duration, change ...func(*wire.Job)) *wire.Job {
	j := &wire.Job{ID: id, Class: "c", Team: "blue", Shape: shape, Priority: wire.Normal, Tasks: tasks, CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1, EstimateS: run.Seconds()}
	if shape == wire.Service {
		j.Priority, j.EstimateS = wire.Production, 0
	}
	for _, apply := range change {
		apply(j)
	}
	return j
}

// teamRed, spread, inOneZone and saves are changes for jobOf: the team red, tasks spread over zones, all
// tasks in one zone, and checkpoints every 5 s that take 1 s to save.
func teamRed(j *wire.Job)         { j.Team = "red" }
func spreadOverZones(j *wire.Job) { j.Spread = true }
func inOneZone(j *wire.Job)       { j.OneZone = true }
func withCheckpoints(j *wire.Job) { j.CheckpointS, j.SaveS = 5, 1 }

// log prints a message if SIM_LOG is set.
func log(values ...any) {
	if os.Getenv("SIM_LOG") != "" {
		fmt.Fprintln(os.Stderr, append([]any{time.Now().Format("15:04:05.000"), "====="}, values...)...)
	}
}

// taskObserver passes task events to the checker. It records when and where tasks ran, for faults
// that depend on that.
type taskObserver struct {
	*simulator.Checker
	mu                   sync.Mutex
	instantBootUntil     time.Time                 // machines that start before this boot at once
	bootedAt             map[string]time.Time      // when machines started that boot at once
	lastMachine          map[wire.TaskID]string    // the last machine of each task
	taskEnds             map[wire.TaskID]time.Time // when each task ends, or has ended
	starts, stops        map[wire.TaskID]int       // how often each task has started and has stopped
	startsByMachine      map[string]int            // how many tasks have started on each machine
	concurrentReadsUntil time.Time                 // users read concurrently before this

	cancelled, polls, startsAtBoot atomic.Int64 // counts of cancelled jobs, concurrent requests, and task starts on just booted machines
}

// newTaskObserver returns an observer that reports to a checker.
func newTaskObserver(c *simulator.Checker) *taskObserver {
	return &taskObserver{Checker: c, bootedAt: map[string]time.Time{}, lastMachine: map[wire.TaskID]string{}, taskEnds: map[wire.TaskID]time.Time{}, starts: map[wire.TaskID]int{}, stops: map[wire.TaskID]int{}, startsByMachine: map[string]int{}}
}

// machineBooted is called when a machine starts to boot.
func (f *taskObserver) machineBooted(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Before(f.instantBootUntil) {
		f.bootedAt[machine] = now
	}
}

// setInstantBoot has the machines that start within the duration d boot at once.
func (f *taskObserver) setInstantBoot(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instantBootUntil = time.Now().Add(d)
}

// setConcurrentReads has users read concurrently for the duration d.
func (f *taskObserver) setConcurrentReads(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.concurrentReadsUntil = time.Now().Add(d)
}

// TaskStarted implements simulator.Fixture.
func (f *taskObserver) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	run, ok := f.Checker.TaskStarted(t, machine, typ, zone, spot)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts[t]++
	f.startsByMachine[machine]++
	f.lastMachine[t], f.taskEnds[t] = machine, time.Now().Add(run)
	if time.Since(f.bootedAt[machine]) < 4*time.Second { // a machine that has just booted has to fetch the image first
		f.startsAtBoot.Add(1)
	}
	return run, ok
}

// TaskStopped implements simulator.Fixture.
func (f *taskObserver) TaskStopped(t wire.TaskID, machine string) {
	f.Checker.TaskStopped(t, machine)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops[t]++
}

// TaskCompleted implements simulator.Fixture.
func (f *taskObserver) TaskCompleted(t wire.TaskID) {
	f.Checker.TaskCompleted(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taskEnds[t] = time.Now()
}

// jobEnd returns when the last task of a job will end or has ended. ok is false until all tasks have
// started.
func (f *taskObserver) jobEnd(j *wire.Job) (last time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range j.Tasks {
		at := f.taskEnds[wire.TaskID{Job: j.ID, Index: i}]
		if at.IsZero() {
			return at, false
		}
		if last.Before(at) {
			last = at
		}
	}
	return last, true
}

// startsOf returns how often a task has started.
func (f *taskObserver) startsOf(t wire.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[t]
}

// hasEnded reports whether a task has started, and has stopped as often as it started.
func (f *taskObserver) hasEnded(t wire.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[t] > 0 && f.stops[t] == f.starts[t]
}

// ranOn reports whether a machine is the last machine of some task of a job.
func (f *taskObserver) ranOn(machine string, j *wire.Job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range j.Tasks {
		if f.lastMachine[wire.TaskID{Job: j.ID, Index: i}] == machine {
			return true
		}
	}
	return false
}

// client is the user of one job, or several users who make concurrent requests about it. It checks
// the responses.
type client struct {
	*simulation
	job             *wire.Job
	maxRunTime      time.Duration // longest run time of its tasks
	rng             *rand.Rand    // not shared with other clients, which draw from theirs concurrently
	cancelRequested atomic.Bool
	unanswered      *atomic.Int64 // counts requests without a usable response, if set
	progress        atomic.Int32  // best answer so far: 0 none, 1 accepted, 2 a final state
}

// client returns the user of a job. The given run times apply to the job's tasks in order.
func (w *simulation) client(j *wire.Job, rng *rand.Rand, runs ...time.Duration) *client {
	w.checker.Submitted(j, runs[0])
	w.checker.SetTaskRunTimes(j.ID, runs...)
	return &client{simulation: w, job: j, maxRunTime: slices.Max(runs), rng: rng}
}

// rngOf returns a random source that depends only on a seed and a job ID.
func rngOf(seed uint64, job string) *rand.Rand {
	h := fnv.New64()
	_, _ = h.Write([]byte(job))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// ask sends a request to one controller, checks the response and returns its status, or 0 if there
// was no usable response. The answer may be older than one that was received while the request was
// in flight, but not older than one that was received before it was sent.
func (c *client) ask(i int, timeout time.Duration, method, path string, body []byte) int {
	before, id := c.checker.Stage(c.job.ID), c.job.ID
	resp, err := c.request(i, timeout, method, path, body)
	if err != nil || c.ctx.Err() != nil || resp.Status == 429 || resp.Status >= 500 {
		if c.unanswered != nil {
			c.unanswered.Add(1)
		}
		return 0
	}
	var s wire.JobStatus
	_ = wire.Decode(resp.Body, &s)
	if before == "" && resp.Status >= 400 || !before.Final() && c.checker.Stage(id).Final() && !s.Stage.Final() {
		return resp.Status
	}
	if c.checker.ObserveAnswer(id, resp.Status, s.Stage, c.cancelRequested.Load()); resp.Status >= 400 {
		c.t.Errorf("%s in stage %q is answered %d by controller %d", id, before, resp.Status, i)
		return resp.Status
	}
	if now := map[bool]int32{false: 1, true: 2}[s.Stage.Final()]; c.progress.Swap(now) < now && c.readsConcurrently() {
		c.group.Go(func() {
			if c.readConcurrently(2); now == 1 && c.draw(c.rng, 6) == 0 {
				c.untilAnswered(c.cancel)
			}
		})
	}
	return resp.Status
}

// readsConcurrently reports whether users currently read concurrently.
func (w *simulation) readsConcurrently() bool {
	w.tasks.mu.Lock()
	defer w.tasks.mu.Unlock()
	return time.Now().Before(w.tasks.concurrentReadsUntil)
}

// readConcurrently asks all controllers about the job within a few milliseconds, some of them by
// submitting it again, and repeats that the given number of times.
func (c *client) readConcurrently(times int) {
	var requests sync.WaitGroup
	for range times {
		for i := range c.count {
			requests.Go(func() {
				time.Sleep(time.Duration(c.draw(c.rng, 5000)) * time.Microsecond)
				if c.tasks.polls.Add(1); c.draw(c.rng, 3) == 0 {
					c.submit(i)
				} else {
					c.poll(i)
				}
			})
		}
		time.Sleep(time.Duration(c.draw(c.rng, 200)) * time.Millisecond)
	}
	requests.Wait()
}

// path returns the URL path of the job.
func (c *client) path() string { return wire.PathJobs + "/" + c.job.ID }

// submit submits the job to one controller.
func (c *client) submit(i int) int {
	return c.ask(i, 5*time.Second, "POST", wire.PathJobs, wire.Encode(c.job))
}

// poll asks one controller for the job's status.
func (c *client) poll(i int) int { return c.ask(i, 2*time.Second, "GET", c.path(), nil) }

// cancel asks one controller to cancel the job.
func (c *client) cancel(i int) int {
	c.cancelRequested.Store(true)
	return c.ask(i, 5*time.Second, "POST", c.path()+"/"+wire.CancelPathSuffix, []byte{})
}

// body returns the submission, either unchanged or with different content under the same ID.
func (c *client) body() []byte {
	submission := *c.job
	switch c.draw(c.rng, 6) {
	case 0:
		submission.Tasks, submission.Team, submission.CPUs = 90, "nobody", 1000
	case 1:
		submission.Image = strings.Repeat("large", 3000)
	case 2:
		submission.Shape = "none"
	}
	return wire.Encode(&submission)
}

// anyController selects a random controller, as a load balancer does.
func (c *client) anyController() int { return c.draw(c.rng, c.count) }

// untilAnswered sends a request to random controllers until one answers, and returns the status.
func (c *client) untilAnswered(ask func(i int) int) int {
	for c.ctx.Err() == nil {
		if status := ask(c.anyController()); status > 0 {
			return status
		}
		time.Sleep(time.Second)
	}
	return 0
}

// startClient starts a user who submits a job at the time submit and polls it. The user cancels it at
// the time cancel, unless that is 0. Both times count from this call. Each request goes to a random
// controller. After the job has ended the user polls and submits it again, and checks that its final
// state stays the same.
func (w *simulation) startClient(seed uint64, j *wire.Job, submit, cancel time.Duration, runs ...time.Duration) *client {
	c, start := w.client(j, rngOf(seed, j.ID), runs...), time.Now()
	w.group.Go(func() {
		time.Sleep(submit)
		if status := c.untilAnswered(c.submit); status != 200 && status != 201 && w.ctx.Err() == nil {
			w.t.Errorf("submission of %s was answered %d", j.ID, status)
			return
		}
		w.pollUntilFinal(j.ID)
		for w.ctx.Err() == nil && !w.checker.Stage(j.ID).Final() {
			if left := cancel - time.Since(start); cancel > 0 && left < 3*time.Second {
				time.Sleep(left)
				if c.untilAnswered(c.cancel) == 200 {
					w.tasks.cancelled.Add(1)
				}
				continue
			}
			time.Sleep(2*time.Second + time.Duration(c.draw(c.rng, 2000))*time.Millisecond)
			c.poll(c.anyController())
		}
		for range 8 { // every controller has to return the same final state
			time.Sleep(time.Duration(c.draw(c.rng, 8000)) * time.Millisecond)
			c.poll(c.anyController())
		}
		if c.untilAnswered(c.submit); c.cancelRequested.Load() { // a late retry gets the final state
			c.untilAnswered(c.cancel)
		}
	})
	return c
}
