package simtest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// outageCase combines faults around cancellations: the state service refuses the leader alone, another
// controller confirms cancellations to users, and then the service is unavailable to all controllers.
// The leader cannot stop tasks whose cancellation it does not know, and each of its answers extends the
// leases of machines. A renewal of its own lease, which may succeed in between, does not tell it about
// the cancellations.
type outageCase struct {
	controllers         int
	lease, cancelWithin time.Duration // the lease of workers, and the time within which cancelled tasks have to be gone
	sharding            string        // of the fleet; "" for the default
	directHeartbeats    int           // setting for heartbeats that the leader receives itself; 0: peers relay all of them
	refusedFor          time.Duration // how long the leader is refused before the cancellations are requested; if negative, how long after their confirmation the refusal starts
	outageDelay         time.Duration // time from the confirmation to the start of the outage
	outageLength        time.Duration // 0: no outage
	renewalWindow       time.Duration // the refusal ends that long before the outage, so that a renewal of the leader's lease may succeed; 0: it lasts until the outage
	secondOutageAfter   time.Duration // a second refusal with an outage follows that long after the first; 0: none
	extra               string        // names of additional faults
}

func (c outageCase) String() string {
	return fmt.Sprintf("%d nodes %v/%v by=%s keep=%d refused=%v outage=%v lasts=%v renews=%v again=%v with=%q",
		c.controllers, c.lease, c.cancelWithin, c.sharding, c.directHeartbeats, c.refusedFor, c.outageDelay, c.outageLength, c.renewalWindow, c.secondOutageAfter, c.extra)
}

func (c outageCase) hasExtra(name string) bool { return slices.Contains(strings.Fields(c.extra), name) }

// extraFaults are the sets of additional faults of an outage case.
var extraFaults = []string{
	"",
	"asked",        // the responses to cancellations are lost; users see the cancellation when they ask another controller
	"both",         // two controllers receive the cancellation at once
	"late",         // the transaction of a cancellation gets no response, and is committed a second later
	"one-way",      // every second machine receives nothing from the controllers for 30 s
	"crash",        // the leader's peers crash and restart within 0.1 s
	"crash-leader", // the leader crashes and restarts within 0.1 s
	"still",        // the leader is paused for some time, between a check and the message that depends on it
	"still-twice",  // the leader is paused repeatedly, for longer in total
	"slow",         // each step of the leader is slow
	"cloud",        // the cloud answers every request with 503, so machines can't be released
	"loose",        // direct launch calls of the jobs to cancel are delayed, and get no response
	"loose cloud",
	"passed",        // the leader reaches machines only through its peers
	"blind",         // the leader's lease renewals are answered, but not its reads
	"blind lagging", // the leader's reads are answered, but late
	"blind slow",
	"blind one-way",
	"blind asked",
	"delayed", // the network delivers late what controllers send
	"apart",   // the leader's peers reach neither the machines nor the leader
	"apart slow",
	"apart one-way",
	"late both",
	"asked crash",
	"cloud still",
	"loose apart cloud",
}

// machineAnswer is an answer that a machine has received from a controller, with its fencing token.
type machineAnswer struct {
	at            time.Time
	machine, node string
	token         uint64
}

// answerWatcher records the answers that machines receive, and the machines on which tasks run.
type answerWatcher struct {
	*simulator.Checker
	mu         sync.Mutex
	answers    []machineAnswer
	placements map[wire.TaskID]map[string]bool
	jobGoneAt  map[string]time.Time // when the most recent of a job's tasks was gone
	goneTasks  map[string]int       // number of times that a task of a job stopped
}

func (a *answerWatcher) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	run, ok := a.Checker.TaskStarted(t, machine, typ, zone, spot)
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok {
		if a.placements[t] == nil {
			a.placements[t] = map[string]bool{}
		}
		a.placements[t][machine] = true
	}
	return run, ok
}

func (a *answerWatcher) TaskStopped(t wire.TaskID, machine string) {
	a.Checker.TaskStopped(t, machine)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.placements[t][machine] {
		delete(a.placements[t], machine)
		a.jobGoneAt[t.Job] = time.Now()
		a.goneTasks[t.Job]++
	}
}

// machines returns the machines that have tasks of the jobs.
func (a *answerWatcher) machines(jobs []string) map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]bool{}
	for t, hosts := range a.placements {
		for m := range hosts {
			if slices.Contains(jobs, t.Job) {
				out[m] = true
			}
		}
	}
	return out
}

// answersSince counts the answers with a fencing token that the machines received since a time, in total
// and by the host of the controller that sent them.
func (a *answerWatcher) answersSince(from time.Time, token uint64, machines map[string]bool) (n int, by map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	by = map[string]int{}
	for _, answer := range a.answers {
		if machines[answer.machine] && answer.token == token && !answer.at.Before(from) {
			n++
			by[answer.node]++
		}
	}
	return n, by
}

// tappedNetwork is a machine's network that records the answers it receives.
type tappedNetwork struct {
	transport.Network
	machine string
	watcher *answerWatcher
}

func (p tappedNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := p.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &tappedConn{Conn: c, tap: p, node: simulator.HostOf(addr)}, nil
}

type tappedConn struct {
	net.Conn
	tap  tappedNetwork
	node string
	got  []byte // received since the last complete response
}

func (c *tappedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.got = append(c.got, p[:n]...)
	if r, parseErr := httpwire.ReadResponse(bufio.NewReader(bytes.NewReader(c.got)), 8<<20); parseErr == nil {
		c.got = nil
		var a wire.HeartbeatResponse
		if r.Status == 200 && wire.Decode(r.Body, &a) == nil {
			c.tap.watcher.mu.Lock()
			c.tap.watcher.answers = append(c.tap.watcher.answers, machineAnswer{time.Now(), c.tap.machine, c.node, a.FencingToken})
			c.tap.watcher.mu.Unlock()
		}
	}
	return n, err
}

// outageSimulation is a simulation in which each controller has its own path to the state service.
type outageSimulation struct {
	*simulation
	outageCase     outageCase
	watcher        *answerWatcher
	mu             sync.Mutex
	workers        map[string]*simulator.Worker
	callDelay      time.Duration        // current delay of direct calls
	heldCalls      int                  // number of direct calls that were delayed
	outageBegun    bool                 // the outage has begun
	readsBlocked   map[int]bool         // controllers whose reads get no response
	leaseRenewedAt map[int]time.Time    // last renewal of a lease, by controller
	confirmedAt    map[string]time.Time // first confirmed cancellation, by job
}

const userHost = "10.3.0.9"

// newOutageSimulation starts the simulation of a case.
func newOutageSimulation(t *testing.T, tc outageCase, seed uint64) *outageSimulation {
	w := &outageSimulation{outageCase: tc, workers: map[string]*simulator.Worker{}, readsBlocked: map[int]bool{}, leaseRenewedAt: map[int]time.Time{}, confirmedAt: map[string]time.Time{}}
	w.simulation = newSimulationOf(t, tc.controllers, seed, 0, func(c *config.Config) {
		c.Workers.Lease, c.Workers.CancelTimeout = tc.lease, tc.cancelWithin
		c.Tuning.MaxDirectHeartbeats = tc.directHeartbeats
		if tc.sharding != "" {
			c.Tuning.Shards.By = tc.sharding
		}
		c.StoreAddr = strings.Replace(strings.Replace(c.PublicAddr, "10.0.0.", "10.2.1.", 1), ":8080", ":2379", 1)
	})
	for i := range tc.controllers {
		addr := fmt.Sprintf("10.2.1.%d:2379", i+1)
		go w.net.Host(simulator.HostOf(addr)).Listen(w.ctx, addr, 0, w.stateProxy(i))
	}
	w.checker.CancelWithin = tc.cancelWithin
	w.watcher = &answerWatcher{Checker: w.checker, placements: map[wire.TaskID]map[string]bool{}, jobGoneAt: map[string]time.Time{}, goneTasks: map[string]int{}}
	names := map[string]string{}
	for i := range tc.controllers {
		names[fmt.Sprintf("c-%d", i)] = simulator.Address(w.ip(i), 8080)
	}
	runtime := simulator.NewTaskRuntime(w.watcher, 20*time.Second, 3*time.Second)
	callDelay := func() time.Duration {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.callDelay > 0 {
			w.heldCalls++
		}
		return w.callDelay
	}
	w.cloud.SetFaults(func(*simulator.CloudFaults) { // no machine has been started yet
		w.cloud.Start = func(id, addr, typ, zone string, spot bool) simulator.Machine {
			host := simulator.HostOf(addr)
			w.net.SetZone(host, zone)
			fetchFactor := 1.0
			if zone == "b" {
				fetchFactor = 5 // so that some members of a gang across both zones have to wait for the others
			}
			m := simulator.NewWorker(simulator.WorkerConfig{ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Spec: g4, Net: tappedNetwork{w.net.Host(host), id, w.watcher},
				TakeDown: func() { w.net.SetDown(host, true) }, Controllers: names, Runtime: runtime, Lease: tc.lease, HeartbeatInterval: 2 * time.Second, CallDelay: callDelay, FetchFactor: fetchFactor})
			w.mu.Lock()
			w.workers[id] = m
			w.mu.Unlock()
			return m
		}
	})
	return w
}

// ask sends one request to a controller. The status is 0 if there is no response.
func (w *outageSimulation) ask(i int, method, path string, body []byte) (status int, s wire.JobStatus) {
	caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: w.net.Host(userHost).Dial}
	ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
	defer cancel()
	resp, err := caller.Call(ctx, simulator.Address(w.ip(i), 8080), method, path, body)
	if err != nil {
		return 0, s
	}
	_ = wire.Decode(resp.Body, &s)
	return resp.Status, s
}

func (w *outageSimulation) submitTo(i int, j *wire.Job) {
	w.checker.Submitted(j, 24*time.Hour)
	for w.ctx.Err() == nil {
		if status, s := w.ask(i, "POST", wire.PathJobs, wire.Encode(j)); status == 200 || status == 201 {
			w.checker.ObserveAnswer(j.ID, status, s.Stage, false)
			w.pollUntilFinal(j.ID)
			return
		}
		time.Sleep(time.Second)
	}
}

// cancelUntilConfirmed cancels a job at the given controllers, in turn, until one confirms it. If
// answersLost, the responses to the cancellations are lost, and the user sees the cancellation in the
// job's status at the next controller.
func (w *outageSimulation) cancelUntilConfirmed(id string, answersLost bool, nodes ...int) {
	path := wire.PathJobs + "/" + id
	for try := 0; w.ctx.Err() == nil && try < 400; try++ {
		status, s := 0, wire.JobStatus{}
		target := nodes[try%len(nodes)]
		if answersLost && try%2 == 1 {
			status, s = w.ask(target, "GET", path, nil)
		} else if status, s = w.ask(target, "POST", path+"/"+wire.CancelPathSuffix, []byte{}); answersLost {
			continue
		}
		if status == 200 && s.Stage == wire.Cancelled {
			w.checker.ObserveAnswer(id, status, s.Stage, true)
			w.mu.Lock()
			if w.confirmedAt[id].IsZero() {
				w.confirmedAt[id] = time.Now()
			}
			w.mu.Unlock()
			return
		}
		if status != 0 {
			time.Sleep(500 * time.Millisecond)
		}
	}
	if w.ctx.Err() == nil {
		w.t.Errorf("no controller confirmed the cancellation of %s in 400 attempts", id)
	}
}

// firstLeader returns the leader of the first shard and its fencing token.
func (w *outageSimulation) firstLeader() (i int, token uint64) {
	items := w.store.Page(store.LeaderKey(""), "", 0).Items
	if len(items) == 0 {
		return -1, 0
	}
	var rec store.LeaderRecord
	_ = wire.DecodeValue(items[0].Value, &rec)
	i, _ = strconv.Atoi(strings.TrimPrefix(rec.Leader, "c-"))
	return i, rec.FencingToken
}

func (w *outageSimulation) lostLeases() (n int) {
	w.mu.Lock()
	all := slices.Collect(maps.Values(w.workers))
	w.mu.Unlock()
	for _, m := range all {
		n += m.ExpiredLeases()
	}
	return n
}

// stateProxy returns the handler for a controller's path to the state service. It records successful
// lease renewals, and withholds the responses to reads while the controller's reads are blocked, as a
// slow service does.
func (w *outageSimulation) stateProxy(i int) transport.ServeConn {
	serve := w.store.ServeCaller(w.ip(i))
	return func(ctx context.Context, s transport.Stream) {
		serve(ctx, &proxiedStream{Stream: s, sim: w, node: i})
	}
}

type proxiedStream struct {
	transport.Stream
	sim               *outageSimulation
	node              int
	isRead, isRenewal bool // kind of the last request
}

func (s *proxiedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if line, _, ok := bytes.Cut(p[:n], []byte("\r\n")); ok && bytes.HasSuffix(line, []byte(" HTTP/1.1")) {
		s.isRead, s.isRenewal = bytes.HasPrefix(line, []byte("GET ")), bytes.Contains(line, []byte("/"+wire.RenewPathSuffix+" "))
	}
	return n, err
}

func (s *proxiedStream) Write(p []byte) (int, error) {
	w := s.sim
	if s.isRead && w.areReadsBlocked(s.node) && w.outageCase.hasExtra("lagging") {
		time.Sleep(readLag)
	}
	for s.isRead && w.areReadsBlocked(s.node) && w.ctx.Err() == nil && (!w.outageCase.hasExtra("lagging") || w.inOutage()) {
		time.Sleep(50 * time.Millisecond)
	}
	if s.isRenewal && bytes.HasPrefix(p, []byte("HTTP/1.1 200")) {
		w.mu.Lock()
		w.leaseRenewedAt[s.node] = time.Now()
		w.mu.Unlock()
	}
	return s.Stream.Write(p)
}

// readLag delays the responses to a leader's reads in cases with "lagging".
const readLag = 2300 * time.Millisecond

// inOutage reports whether the outage has begun.
func (w *outageSimulation) inOutage() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outageBegun
}

func (w *outageSimulation) areReadsBlocked(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readsBlocked[i]
}

func (w *outageSimulation) setReadsBlocked(i int, blocked bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readsBlocked[i] = blocked
}

// outageJobs returns the jobs to cancel: those whose tasks run when the leader is refused if now is
// true, otherwise those whose tasks still wait for their gang or an image, or are yet to start.
func outageJobs(now bool) []*wire.Job {
	job := func(id string, shape wire.Shape, tasks int, gpus float64, image string, gb float64) *wire.Job {
		return &wire.Job{ID: id, Class: "c", Team: "blue", Shape: shape, Priority: wire.Normal, Tasks: tasks, CPUs: 0.5, GPUs: gpus, MemoryGB: 1, Image: image, ImageGB: gb, EstimateS: 60, Spot: true}
	}
	if now {
		checkpointed := job("wk-000005", wire.Array, 4, 0.25, "img", 1)
		checkpointed.CheckpointS, checkpointed.SaveS = 5, 15
		service := job("wk-000002", wire.Service, 4, 0.25, "img", 1)
		service.Spread, service.Priority, service.EstimateS = true, wire.Production, 0
		return []*wire.Job{job("wk-000001", wire.Array, 40, 0.25, "img", 1), service, checkpointed}
	}
	gang := job("wk-000003", wire.Gang, 2, 0.25, "other", 3)
	gang.Spread, gang.CheckpointS, gang.SaveS = true, 5, 1
	return []*wire.Job{gang, job("wk-000004", wire.Array, 4, 0.25, "large", 30), job("wk-000006", wire.Array, 4, 0.25, "small", 0)}
}

// outageResult holds what was observed in a case.
type outageResult struct {
	directAnswers, relayedAnswers       int                    // answers of the refused leader, after the confirmation, to machines with cancelled tasks
	remainingTime                       time.Duration          // time left of cancelWithin when the last task was gone
	uncancelledTasks, uncancelledKilled int                    // tasks of jobs that were not cancelled, and how many of them were gone before the service was available again
	lostLeases                          int                    // number of workers' leases that expired
	lastRenewalAfter                    time.Duration          // from the start of the refusal to the leader's last renewal before the service was available again
	heldCalls                           int                    // number of direct calls that were delayed
	taskStates                          map[wire.TaskState]int // number of tasks to cancel in each state, just before their cancellation
}

// partitionMachines starts or ends the partitions of a case: "passed" separates the leader from the
// machines, "apart" its peers from the machines and from the leader.
func (w *outageSimulation) partitionMachines(leader int, others []int, on bool) {
	for _, host := range w.machineHosts() {
		if w.outageCase.hasExtra("passed") {
			w.net.Partition(w.ip(leader), host, on)
		}
		for _, i := range others {
			if w.outageCase.hasExtra("apart") {
				w.net.Partition(w.ip(i), host, on)
			}
		}
	}
	for _, i := range others {
		if w.outageCase.hasExtra("apart") {
			w.net.Partition(w.ip(leader), w.ip(i), on)
		}
	}
}

// prepareTasks submits jobs so that they are cancelled while their tasks wait for other gang members or
// for an image, and announces the preemption of a machine so that tasks save their state. Then it submits
// the last job. If the case delays direct launch calls, it returns as soon as one is delayed.
func (w *outageSimulation) prepareTasks(controller int, jobs []*wire.Job, callDelay time.Duration) {
	lastJob := jobs[len(jobs)-1]
	for _, j := range jobs[:len(jobs)-1] {
		w.submitTo(controller, j)
	}
	time.Sleep(7 * time.Second)
	for id := range w.watcher.machines([]string{"wk-000005"}) {
		w.mu.Lock()
		m := w.workers[id]
		w.mu.Unlock()
		m.Notice(2 * time.Minute)
		break
	}
	if !w.outageCase.hasExtra("loose") {
		w.submitTo(controller, lastJob)
		time.Sleep(2 * time.Second)
		return
	}
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	w.callDelay = callDelay
	w.mu.Unlock()
	w.submitTo(controller, lastJob)
	for range 150 {
		w.mu.Lock()
		n := w.heldCalls
		w.mu.Unlock()
		if n > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// countTaskStates counts the tasks of jobs by the state that machines report.
func (w *outageSimulation) countTaskStates(jobs []string) map[wire.TaskState]int {
	caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: w.net.Host("10.3.0.8").Dial}
	out := map[wire.TaskState]int{}
	for _, host := range w.machineHosts() {
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		resp, err := caller.Call(ctx, simulator.Address(host, 9000), "GET", wire.PathStatus, nil)
		cancel()
		if err != nil {
			continue
		}
		if r, err := wire.DecodeHeartbeat(resp.Body); err == nil {
			for _, t := range r.Tasks {
				if slices.Contains(jobs, t.ID.Job) {
					out[t.State]++
				}
			}
		}
	}
	return out
}

// watchLeases makes machines check every 250 ms whether their lease has expired. Otherwise they check
// this before a heartbeat, which a hanging call would prevent.
func (w *outageSimulation) watchLeases(d time.Duration) {
	caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: w.net.Host("10.3.0.8").Dial}
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(250 * time.Millisecond) {
		for _, host := range w.machineHosts() {
			ctx, cancel := context.WithTimeout(w.ctx, time.Second)
			_, _ = caller.Call(ctx, simulator.Address(host, 9000), "GET", wire.PathStatus, nil)
			cancel()
		}
	}
}

// applyExtraFaults injects the additional faults of a case after cancellations were confirmed.
func (w *outageSimulation) applyExtraFaults(leader int, others []int, rng *rand.Rand) {
	tc, ip := w.outageCase, w.ip(leader)
	pauseLeader := func(after, d time.Duration) { time.AfterFunc(after, func() { w.net.Pause(ip, d) }) }
	switch {
	case tc.hasExtra("crash"):
		for _, i := range others {
			w.crash(i, 100*time.Millisecond, 0)
		}
	case tc.hasExtra("crash-leader"):
		w.group.Add(1)
		time.AfterFunc(tc.outageDelay/2+2*time.Second, func() {
			defer w.group.Done()
			w.crash(leader, 100*time.Millisecond, 0)
		})
	case tc.hasExtra("still"):
		pauseLeader(2500*time.Millisecond, time.Duration(2+rng.IntN(25))*time.Second)
	case tc.hasExtra("still-twice"):
		for k := range 8 {
			pauseLeader(2500*time.Millisecond+time.Duration(k)*4*time.Second, 3800*time.Millisecond)
		}
	case tc.hasExtra("delayed"):
		time.AfterFunc(2500*time.Millisecond, func() {
			for i := range tc.controllers {
				w.net.Hold(w.ip(i), time.Duration(1+rng.IntN(12))*time.Second)
			}
		})
	}
	if tc.hasExtra("slow") {
		stepRNG := rand.New(rand.NewPCG(rng.Uint64(), 7))
		w.net.SetStepDelay(ip, func() time.Duration { return time.Duration(w.draw(stepRNG, 900)) * time.Millisecond })
		time.AfterFunc(max(tc.outageLength, 30*time.Second), func() { w.net.SetStepDelay(ip, nil) })
	}
}

// dropInboundOfHalf drops everything that controllers send to every second machine, for d.
func (w *outageSimulation) dropInboundOfHalf(d time.Duration) {
	for k, host := range w.machineHosts() {
		for i := range w.outageCase.controllers {
			if k%2 == 0 {
				during(d, func(on bool) { w.net.DropOneWay(w.ip(i), host, on) })
			}
		}
	}
}

// delayNextCommit makes the state service leave the next transaction that writes a batch without a
// response, and commit it a second later.
func (w *outageSimulation) delayNextCommit() {
	w.store.Configure(func(s *simulator.StateService) {
		first := true
		s.OutcomeOf = func(puts map[string]wire.Raw) simulator.TxnOutcome {
			for key := range puts {
				if first && store.Kind(key) == "batch" {
					first = false
					return simulator.TxnDelayed
				}
			}
			return simulator.TxnAnswered
		}
	})
}

// playOutage simulates an outage of the state service after the confirmation. first tells the first
// outage of a case from the second.
func (w *outageSimulation) playOutage(ip string, first bool) {
	tc := w.outageCase
	switch {
	case tc.refusedFor < 0 && first:
		time.Sleep(min(-tc.refusedFor, tc.outageDelay))
		w.store.RefuseCaller(ip, true)
		time.Sleep(max(0, tc.outageDelay+tc.refusedFor))
	case tc.renewalWindow > 0 && tc.renewalWindow < tc.outageDelay:
		time.Sleep(tc.outageDelay - tc.renewalWindow)
		w.store.RefuseCaller(ip, false)
		time.Sleep(tc.renewalWindow)
	default:
		time.Sleep(tc.outageDelay)
	}
	if tc.outageLength > 0 {
		w.store.SetOutage(true)
	}
	w.mu.Lock()
	w.outageBegun = true
	w.mu.Unlock()
	w.store.RefuseCaller(ip, false)
	time.Sleep(tc.outageLength)
	w.store.SetOutage(false)
}

// run simulates a case and checks the protocol's rules.
func (c outageCase) run(t *testing.T, seed uint64) (m outageResult) {
	w := newOutageSimulation(t, c, seed)
	time.Sleep(8 * time.Second)
	uncancelled := w.submitUncancelled()
	jobs, last := outageJobs(true), outageJobs(false)
	for _, j := range jobs {
		w.submitTo(1, j)
	}
	time.Sleep(25 * time.Second)
	leader, token := w.firstLeader()
	if leader < 0 || len(w.workers) == 0 {
		t.Fatal("the fleet has no leader or no machines")
	}
	var others []int
	for i := range c.controllers {
		if i != leader {
			others = append(others, i)
		}
	}
	// These jobs are launched while the state service serves the leader, or just before it refuses it.
	w.prepareTasks(others[0], last, c.cancelWithin+max(c.refusedFor, 0)+5*time.Second)
	refused := w.refuseLeader(leader, others)
	w.mu.Lock()
	w.callDelay, m.heldCalls = 0, w.heldCalls
	w.mu.Unlock()
	if c.hasExtra("one-way") {
		w.dropInboundOfHalf(30 * time.Second)
	}
	if c.hasExtra("late") {
		w.delayNextCommit()
	}
	var ids []string
	for _, j := range append(jobs, last...) {
		ids = append(ids, j.ID)
	}
	taskMachines := w.watcher.machines(ids)
	m.taskStates = w.countTaskStates(ids)
	confirmed := w.cancelAllUntilConfirmed(ids, others)
	m.uncancelledTasks, m.uncancelledKilled = len(uncancelled), -w.watcher.goneCount(uncancelled)
	w.applyExtraFaults(leader, others, rand.New(rand.NewPCG(seed, 8)))
	time.AfterFunc(c.lease, func() { w.watchLeases(c.cancelWithin - c.lease + time.Second) })
	m.lastRenewalAfter = w.playOutages(leader).Sub(refused)
	m.uncancelledKilled += w.watcher.goneCount(uncancelled)
	time.Sleep(max(0, c.cancelWithin+15*time.Second-time.Since(confirmed))) // by then, delayed messages and images have arrived
	from := confirmed
	if c.refusedFor > c.cancelWithin-c.lease-13*time.Second || c.hasExtra("apart") { // the leader may have stopped answering before the confirmation
		from = refused
	}
	all, byHost := w.watcher.answersSince(from, token, taskMachines)
	m.directAnswers = byHost[w.ip(leader)]
	m.relayedAnswers = all - m.directAnswers
	w.finishCase(leader, others, uncancelled, &m)
	return m
}

// submitUncancelled submits jobs that are not cancelled, in turn to all controllers.
func (w *outageSimulation) submitUncancelled() (ids []string) {
	for i := range 6 {
		ids = append(ids, fmt.Sprint("wk-00001", i))
		w.submitTo(i%w.outageCase.controllers, &wire.Job{ID: ids[i], Class: "c", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 1, CPUs: 0.5, GPUs: 0.25, MemoryGB: 1, Image: "img", ImageGB: 1, Spot: true})
	}
	return ids
}

// refuseLeader isolates the leader as the case describes, waits for the refusedFor of the case, and
// returns when the isolation began.
func (w *outageSimulation) refuseLeader(leader int, others []int) (refused time.Time) {
	tc := w.outageCase
	w.partitionMachines(leader, others, true)
	if tc.hasExtra("cloud") {
		w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = true })
	}
	w.setReadsBlocked(leader, tc.hasExtra("blind"))
	if tc.refusedFor >= 0 {
		w.store.RefuseCaller(w.ip(leader), !tc.hasExtra("blind"))
	}
	refused = time.Now()
	time.Sleep(max(tc.refusedFor, 0))
	return refused
}

// cancelAllUntilConfirmed cancels jobs through the other controllers, and returns the time when all of
// them were confirmed.
func (w *outageSimulation) cancelAllUntilConfirmed(ids []string, others []int) (confirmed time.Time) {
	var cancellations sync.WaitGroup
	answersLost := w.outageCase.hasExtra("asked")
	for k, id := range ids {
		a, b := others[k%len(others)], others[(k+1)%len(others)]
		cancellations.Go(func() { w.cancelUntilConfirmed(id, answersLost, a, b) })
		if w.outageCase.hasExtra("both") {
			cancellations.Go(func() { w.cancelUntilConfirmed(id, answersLost, b, a) })
		}
	}
	cancellations.Wait()
	confirmed = time.Now()
	w.store.Configure(func(s *simulator.StateService) { s.OutcomeOf = nil })
	return confirmed
}

// playOutages simulates the outages of the case, and returns when the leader's lease was last renewed
// before the end of the first outage.
func (w *outageSimulation) playOutages(leader int) (lastRenewal time.Time) {
	w.playOutage(w.ip(leader), true)
	w.mu.Lock()
	lastRenewal = w.leaseRenewedAt[leader]
	w.mu.Unlock()
	w.setReadsBlocked(leader, false)
	if after := w.outageCase.secondOutageAfter; after > 0 {
		time.Sleep(after)
		w.store.RefuseCaller(w.ip(leader), true)
		time.Sleep(time.Second)
		w.playOutage(w.ip(leader), false)
	}
	return lastRenewal
}

// finishCase ends all faults, cancels the jobs in uncancelled, and checks the protocol's rules.
func (w *outageSimulation) finishCase(leader int, others []int, uncancelled []string, m *outageResult) {
	w.partitionMachines(leader, others, false)
	w.cloud.SetFaults(func(f *simulator.CloudFaults) { f.Unavailable = false })
	m.remainingTime = w.remainingTime()
	m.lostLeases = w.lostLeases()
	w.declareQuiet()
	time.Sleep(10 * time.Second)
	for _, id := range uncancelled {
		w.cancelUntilConfirmed(id, false, 0, 1)
	}
	w.finish(10 * time.Minute)
	w.checkResults()
}

// unmetConditions describes a fault of a case that did not take effect, or returns "" if all did.
func (c outageCase) unmetConditions(m outageResult) string {
	switch {
	case m.directAnswers+m.relayedAnswers == 0 && c.cancelWithin-c.lease >= 10*time.Second:
		return "the refused leader answered no machine with a cancelled task"
	case c.hasExtra("apart") && m.directAnswers == 0:
		return "no answer came directly from the leader"
	case c.hasExtra("passed") && m.relayedAnswers == 0:
		return "no answer was relayed by a peer"
	case c.hasExtra("blind") && m.lastRenewalAfter < c.refusedFor+c.outageDelay-4*time.Second:
		return "the leader whose reads were blocked did not renew its lease"
	case c.hasExtra("loose") && m.heldCalls == 0:
		return "no direct call was delayed"
	}
	return ""
}

// goneCount returns how many times tasks of the jobs stopped.
func (a *answerWatcher) goneCount(jobs []string) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range jobs {
		n += a.goneTasks[id]
	}
	return n
}

// remainingTime returns how much of the bound for cancellations was left when the last task was gone.
func (w *outageSimulation) remainingTime() time.Duration {
	w.watcher.mu.Lock()
	defer w.watcher.mu.Unlock()
	remaining := w.outageCase.cancelWithin
	for id, goneAt := range w.watcher.jobGoneAt {
		if confirmedAt := w.confirmedAt[id]; !confirmedAt.IsZero() {
			remaining = min(remaining, w.outageCase.cancelWithin-goneAt.Sub(confirmedAt))
		}
	}
	return remaining
}

// outageCases lists all cases, shuffled in a fixed order so that every section is a fair sample.
func outageCases() (all []outageCase) {
	s, ms := time.Second, time.Millisecond
	for _, controllers := range []int{3, 5} {
		for _, times := range [][2]time.Duration{{20 * s, 45 * s}, {31 * s, 56 * s}, {36 * s, 61 * s}, {20 * s, 35 * s}, {20 * s, 30 * s}, {20 * s, 27 * s}} {
			for _, sharding := range []string{"", "zone"} {
				for _, directHeartbeats := range []int{0, 200} {
					for _, refusedFor := range []time.Duration{-3 * s, -50 * ms, 0, ms, 100 * ms, s, 2 * s, 4 * s, 6 * s, 8 * s, 9 * s, 12 * s, 16 * s, 20 * s} {
						for _, outageDelay := range []time.Duration{0, 10 * ms, 500 * ms, 2 * s, 5 * s, 12 * s} {
							for _, outageLength := range []time.Duration{0, times[0] - 8*s, times[0] + s, times[1] - s, times[1] + 3*s, times[1] + 40*s} {
								for _, renewalWindow := range []time.Duration{0, 50 * ms, 150 * ms, 350 * ms, s} {
									for _, secondOutageAfter := range []time.Duration{0, 300 * ms, 3 * s} {
										for _, extra := range extraFaults {
											tc := outageCase{controllers, times[0], times[1], sharding, directHeartbeats, refusedFor, outageDelay, outageLength, renewalWindow, secondOutageAfter, extra}
											if tc.feasible() {
												all = append(all, tc)
											}
										}
									}
								}
							}
						}
					}
				}
			}
		}
	}
	rand.New(rand.NewPCG(1, 9)).Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all
}

// feasible reports whether the faults of a case can coincide. A leader that is refused for a long time is
// replaced, unless the other controllers cannot reach the machines.
func (c outageCase) feasible() bool {
	margin := c.cancelWithin - c.lease
	return (c.refusedFor <= 5*time.Second && !c.hasExtra("apart") || c.refusedFor >= 0 && c.hasExtra("apart")) && c.refusedFor < max(margin-9*time.Second, time.Second) && (margin > 15*time.Second || !c.hasExtra("apart")) &&
		(c.outageDelay <= 5*time.Second || c.hasExtra("blind")) && (!c.hasExtra("blind") || c.refusedFor >= 0 && c.renewalWindow == 0 && c.secondOutageAfter == 0) &&
		(c.renewalWindow == 0 || c.refusedFor >= 0 && c.renewalWindow < c.outageDelay) &&
		(c.outageLength > 0 || c.hasExtra("loose") && c.secondOutageAfter == 0 && c.refusedFor < 0)
}

// fixedOutageCases lists the cases that run by default.
func fixedOutageCases() []outageCase {
	s, ms := time.Second, time.Millisecond
	return []outageCase{
		{3, 20 * s, 45 * s, "", 200, 2 * s, s, 60 * s, 0, 0, ""},
		{5, 20 * s, 45 * s, "zone", 0, 4 * s, 500 * ms, 48 * s, 0, 0, "asked"},
		{3, 31 * s, 56 * s, "", 200, 0, 0, 60 * s, 0, 0, "both"},
		{3, 36 * s, 61 * s, "zone", 200, s, 2 * s, 64 * s, 0, 0, "late"},
		{3, 20 * s, 45 * s, "", 200, ms, 2 * s, 48 * s, 150 * ms, 300 * ms, "one-way"},
		{3, 20 * s, 45 * s, "", 0, 2 * s, 2 * s, 48 * s, 350 * ms, 0, "crash"},
		{3, 20 * s, 45 * s, "", 200, s, s, 48 * s, 0, 0, "crash-leader"},
		{3, 20 * s, 45 * s, "", 200, 4 * s, 0, 48 * s, 0, 0, "still"},
		{3, 20 * s, 45 * s, "", 200, s, s, 48 * s, 0, 0, "passed"},
		{3, 20 * s, 45 * s, "", 200, s, 12 * s, 48 * s, 0, 0, "blind"},
		{3, 31 * s, 56 * s, "zone", 0, 0, 12 * s, 58 * s, 0, 0, "blind asked"},
		{3, 20 * s, 27 * s, "", 0, 0, 2600 * ms, 30 * s, 0, 0, "blind lagging"},
		{3, 20 * s, 45 * s, "", 0, s, s, 48 * s, 0, 0, "delayed"},
		{3, 20 * s, 45 * s, "", 200, 12 * s, s, 48 * s, 0, 0, "apart"},
		{3, 20 * s, 45 * s, "zone", 200, 6 * s, s, 48 * s, 0, 0, "apart slow"},
		{3, 20 * s, 30 * s, "", 200, ms, 10 * ms, 33 * s, 0, 0, ""},
		{3, 20 * s, 27 * s, "", 200, ms, 10 * ms, 30 * s, 0, 0, ""},
		{3, 20 * s, 45 * s, "", 200, -3 * s, 5 * s, 0, 0, 0, "loose cloud"},
		{3, 20 * s, 45 * s, "", 200, s, 2 * s, 48 * s, 0, 0, "loose apart cloud"},
	}
}

// TestCancelDuringOutage checks that cancelled tasks are gone in time although the state service refuses
// the leader around the cancellation and is unavailable afterwards. By default it runs a fixed set of
// cases. AMBERDEAL_GAPS runs that many of all cases instead, starting with the one that AMBERDEAL_GAP
// selects; without AMBERDEAL_GAPS only that one is run.
func TestCancelDuringOutage(t *testing.T) {
	list := fixedOutageCases()
	first, fixed := 0, os.Getenv("AMBERDEAL_GAP")+os.Getenv("AMBERDEAL_GAPS") == ""
	if text := os.Getenv("AMBERDEAL_GAP"); text != "" {
		first, _ = strconv.Atoi(text)
		list = outageCases()[first : first+1]
	}
	if text := os.Getenv("AMBERDEAL_GAPS"); text != "" {
		n, _ := strconv.Atoi(text)
		all := outageCases()
		list = all[first:min(first+n, len(all))]
		t.Logf("%d of %d", len(list), len(all))
	}
	cancelledStates, played, unmet := map[wire.TaskState]int{}, 0, 0
	for i, tc := range list {
		t.Run(fmt.Sprint("gap ", first+i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := tc.run(t, uint64(first+i))
				t.Logf("%v: %d direct and %d relayed answers; %v remaining; %d of %d uncancelled tasks gone; %d leases expired; %d calls delayed; task states %v",
					tc, m.directAnswers, m.relayedAnswers, m.remainingTime.Round(10*time.Millisecond), m.uncancelledKilled, m.uncancelledTasks, m.lostLeases, m.heldCalls, m.taskStates)
				if why := tc.unmetConditions(m); why != "" && fixed {
					t.Error(why)
				} else if why != "" {
					unmet++
					t.Log("a fault did not take effect: ", why)
				}
				played++
				for state, n := range m.taskStates {
					cancelledStates[state] += n
				}
			})
		})
	}
	for _, state := range []wire.TaskState{wire.TaskFetching, wire.TaskWaiting, wire.TaskRunning, wire.TaskSaving} {
		if cancelledStates[state] == 0 && played > 15 {
			t.Errorf("no task in state %s was cancelled in any case", state)
		}
	}
	if unmet*5 > played { // in some of the drawn cases machines find the leader too late
		t.Errorf("in %d of %d cases a fault did not take effect", unmet, played)
	}
}
