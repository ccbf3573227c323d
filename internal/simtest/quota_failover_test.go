package simtest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// The tests in this file simulate days on which every team is at its quota, jobs are cancelled whose
// machines can't be reached, and the leader changes.

// gpuLimits are the teams' quotas; a machine has 4 GPUs, so that capacity is never the limit.
var gpuLimits = map[string]float64{"red": 6, "blue": 8}

// limitedTeams are the teams with a quota, in order.
var limitedTeams = []string{"red", "blue"}

// newQuotaSimulation starts a simulation with the given sharding in which every team has a quota.
func newQuotaSimulation(t *testing.T, count int, seed uint64, by string) *simulation {
	w := newProxiedSimulation(t, count, seed, func(c *config.Config) {
		c.Teams = []config.Team{{Name: "red", GPUs: 4, GPUsMax: gpuLimits["red"]}, {Name: "blue", GPUsMax: gpuLimits["blue"]}}
		c.Tuning.Shards.By, c.Zone = by, []string{"a", "b"}[controllerNumber(c.Name)%2]
	})
	w.checker.GPULimits = gpuLimits
	return w
}

// usedGPUs returns the number of GPUs that the running tasks of a team use.
func (w *simulation) usedGPUs(team string) (sum float64) {
	for _, id := range w.checker.Jobs() {
		if j, _ := w.checker.Describe(id); j.Team == team {
			sum += j.GPUs * float64(w.checker.RunningTasks(id))
		}
	}
	return sum
}

// allTeamsAtLimit reports whether every team uses its whole quota.
func (w *simulation) allTeamsAtLimit() bool {
	return !slices.ContainsFunc(limitedTeams, func(team string) bool { return w.usedGPUs(team) < gpuLimits[team] })
}

// waitUntil waits until a condition holds, and reports whether it did before the timeout.
func waitUntil(timeout time.Duration, condition func() bool) bool {
	for start := time.Now(); !condition(); time.Sleep(200 * time.Millisecond) {
		if time.Since(start) > timeout {
			return false
		}
	}
	return true
}

// unreachableFaults are the ways in which a machine becomes unreachable for a while.
var unreachableFaults = []struct {
	name  string
	apply func(w *simulation, m runningMachine, d time.Duration)
}{
	{"cut off", func(w *simulation, m runningMachine, d time.Duration) {
		during(d, func(on bool) { w.net.SetDown(m.host, on) })
	}},
	{"hanging", func(_ *simulation, m runningMachine, d time.Duration) { m.Pause(d) }},
	{"receiving nothing", func(_ *simulation, m runningMachine, d time.Duration) { dropInbound(d, m) }},
	{"sending nothing", func(w *simulation, m runningMachine, d time.Duration) {
		during(d, func(on bool) { w.net.RefuseOutbound(m.host, on) })
	}},
	{"delayed", func(w *simulation, m runningMachine, d time.Duration) { w.net.Hold(m.host, d) }},
}

// handover is a way in which a controller loses the shards that it leads.
type handover struct {
	name  string
	apply func(w *simulation, leader int, rng *rand.Rand)
}

// handovers happen by a crash of the leader, by its graceful stop, by a pause, and by a partition.
var handovers = []handover{
	{"crashes and is back at once", func(w *simulation, i int, rng *rand.Rand) { w.crash(i, restartDelay(rng), 0) }},
	{"crashes, its last messages are delayed", func(w *simulation, i int, rng *rand.Rand) { w.crash(i, restartDelay(rng), 20*time.Second) }},
	{"crashes and is back later", func(w *simulation, i int, _ *rand.Rand) { w.crash(i, 25*time.Second, 0) }},
	{"ends as it is asked to", func(w *simulation, i int, _ *rand.Rand) { w.stopGracefully(i, time.Second) }},
	{"is refused by the state service", func(w *simulation, i int, _ *rand.Rand) {
		during(25*time.Second, func(on bool) { w.refuseByStore(i, on) })
	}},
	{"is cut from the state service and its peers", func(w *simulation, i int, _ *rand.Rand) {
		during(25*time.Second, func(on bool) { w.isolate(on, i) })
	}},
	{"stands still", func(w *simulation, i int, _ *rand.Rand) { w.net.Pause(w.ip(i), 15*time.Second) }},
	{"crashes, and so does the next", func(w *simulation, i int, rng *rand.Rand) {
		token := w.lastFencingToken()
		w.crash(i, restartDelay(rng), 0)
		waitUntil(20*time.Second, func() bool { return w.lastFencingToken() > token })
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		w.handOverAll(func(w *simulation, i int, _ *rand.Rand) { w.crash(i, 10*time.Second, 0) }, rng)
	}},
}

// stopGracefully stops a controller as its operator would, so that it resigns first, and restarts it later.
func (w *simulation) stopGracefully(i int, back time.Duration) {
	n := w.nodes[i]
	if n.down.Swap(true) {
		return
	}
	n.stop()
	<-n.done
	n.host.End()
	w.group.Go(func() {
		time.Sleep(back)
		w.start(i)
		n.down.Store(false)
	})
}

// handOverAll applies a handover to every leader.
func (w *simulation) handOverAll(apply func(w *simulation, leader int, rng *rand.Rand), rng *rand.Rand) {
	leaders := map[int]bool{}
	for _, name := range w.leaders() {
		leaders[controllerNumber(name)] = true
	}
	for i := range w.count {
		if leaderRNG := rand.New(rand.NewPCG(uint64(i), rng.Uint64())); leaders[i] {
			w.group.Go(func() { apply(w, i, leaderRNG) })
		}
	}
}

// quotaFailoverCase is a simulated day on which the leader changes while some machines are unreachable.
type quotaFailoverCase struct {
	seed                               uint64
	sharding                           string
	count                              int
	unreachableKind, handoverKind      int           // indexes into unreachableFaults and handovers
	faultDuration                      time.Duration // how long machines are unreachable
	handoverAt, cancelAt               time.Duration // when the leader changes, from the start of the fault, and when jobs are cancelled, from the change
	cloudKeepsMachines, gangSpansZones bool          // the cloud releases no machine meanwhile; gangs are spread over two zones
	oneMachineOnly                     bool          // only one machine is unreachable
}

func (d quotaFailoverCase) String() string {
	return fmt.Sprintf("%s, %d controllers, machines are %s for %v (some: %v), %v later the leader %s, jobs are cancelled at %v, releases are refused: %v",
		d.sharding, d.count, unreachableFaults[d.unreachableKind].name, d.faultDuration, d.oneMachineOnly, d.handoverAt, handovers[d.handoverKind].name, d.cancelAt, d.cloudKeepsMachines)
}

// drawQuotaFailover draws a case: the fault lasts about as long as one of the protocol's time bounds,
// and the handover comes before, at or after one. The first len(handovers) seeds contain every kind of
// handover.
func drawQuotaFailover(seed uint64) quotaFailoverCase {
	rng := rand.New(rand.NewPCG(seed, 30))
	d := quotaFailoverCase{seed: seed, sharding: []string{"off", "zone"}[seed%2], count: []int{3, 5}[seed/2%2], unreachableKind: int(seed) % len(unreachableFaults), handoverKind: int(seed*5+seed/8) % len(handovers),
		faultDuration: drawNearBound(rng, 2*time.Second, 70*time.Second), cloudKeepsMachines: rng.IntN(2) == 0, gangSpansZones: rng.IntN(2) == 0, oneMachineOnly: rng.IntN(2) == 0}
	d.handoverAt = drawNearBound(rng, 0, 30*time.Second)
	d.cancelAt = max(-d.handoverAt, time.Duration(rng.IntN(10000)-4000)*time.Millisecond)
	return d
}

// quotaCasesRun counts the cases that were run, and quotaCasesAtLimit those in which every team was at
// its quota when the leader changed.
var quotaCasesRun, quotaCasesAtLimit atomic.Int64

// run simulates the case.
func (d quotaFailoverCase) run(t *testing.T) {
	rng := rand.New(rand.NewPCG(d.seed, 31))
	r := &quotaFailoverRun{simulation: newQuotaSimulation(t, d.count, d.seed, d.sharding), testCase: d}
	log(d)
	defer func() {
		if t.Failed() {
			t.Log(d)
		}
	}()
	time.Sleep(8 * time.Second)
	r.submitAll()
	time.Sleep(3 * time.Second)

	r.faultStart = time.Now()
	lost := r.loseMachines()
	if d.cloudKeepsMachines {
		during(max(d.faultDuration, d.handoverAt+30*time.Second), func(on bool) { r.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = on }) })
	}
	if d.cancelAt < 0 {
		r.cancel()
	}
	r.sleepUntilAfterFault(d.handoverAt)
	token := r.lastFencingToken()
	if quotaCasesRun.Add(1); r.allTeamsAtLimit() {
		quotaCasesAtLimit.Add(1)
	}
	if lost == 0 {
		t.Error("no machine became unreachable")
	}
	r.handOverAll(handovers[d.handoverKind].apply, rng)
	if d.cancelAt >= 0 {
		r.cancel()
	}
	r.sleepUntilAfterFault(max(d.faultDuration, d.handoverAt+30*time.Second))
	for _, c := range r.toCancel {
		if !waitUntil(30*time.Second, func() bool { return r.checker.Stage(c.job.ID) == wire.Cancelled }) {
			t.Errorf("%s is %s, want cancelled", c.job.ID, r.checker.Stage(c.job.ID))
		}
	}
	if r.lastFencingToken() == token {
		t.Error("the leader did not change")
	}
	r.checkQuotasUsed()
	r.finishQuietly(0, 15*time.Minute)
}

// quotaFailoverRun is the simulation of a quotaFailoverCase.
type quotaFailoverRun struct {
	*simulation
	testCase   quotaFailoverCase
	toCancel   []*client // users who cancel their jobs
	faultStart time.Time
}

// submit submits a job of a team; n distinguishes it from the team's other jobs.
func (r *quotaFailoverRun) submit(n int, team string, shape wire.Shape, tasks int, gpus float64, run, cancel time.Duration, options ...func(*wire.Job)) *client {
	j := jobOf(fmt.Sprintf("wk-%d%d", 1+slices.Index(limitedTeams, team), n), shape, tasks, run, append(options, func(j *wire.Job) { j.Team, j.GPUs, j.CPUs, j.MemoryGB = team, gpus, 1, 4 })...)
	return r.startClient(r.testCase.seed, j, 0, cancel, run)
}

// submitAll submits jobs that use the whole quotas, most of which are cancelled later, and then jobs
// that have to wait.
func (r *quotaFailoverRun) submitAll() {
	const long, short = 10 * time.Minute, 25 * time.Second
	zones := map[bool]func(*wire.Job){false: inOneZone, true: spreadOverZones}[r.testCase.gangSpansZones]
	for _, team := range limitedTeams {
		r.toCancel = append(r.toCancel, r.submit(1, team, wire.Array, 2, 1, long, 0), r.submit(2, team, wire.Gang, 2, 1, long, 0, withCheckpoints, zones))
		r.submit(3, team, wire.Service, 2, 1, serviceRunTime, 4*time.Minute)
	}
	r.toCancel = append(r.toCancel, r.submit(4, "blue", wire.Array, 2, 1, long, 0, func(j *wire.Job) { j.Zone = "a" }))
	if !waitUntil(50*time.Second, r.allTeamsAtLimit) {
		r.t.Error("the teams did not reach their limits")
	}
	for _, team := range limitedTeams {
		r.submit(5, team, wire.Array, 1, 3, short, 0)
		r.submit(6, team, wire.Gang, 2, 2, short, 0, spreadOverZones)
		r.submit(7, team, wire.Array, 30, 1, short, 0)
	}
}

// loseMachines makes machines unreachable that ran jobs to be cancelled, and returns how many.
func (r *quotaFailoverRun) loseMachines() (lost int) {
	for _, m := range r.runningMachines() {
		if ranJob := slices.ContainsFunc(r.toCancel, func(c *client) bool { return r.tasks.ranOn(m.id, c.job) }); ranJob && (lost == 0 || !r.testCase.oneMachineOnly) {
			lost++
			unreachableFaults[r.testCase.unreachableKind].apply(r.simulation, m, r.testCase.faultDuration)
		}
	}
	return lost
}

// sleepUntilAfterFault sleeps until the time d after the start of the fault.
func (r *quotaFailoverRun) sleepUntilAfterFault(d time.Duration) {
	time.Sleep(time.Until(r.faultStart.Add(d)))
}

// cancel has the users cancel their jobs at the time that the case sets.
func (r *quotaFailoverRun) cancel() {
	r.sleepUntilAfterFault(r.testCase.handoverAt + r.testCase.cancelAt)
	log("cancelled")
	for _, c := range r.toCancel {
		r.group.Go(func() { c.untilAnswered(c.cancel) })
	}
}

// checkQuotasUsed checks that the quota of tasks that are proven to be gone is used again: more than
// enough small tasks wait. With several shards some quota may be reserved for the co-allocation of a
// gang, for 90 s at most.
func (r *quotaFailoverRun) checkQuotasUsed() {
	start, timeout := time.Now(), map[string]time.Duration{"off": time.Minute, "zone": 150 * time.Second}[r.testCase.sharding]
	for k, team := range limitedTeams {
		smallJob := fmt.Sprintf("wk-%d7", k+1)
		if !waitUntil(timeout, func() bool { return r.usedGPUs(team) == gpuLimits[team] || r.checker.Stage(smallJob).Final() }) {
			r.t.Errorf("%s uses %v of %v GPUs %v after the end of all faults", team, r.usedGPUs(team), gpuLimits[team], time.Since(start))
		}
	}
}

// TestQuotasHoldThroughFailover checks that no team exceeds its quota when the leader changes while
// machines with cancelled jobs are unreachable, and that freed quota is used again. AMBERDEAL_LIMITS
// sets the number of days, AMBERDEAL_LIMIT runs one.
func TestQuotasHoldThroughFailover(t *testing.T) {
	runSeeds(t, 8, "AMBERDEAL_LIMIT", func(t *testing.T, seed uint64) { drawQuotaFailover(seed).run(t) })
	t.Logf("every team was at its limit when the leader changed on %d of %d days", quotaCasesAtLimit.Load(), quotaCasesRun.Load())
	if n := quotaCasesRun.Load(); n > 7 && quotaCasesAtLimit.Load()*3 < n {
		t.Error("on most days the teams were below their limits when the leader changed")
	}
}
