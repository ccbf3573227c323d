package simtest

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/controller"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// simulation is a cluster of controllers on a fake clock, with a simulated network, state service,
// cloud, machines and users.
type simulation struct {
	t       *testing.T
	count   int
	net     *simulator.Network
	store   *simulator.StateService
	cloud   *simulator.Cloud
	checker *simulator.Checker
	tasks   *taskObserver
	fixture simulator.Fixture // receives the machines' task events; tasks if nil
	rng     *rand.Rand
	nodes   []*node
	group   sync.WaitGroup
	ctx     context.Context
	stop    context.CancelFunc
	// changeSettings, if set, modifies each controller's settings, for example to disable a guard.
	changeSettings func(*config.Config)
	rngMu          sync.Mutex
	// polling holds the users who poll all accepted jobs, in addition to the users who submitted them.
	polling           *simulator.Users
	dial              func(ctx context.Context, addr string) (net.Conn, error) // overrides how polling users connect to controllers, if set
	pollGroup         sync.WaitGroup
	heartbeatReplayer *simulator.HeartbeatReplayer
	quietSince        time.Time              // when the last fault ended; zero until declareQuiet
	runtime           *simulator.TaskRuntime // shared by all machines
	callsOnTime       atomic.Bool            // direct calls to machines are no longer delayed
}

// node is a simulated controller host, which outlives the incarnations of its process.
type node struct {
	ip   string
	host simulator.Host // of the current incarnation
	stop context.CancelFunc
	done chan struct{}
	down atomic.Bool // while the process is killed and not yet restarted
}

// workerLease is the duration of a worker's lease.
const workerLease = 20 * time.Second

// g4 is the only machine type of the simulated cloud.
var g4 = wire.MachineType{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBps: 1, Price: 4, SpotPrice: 1, BootS: 5, Zones: []string{"a", "b"}}

// newSimulation starts a simulation of three controllers. See newSimulationOf for the parameters.
func newSimulation(t *testing.T, seed uint64, lossShare float64, changeSettings func(*config.Config)) *simulation {
	return newSimulationOf(t, 3, seed, lossShare, changeSettings)
}

// newSimulationOf starts a simulation of count controllers. lossShare is the share of transactions
// that get no response, and also the share of direct calls to machines that are delayed.
// changeSettings, if not nil, modifies each controller's settings.
func newSimulationOf(t *testing.T, count int, seed uint64, lossShare float64, changeSettings func(*config.Config)) *simulation {
	w := &simulation{t: t, count: count, net: simulator.NewNetwork(), store: simulator.NewStateService(seed, lossShare), rng: rand.New(rand.NewPCG(seed, 2)), changeSettings: changeSettings}
	delayRNG := rand.New(rand.NewPCG(seed, 5))
	var mu sync.Mutex
	callDelay := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if delayRNG.Float64() >= lossShare || w.callsOnTime.Load() {
			return 0
		}
		return time.Duration(delayRNG.IntN(40000)+1) * time.Millisecond
	}
	w.store.Limits = simulator.StateLimits{RPS: 200, WriteRPS: 60, ValueBytes: 8192, TxnOps: 12, PageItems: 7} // small pages, so that lists need several
	w.checker = simulator.NewChecker(45*time.Second, map[string]float64{"red": 6})
	w.tasks = newTaskObserver(w.checker)
	w.ctx, w.stop = context.WithCancel(t.Context())
	for i := range count {
		w.net.SetZone(w.ip(i), w.settings(i).Zone)
	}
	w.heartbeatReplayer = &simulator.HeartbeatReplayer{Dial: w.net.Host("10.4.0.1").Dial, MaxDelay: 3 * workerLease, Rand: rand.New(rand.NewPCG(seed, 12))}
	for i := range count {
		w.heartbeatReplayer.Controllers = append(w.heartbeatReplayer.Controllers, simulator.Address(w.ip(i), 8080))
	}
	typ := g4
	typ.Zones = w.settings(0).Zones
	w.cloud = &simulator.Cloud{Capacity: 4, ListLag: 2 * time.Second, BootTime: 5 * time.Second, Rand: rand.New(rand.NewPCG(seed, 3)),
		Types: []wire.MachineType{typ}, Start: w.machineStarter(2*time.Second, callDelay)}
	go w.net.Host("10.2.0.1").Listen(w.ctx, "10.2.0.1:2379", 0, w.store.Serve())
	go w.net.Host("10.2.0.2").Listen(w.ctx, "10.2.0.2:8443", 0, w.cloud.Serve())
	for i := range count {
		n := &node{ip: w.ip(i)}
		w.nodes = append(w.nodes, n)
		w.start(i)
	}
	w.checker.Submissions = simulator.SubmissionRules{Types: []wire.MachineType{typ}, Teams: map[string]simulator.TeamLimit{}}
	for _, team := range w.settings(0).Teams {
		w.checker.Submissions.Teams[team.Name] = simulator.TeamLimit{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
	}
	w.checker.Starvation.Limits = w.checker.Submissions.Teams
	w.net.Observe(func(from string, p []byte) { w.checker.Launches.InspectMessage(time.Now(), from, p) })
	w.pollGroup.Go(func() { w.checker.WatchMachines(w.ctx, w.cloud) })
	return w
}

// machineStarter returns a function that starts machines with the given heartbeat interval and delay of
// direct calls.
func (w *simulation) machineStarter(heartbeatInterval time.Duration, callDelay func() time.Duration) func(id, addr, typ, zone string, spot bool) simulator.Machine {
	names, runtime := map[string]string{}, simulator.NewTaskRuntime(cmp.Or[simulator.Fixture](w.fixture, w.tasks), 20*time.Second, 3*time.Second)
	w.runtime = runtime
	for i := range w.count {
		names[fmt.Sprintf("c-%d", i)] = simulator.Address(w.ip(i), 8080)
	}
	return func(id, addr, typ, zone string, spot bool) simulator.Machine {
		host := simulator.HostOf(addr)
		w.net.SetZone(host, zone)
		w.tasks.machineBooted(id)
		return simulator.NewWorker(simulator.WorkerConfig{ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Spec: g4, Net: w.net.Host(host),
			TakeDown: func() { w.net.SetDown(host, true) }, Controllers: names, Runtime: runtime, Lease: workerLease, HeartbeatInterval: heartbeatInterval, CallDelay: callDelay, Replayer: w.heartbeatReplayer})
	}
}

// draw returns a random number below n from a source that several goroutines share.
func (w *simulation) draw(source *rand.Rand, n int) int {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return source.IntN(n)
}

// ip returns the IP address of controller i.
func (w *simulation) ip(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// settings returns the settings of controller i.
func (w *simulation) settings(i int) *config.Config {
	c := &config.Config{Name: fmt.Sprintf("c-%d", i), Zone: "a", PublicAddr: simulator.Address(w.ip(i), 8080), PeerAddr: simulator.Address(w.ip(i), 8081),
		CloudAddr: "10.2.0.2:8443", StoreAddr: "10.2.0.1:2379", Zones: []string{"a", "b"},
		Teams:   []config.Team{{Name: "red", GPUs: 4, GPUsMax: 6}, {Name: "blue"}},
		Workers: config.Workers{HeartbeatInterval: 2 * time.Second, Lease: workerLease, GangStartTimeout: 20 * time.Second, GangPeerTimeout: 3 * time.Second, CancelTimeout: 45 * time.Second},
		Store:   config.Store{RPS: 200, WriteRPS: 60, ValueBytes: 8192, TxnOps: 12}, Cloud: config.Cloud{RPS: 10, ListLag: 2 * time.Second},
		Limits: config.Limits{RAMBytes: 200 << 20, OpenFiles: 500}, Tuning: config.DefaultTuning()}
	c.Tuning.History = config.History{Compact: true, Interval: time.Second, MaxWait: 2 * time.Second, MergeThreshold: 0, CacheMB: 1, MaxBacklog: 1000} // blocks are merged at once
	for k := range w.count {
		if k != i {
			c.Peers = append(c.Peers, config.Peer{Name: fmt.Sprintf("c-%d", k), Addr: simulator.Address(w.ip(k), 8081)})
		}
	}
	if w.changeSettings != nil {
		w.changeSettings(c)
	}
	return c
}

// start starts a new incarnation of controller i.
func (w *simulation) start(i int) {
	n := w.nodes[i]
	ctx, stop := context.WithCancel(w.ctx)
	done := make(chan struct{})
	n.stop, n.done, n.host = stop, done, w.net.StartIncarnation(n.ip)
	out := io.Discard
	if os.Getenv("SIM_LOG") != "" {
		out = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.LevelDebug})).With("node", i)
	service := controller.New(n.host, w.settings(i), log)
	go func() {
		defer close(done)
		_ = service.Run(ctx)
	}()
}

// kill disconnects a controller from the network, ends its process, and restarts it after a delay.
func (w *simulation) kill(i int, restartAfter time.Duration) {
	n := w.nodes[i]
	if n.down.Swap(true) {
		return // already killed and not yet restarted
	}
	w.net.SetDown(n.ip, true)
	n.stop()
	<-n.done
	w.group.Add(1)
	time.AfterFunc(restartAfter, func() {
		defer w.group.Done()
		w.net.SetDown(n.ip, false)
		w.start(i)
		n.down.Store(false)
	})
}

// crash ends a controller's process and restarts it after a delay. Meanwhile its host refuses
// connections. The network delays the last messages of the process by hold, unless that is 0.
func (w *simulation) crash(i int, restartAfter, hold time.Duration) {
	n := w.nodes[i]
	if n.down.Swap(true) {
		return
	}
	w.endIncarnation(n, hold)
	w.group.Add(1)
	time.AfterFunc(restartAfter, func() {
		defer w.group.Done()
		w.start(i)
		n.down.Store(false)
	})
}

// finalHold is how long before the end of a process the network starts to hold its messages.
const finalHold = 200 * time.Millisecond

// endIncarnation ends the current process of a controller. The network delays its last messages by
// hold, unless that is 0.
func (w *simulation) endIncarnation(n *node, hold time.Duration) {
	if hold > 0 {
		w.net.Hold(n.ip, hold)
		time.Sleep(min(hold, finalHold))
	}
	n.host.End()
	n.stop()
	done := n.done
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		<-done
	}()
}

// pollers returns the users who poll jobs through a load balancer, and starts them on the first call.
func (w *simulation) pollers() *simulator.Users {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	if w.polling == nil {
		w.polling = &simulator.Users{Dial: w.net.Host("10.3.0.2").Dial, Liveness: &w.checker.Liveness}
		if w.dial != nil {
			w.polling.Dial = w.dial
		}
		for i := range w.nodes {
			w.polling.Controllers = append(w.polling.Controllers, simulator.Address(w.ip(i), 8080))
		}
		w.pollGroup.Go(func() { w.polling.Run(w.ctx) })
	}
	return w.polling
}

// pollUntilFinal has one of the polling users poll a job until the simulation ends.
func (w *simulation) pollUntilFinal(id string) {
	users := w.pollers()
	w.pollGroup.Go(func() { users.Follow(w.ctx, id) })
}

// declareQuiet tells the checkers that no fault is active from now on.
func (w *simulation) declareQuiet() {
	w.quietSince = time.Now()
	w.checker.SetFaultFreeSince(w.quietSince)
}

// startUser starts a user who submits a job and polls it until its state is final. The user cancels the
// job after cancelAfter, unless that is 0. run is the run time of each task.
func (w *simulation) startUser(j *wire.Job, run, cancelAfter time.Duration) {
	w.checker.Submitted(j, run)
	w.group.Add(1)
	go func() {
		defer w.group.Done()
		caller := &transport.Client{MaxBody: wire.MaxBodyBytes, Dial: w.net.Host("10.3.0.1").Dial}
		ask := func(method, path string, body []byte, cancelRequested bool) int {
			for try := 0; w.ctx.Err() == nil; try++ {
				ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
				resp, err := caller.Call(ctx, simulator.Address(w.ip((len(j.ID)+try)%3), 8080), method, path, body)
				cancel()
				if err == nil && resp.Status != 503 {
					var s wire.JobStatus
					_ = wire.Decode(resp.Body, &s)
					w.checker.ObserveAnswer(j.ID, resp.Status, s.Stage, cancelRequested)
					return resp.Status
				}
				time.Sleep(time.Second)
			}
			return 0
		}
		path := wire.PathJobs + "/" + j.ID
		if status := ask("POST", wire.PathJobs, wire.Encode(j), false); status != 201 && status != 200 && w.ctx.Err() == nil {
			w.t.Errorf("submission of %s was answered %d", j.ID, status)
			return
		}
		w.pollUntilFinal(j.ID)
		begun, cancelRequested := time.Now(), false
		for w.ctx.Err() == nil && !w.checker.Stage(j.ID).Final() {
			time.Sleep(3 * time.Second)
			if cancelAfter > 0 && time.Since(begun) > cancelAfter {
				cancelRequested = true
				ask("POST", path+"/"+wire.CancelPathSuffix, []byte{}, true)
				continue
			}
			ask("GET", path, nil, cancelRequested)
		}
		ask("POST", wire.PathJobs, wire.Encode(j), cancelRequested) // a late retry gets the final state
	}()
}

// submit submits n jobs of every shape, enough for the team red to reach its limit.
func (w *simulation) submit(seed uint64, n int) {
	rng := rand.New(rand.NewPCG(seed, 4))
	for i := range n {
		j := &wire.Job{ID: fmt.Sprintf("wk-%06d", rng.IntN(1e6)), Class: "c", Team: []string{"red", "blue"}[i%2], Priority: wire.Normal,
			CPUs: 2, GPUs: 1, MemoryGB: 8, Image: fmt.Sprintf("img-%d", i%2), ImageGB: 1, EstimateS: 10, Spot: i%2 == 0}
		run, cancel := time.Duration(5+rng.IntN(20))*time.Second, time.Duration(0)
		switch i % 4 {
		case 0, 1:
			j.Shape, j.Tasks = wire.Array, 3+rng.IntN(4)
		case 2:
			j.Shape, j.Tasks, j.OneZone, j.CheckpointS, j.SaveS = wire.Gang, 2, true, 5, 1
			if i%8 == 6 { // over two zones, so that no shard can place all of it
				j.OneZone, j.Spread = false, true
			}
		case 3:
			j.Shape, j.Tasks, j.Spread, j.Priority = wire.Service, 2, true, wire.Production
			run, cancel = 24*time.Hour, time.Duration(40+rng.IntN(60))*time.Second
		}
		if i%6 == 0 {
			cancel = time.Duration(5+rng.IntN(30)) * time.Second
		}
		w.startUser(j, run, cancel)
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
	}
}

// finish waits until the users have finished, for at most timeout, and ends the simulation.
func (w *simulation) finish(timeout time.Duration) {
	if w.quietSince.IsZero() { // faults that are still active last for a minute at most
		w.checker.SetFaultFreeSince(time.Now().Add(65 * time.Second))
	}
	over := make(chan struct{})
	go func() {
		w.group.Wait()
		close(over)
	}()
	select {
	case <-over:
	case <-time.After(timeout):
		w.t.Errorf("jobs without a final state after %v: %v", timeout, w.checker.OpenJobs())
	}
	w.end()
	<-over
	time.Sleep(time.Minute) // the remaining timers of the simulated services expire
}

// end stops the simulation.
func (w *simulation) end() {
	w.stop()
	w.cloud.Stop()
	for _, n := range w.nodes {
		<-n.done
	}
	w.net.Close()
	w.pollGroup.Wait()
}

// TestRulesHoldThroughFaults runs simulations with random crashes, partitions, lost responses and
// outages of the state service, and checks the rules of the protocol. AMBERDEAL_SEEDS sets their
// number.
func TestRulesHoldThroughFaults(t *testing.T) {
	seeds := uint64(3)
	if text := os.Getenv("AMBERDEAL_SEEDS"); text != "" {
		seeds, _ = strconv.ParseUint(text, 10, 64)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(t, seed, 0.05, nil)
				w.group.Add(1)
				go func() {
					defer w.group.Done()
					w.submit(seed, 24)
				}()
				for step := range 12 {
					time.Sleep(time.Duration(6+w.rng.IntN(10)) * time.Second)
					i := w.rng.IntN(3)
					switch step % 6 {
					case 0:
						w.kill(i, 3*time.Second)
					case 1:
						w.cloud.RemoveNth(w.rng.IntN(8))
					case 2:
						w.net.Partition(w.ip(i), "10.2.0.1", true)
						time.AfterFunc(25*time.Second, func() { w.net.Partition(w.ip(i), "10.2.0.1", false) })
					case 3:
						if addr := w.cloud.AddrOfNth(w.rng.IntN(8)); addr != "" {
							host := strings.Split(addr, ":")[0]
							w.net.SetDown(host, true)
							time.AfterFunc(time.Duration(10+w.rng.IntN(30))*time.Second, func() { w.net.SetDown(host, false) })
						}
					case 4:
						w.store.SetOutage(true)
						time.AfterFunc(12*time.Second, func() { w.store.SetOutage(false) })
					case 5:
						for k := range 3 {
							w.kill(k, 3*time.Second)
						}
					}
				}
				w.finishAndCheck(10 * time.Minute)
				a := w.verifyState()
				if a.Kinds["history"] == nil || a.Kinds["history"].Jobs < 10 {
					t.Errorf("fewer than 10 jobs are in the history: %+v", a)
				}
			})
		})
	}
}

// verifyState reads the whole state and returns the archive's report about it.
func (w *simulation) verifyState() archive.Report {
	var items []wire.KeyValue
	for after := ""; ; {
		page := w.store.Page(store.CommonPrefix, after, 0)
		items = append(items, page.Items...)
		if !page.More {
			return archive.Verify(context.Background(), items)
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// TestCompactionFallsBehind limits the state service to so few changes per second that compaction,
// which has the lowest priority, gets none while jobs arrive. No job may be lost, and compaction has
// to catch up afterwards.
func TestCompactionFallsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 11, 0, func(c *config.Config) { c.Store.WriteRPS, c.Store.TxnOps = 4, 4 })
		w.store.Configure(func(s *simulator.StateService) { s.Limits.WriteRPS = 4 })
		time.Sleep(5 * time.Second)
		for i := range 120 {
			w.startUser(&wire.Job{ID: fmt.Sprintf("wk-%d", i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
				CPUs: 1, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 1, EstimateS: 5}, 5*time.Second, time.Duration(i%2)*time.Second)
			time.Sleep(200 * time.Millisecond)
		}
		behind := w.verifyState()
		time.Sleep(10 * time.Minute)
		after := w.verifyState()
		if k := after.Kinds["batch"]; k != nil && k.Keys > 0 || after.Ended != 120 {
			t.Errorf("batches left: %+v; %d jobs ended, want 120", k, after.Ended)
		}
		if behind.Kinds["batch"].Keys < 10 {
			t.Errorf("compaction never fell behind: %+v", behind.Kinds["batch"])
		}
		w.finish(5 * time.Minute)
		for _, b := range append(w.checker.Violations(), after.Problems...) {
			t.Error(b)
		}
	})
}

// TestStoreDropsWatchHistory has the state service drop its retained changes again and again, also
// while a list is being read, as jobs arrive, end and are compacted. Controllers have to reread
// their views of the state, and no job's answer may be lost.
func TestStoreDropsWatchHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 12, 0.02, nil)
		w.store.Configure(func(s *simulator.StateService) {
			s.ResponseDelay = func() time.Duration { return 20 * time.Millisecond }
		})
		w.group.Add(1)
		go func() {
			defer w.group.Done()
			w.submit(12, 24)
		}()
		for range 40 {
			time.Sleep(1700 * time.Millisecond)
			w.store.DropHistory()
			time.Sleep(30 * time.Millisecond)
			w.store.DropHistory()
		}
		w.finish(10 * time.Minute)
		for _, b := range append(w.checker.Violations(), w.verifyState().Problems...) {
			t.Error(b)
		}
	})
}

// TestCheckerFindsRemovedGuard disables the wait for the expiry of workers' leases. The checker has
// to see tasks run twice; otherwise the tests above prove nothing.
func TestCheckerFindsRemovedGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 7, 0, func(c *config.Config) {
			c.Workers.Lease = 100 * time.Millisecond // from which controllers conclude that a task has ended
			c.Tuning.HeartbeatTimeout = time.Hour    // so that no release of the machine proves it instead
		})
		for i := range 3 {
			w.startUser(&wire.Job{ID: fmt.Sprintf("wk-%d", i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 4,
				CPUs: 2, GPUs: 1, MemoryGB: 8, Image: "img", ImageGB: 1, EstimateS: 60}, 60*time.Second, 0)
		}
		time.Sleep(30 * time.Second)
		host := strings.Split(w.cloud.AddrOfNth(0), ":")[0]
		w.net.SetDown(host, true) // its tasks keep running until its lease expires
		time.Sleep(18 * time.Second)
		w.net.SetDown(host, false)
		w.finish(10 * time.Minute)
		if broken := strings.Join(w.checker.Violations(), "\n"); !strings.Contains(broken, "ran_twice") {
			t.Errorf("the checker did not report ran_twice: %q", broken)
		}
	})
}

// TestBurstSharesWrites submits a burst of jobs at once to a state service that allows few changes
// per second. Submissions that wait together have to be written as one record, so that all are
// accepted much sooner than with one change per job.
func TestBurstSharesWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 3, 0, func(c *config.Config) { c.Store.WriteRPS = 6 })
		time.Sleep(2 * time.Second)
		_, before, _ := w.store.Counts()
		const jobs = 90
		for i := range jobs {
			w.startUser(&wire.Job{ID: fmt.Sprintf("wk-%d", i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1,
				CPUs: 1, GPUs: 1, MemoryGB: 4, Image: "img", ImageGB: 1, EstimateS: 5}, 5*time.Second, 0)
		}
		time.Sleep(8 * time.Second) // the changes include those of scheduling rounds
		if _, n, _ := w.store.Counts(); n-before > jobs/2 {
			t.Errorf("%d changes for %d jobs, want at most half as many", n-before, jobs)
		}
		time.Sleep(12 * time.Second)
		for i := range jobs {
			if id := fmt.Sprintf("wk-%d", i); w.checker.Stage(id) == "" {
				t.Errorf("submission of %s has no response after 20 s", id)
			}
		}
		w.finish(15 * time.Minute)
		for _, b := range w.checker.Violations() {
			t.Error(b)
		}
	})
}

// TestPartitionedLeaderResigns partitions each controller from the workers in turn, for longer than
// their lease. The leader has to hand over to a controller that the workers can reach, and no task
// may be lost.
func TestPartitionedLeaderResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 9, 0, nil)
		w.startUser(&wire.Job{ID: "wk-1", Class: "c", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 6,
			CPUs: 2, GPUs: 2, MemoryGB: 8, Image: "img", ImageGB: 1}, 24*time.Hour, 4*time.Minute)
		time.Sleep(30 * time.Second)
		for i := range 3 {
			for m := range 8 {
				w.net.Partition(w.ip(i), strings.Split(w.cloud.AddrOfNth(m), ":")[0], true)
			}
			time.Sleep(2 * workerLease)
			for m := range 8 {
				w.net.Partition(w.ip(i), strings.Split(w.cloud.AddrOfNth(m), ":")[0], false)
			}
			time.Sleep(15 * time.Second)
		}
		if w.checker.Started != 6 {
			t.Errorf("%d starts of 6 tasks, want one each", w.checker.Started)
		}
		w.finish(10 * time.Minute)
		for _, b := range w.checker.Violations() {
			t.Error(b)
		}
	})
}

// TestEachMachineReachesAController runs far more machines than all controllers together have
// sockets for, and crashes one controller. A controller short of sockets has to close connections
// once their request is answered and redirect machines to a controller with more free sockets, and
// no worker's lease may expire.
func TestEachMachineReachesAController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 21, 0, func(c *config.Config) {
			c.Limits.OpenFiles, c.Tuning.MaxDirectHeartbeats, c.Tuning.IdleTimeout = 100, 20, time.Hour
		})
		names := map[string]string{}
		for i := range 3 {
			names[fmt.Sprintf("c-%d", i)] = simulator.Address(w.ip(i), 8080)
		}
		var workers []*simulator.Worker
		for i := range 500 {
			ip := fmt.Sprintf("10.9.%d.%d", i/200, i%200)
			workers = append(workers, simulator.NewWorker(simulator.WorkerConfig{ID: fmt.Sprintf("n-9%05d", i), Addr: simulator.Address(ip, 9000), Type: "g4", Zone: "a", Spec: g4,
				Net: w.net.Host(ip), TakeDown: func() {}, Controllers: names, Runtime: simulator.NewTaskRuntime(w.checker, time.Minute, time.Second), Lease: workerLease, HeartbeatInterval: 2 * time.Second}))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		w.kill(1, 3*time.Second)
		time.Sleep(time.Minute)
		expired := 0
		for _, m := range workers {
			expired += m.ExpiredLeases()
			m.Kill()
		}
		if expired > 0 {
			t.Errorf("%d leases expired", expired)
		}
		w.finish(time.Minute)
	})
}
