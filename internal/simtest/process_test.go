package simtest

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/jobblock"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// processCluster is a cluster of three controllers that are real processes on loopback. The state
// service, the cloud and the machines are simulated in the test's process, on real sockets.
type processCluster struct {
	t              testing.TB
	ctx            context.Context
	dir            string
	subnet         string // such as "127.45.0."
	binary         string
	store          *simulator.StateService
	cloud          *simulator.Cloud
	checker        *simulator.Checker
	caller         *transport.Client
	stateParams    map[string]any // params.state of the platform file
	stateAddr      string         // address of the state service
	guaranteedCPUs float64        // CPUs that the team blue is guaranteed
	mu             sync.Mutex
	controllers    [3]*exec.Cmd
	casProcess     *exec.Cmd // amberdeal cas
	agents         []*agentMachine
}

// sockets is the loopback network of the test's process.
var sockets = transport.TCPNetwork{Log: slog.New(slog.DiscardHandler)}

// newProcessCluster builds the program and starts the simulated services, but no controller. The test's
// cleanup ends everything. state is params.state of the platform files, ini the settings file, and
// capacity that of the cloud in machines.
func newProcessCluster(t testing.TB, state map[string]any, ini string, capacity int) *processCluster {
	ctx, stop := context.WithCancel(context.Background())
	c := &processCluster{t: t, ctx: ctx, dir: t.TempDir(), store: simulator.NewStateService(1, 0), stateParams: state,
		caller: &transport.Client{MaxBody: 1 << 20, Dial: sockets.Dial}}
	c.subnet = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+time.Now().UnixNano()%250)
	c.stateAddr = c.subnet + "200:2379"
	c.checker = simulator.NewChecker(30*time.Second, map[string]float64{"red": 12})
	c.binary = filepath.Join(c.dir, "amberdeal")
	build := exec.Command("go", "build", "-o", c.binary, "./cmd/amberdeal")
	build.Dir = repositoryRoot
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	names := map[string]string{}
	for i := range 3 {
		names[fmt.Sprint("c-", i)] = c.addr(i + 1)
	}
	spec := wire.MachineType{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBps: 10, Price: 4, SpotPrice: 1, BootS: 1, Zones: []string{"a", "b"}}
	runtime := simulator.NewTaskRuntime(c.checker, 20*time.Second, 3*time.Second)
	c.cloud = &simulator.Cloud{Capacity: capacity, BootTime: 100 * time.Millisecond, ListLag: 200 * time.Millisecond, Subnet: c.subnet, Rand: rand.New(rand.NewPCG(1, 3)),
		Types: []wire.MachineType{spec},
		Start: func(id, addr, typ, zone string, spot bool) simulator.Machine {
			return simulator.NewWorker(simulator.WorkerConfig{ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Spec: spec, Net: sockets, TakeDown: func() {}, Controllers: names,
				Runtime: runtime, Lease: 8 * time.Second, HeartbeatInterval: time.Second})
		}}
	go sockets.Listen(ctx, c.subnet+"200:2379", 1000, c.store.Serve())
	go sockets.Listen(ctx, c.subnet+"201:8443", 100, c.cloud.Serve())
	c.waitFor("stand-ins", func() bool { return c.reachable(c.subnet+"200:2379") && c.reachable(c.subnet+"201:8443") })
	for i := range 3 { // each with its own address for metrics
		text := ini + fmt.Sprintf("[metrics]\nlisten = %s%d:9464\n", c.subnet, i+1)
		if err := os.WriteFile(c.settingsPath(i), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for i := range c.controllers {
			c.kill(i)
		}
		c.cloud.Stop()
		c.killCAS()
		stop()
	})
	return c
}

// addr returns the public address of a controller, whose host is 1 to 3. Machines also count from 1,
// but listen on another port.
func (c *processCluster) addr(host int) string { return fmt.Sprintf("%s%d:8080", c.subnet, host) }

// reachable reports whether an address accepts connections.
func (c *processCluster) reachable(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

// waitFor waits until a condition holds, and fails the test after a minute.
func (c *processCluster) waitFor(what string, holds func() bool) {
	c.t.Helper()
	for begun := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > time.Minute {
			c.printLogs()
			c.t.Fatalf("timed out after a minute waiting for: %s", what)
		}
	}
}

// settingsPath returns the path of a controller's settings file.
func (c *processCluster) settingsPath(i int) string {
	return filepath.Join(c.dir, fmt.Sprintf("c-%d.ini", i))
}

// metric returns the sum of a metric over all controllers.
func (c *processCluster) metric(name string) (sum float64) {
	for i := range 3 {
		resp, err := c.caller.Call(c.ctx, fmt.Sprintf("%s%d:9464", c.subnet, i+1), "GET", "/metrics", nil)
		if err != nil || resp.Status != 200 {
			c.t.Errorf("metrics of c-%d: %v", i, err)
			continue
		}
		for _, line := range strings.Split(string(resp.Body), "\n") {
			if rest, ok := strings.CutPrefix(line, "amberdeal_"+name+" "); ok {
				n, err := strconv.ParseFloat(rest, 64)
				if err != nil {
					c.t.Errorf("%s: %v", line, err)
				}
				sum += n
			}
		}
	}
	return sum
}

// writePlatformFile writes the platform file of controller i and returns its path.
func (c *processCluster) writePlatformFile(i int) string {
	cfg := map[string]any{"host_name": fmt.Sprint("c-", i), "location": "a", "public_addr": c.addr(i + 1), "mesh_addr": fmt.Sprintf("%s%d:8081", c.subnet, i+1),
		"endpoints": map[string]any{"cloud": c.subnet + "201:8443", "state": c.stateAddr}}
	var peers []any
	for k := range 3 {
		if k != i {
			peers = append(peers, map[string]any{"host_name": fmt.Sprint("c-", k), "location": "a", "peer_addr": fmt.Sprintf("%s%d:8081", c.subnet, k+1)})
		}
	}
	cfg["siblings"] = peers
	cfg["params"] = map[string]any{"zones": []string{"a", "b"}, "teams": []any{map[string]any{"name": "red", "gpus_max": 12}, map[string]any{"name": "blue", "cpus": c.guaranteedCPUs}},
		"workers": map[string]any{"report_s": 1, "lease_s": 8, "gang_wait_s": 10, "gang_peer_s": 3, "cancel_s": 30}, "state": c.stateParams,
		"cloud": map[string]any{"rps": 50, "list_lag_s": 0.2}, "limits": map[string]any{"ram_mb": 234, "fd_limit": 3000}}
	text, err := json.Marshal(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	path := filepath.Join(c.dir, fmt.Sprintf("c-%d.json", i))
	if err := os.WriteFile(path, text, 0o644); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// start starts the process of controller i.
func (c *processCluster) start(i int) {
	path := c.writePlatformFile(i)
	log, err := os.OpenFile(filepath.Join(c.dir, fmt.Sprintf("c-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd := exec.Command(c.binary, "serve", "--settings", c.settingsPath(i), "--config", path)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	log.Close()
	c.mu.Lock()
	c.controllers[i] = cmd
	c.mu.Unlock()
}

// kill ends the process of controller i with SIGKILL, if it runs.
func (c *processCluster) kill(i int) {
	c.mu.Lock()
	cmd := c.controllers[i]
	c.controllers[i] = nil
	c.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// ready reports whether controller i reports that it is ready.
func (c *processCluster) ready(i int) bool {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	resp, err := c.caller.Call(ctx, c.addr(i+1), "GET", wire.PathReady, nil)
	return err == nil && resp.Status == 200
}

// ask sends a request to the controllers in turn until one answers with a status other than 429 and 503.
func (c *processCluster) ask(first int, method, path string, body []byte) (status int, stage wire.Stage) {
	for try := 0; c.ctx.Err() == nil; try++ {
		ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
		resp, err := c.caller.Call(ctx, c.addr((first+try)%3+1), method, path, body)
		cancel()
		if err == nil && resp.Status != 503 && resp.Status != 429 {
			var s wire.JobStatus
			_ = wire.Decode(resp.Body, &s)
			return resp.Status, s.Stage
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0, ""
}

// jobPath returns the URL path of a job.
func jobPath(id string) string { return wire.PathJobs + "/" + id }

// runJob submits a job and polls it until its state is final. The number n determines the job's shape
// and the controllers asked; every third job is cancelled at once. The checker compares all answers.
func (c *processCluster) runJob(id string, n int) {
	j := &wire.Job{ID: id, Class: "c", Team: []string{"red", "blue"}[n%2], Shape: wire.Array, Priority: wire.Normal, Tasks: 1 + n%3,
		CPUs: 1, GPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1, EstimateS: 1, Spot: true}
	c.checker.Submitted(j, 50*time.Millisecond)
	observe := func(cancelRequested bool, status int, stage wire.Stage) {
		c.checker.ObserveAnswer(id, status, stage, cancelRequested)
	}
	status, stage := c.ask(n, "POST", wire.PathJobs, wire.Encode(j))
	observe(false, status, stage)
	cancelled := n%3 == 0
	for !c.checker.Stage(id).Final() && c.ctx.Err() == nil {
		if cancelled {
			status, stage = c.ask(n+1, "POST", jobPath(id)+"/"+wire.CancelPathSuffix, []byte{})
		} else {
			time.Sleep(50 * time.Millisecond)
			status, stage = c.ask(n+1, "GET", jobPath(id), nil)
		}
		observe(cancelled, status, stage)
	}
}

// TestKillsLoseNoAnswer kills controllers at random times while jobs are submitted, cancelled,
// completed and compacted. The size limit of values is so small that blocks fill and split all the
// time. No final answer may be lost, changed or invented. AMBERDEAL_KILLS sets the number of kills;
// the default is small.
func TestKillsLoseNoAnswer(t *testing.T) {
	kills := 5
	if text := os.Getenv("AMBERDEAL_KILLS"); text != "" {
		kills, _ = strconv.Atoi(text)
	}
	c := newProcessCluster(t, map[string]any{"rps": 2000, "write_rps": 600, "value_kb": 1, "txn_ops": 8},
		"[claim]\nlease = 2s\nrenew = 500ms\n[history]\nevery = 100ms\nwait = 200ms\nmerge_at = 1\n", 3)
	c.store.Configure(func(s *simulator.StateService) {
		s.Limits = simulator.StateLimits{ValueBytes: 1024, TxnOps: 8, PageItems: 20}
	})
	for i := range 3 {
		c.start(i)
	}
	c.waitFor("ready", func() bool { return c.ready(0) && c.ready(1) && c.ready(2) })
	over := make(chan struct{})
	users := c.startKillTestUsers(over)
	c.killDuringWrites(kills)
	c.waitFor("jobs in the history", func() bool { return c.verifyState().Kinds["history"] != nil })
	close(over)
	users.Wait()
	if n := c.metric("view_keys"); n == 0 || c.metric(`store_changes_total{purpose="submission"}`) == 0 || c.metric("records_not_understood")+c.metric("answers_differ_total") > 0 {
		t.Errorf("unexpected metrics: view_keys is %v; want it and the changes for submissions above 0, and no records that are not understood or differing answers", n)
	}
	users.pollAll()
	c.migrateState()
	users.pollAll()
	c.runJob("wk-10000001", 1) // the machines have to follow the new leader
	for _, b := range c.checker.Violations() {
		t.Error(b)
	}
	a := c.verifyState()
	for _, p := range a.Problems {
		t.Error(p)
	}
	_, changes, keys := c.store.Counts()
	t.Logf("%d kills, %d jobs, %d tasks started, %d changes, %d keys, %d jobs in %d blocks of the history", kills, len(users.ids), c.checker.Started, changes, keys, a.Kinds["history"].Jobs, a.Kinds["history"].Keys)
	if t.Failed() {
		c.printLogs()
	}
}

// killTestUsers is the group of users who submit jobs while controllers are killed.
type killTestUsers struct {
	sync.WaitGroup
	c   *processCluster
	mu  sync.Mutex
	rng *rand.Rand
	ids []string // of the jobs that have ended
}

// startKillTestUsers starts twelve users, who stop when over is closed.
func (c *processCluster) startKillTestUsers(over <-chan struct{}) *killTestUsers {
	u := &killTestUsers{c: c, rng: rand.New(rand.NewPCG(1, 9))}
	numbers := u.rng.Perm(10_000_000)
	for first := range 12 {
		u.Go(func() {
			for n := first; ; n += 12 {
				select {
				case <-over:
					return
				default:
				}
				u.runAndPoll(fmt.Sprintf("wk-%07d", numbers[n%len(numbers)]), n)
			}
		})
	}
	return u
}

// runAndPoll runs a job, and polls an earlier job and one that was never submitted.
func (u *killTestUsers) runAndPoll(id string, n int) {
	u.c.runJob(id, n)
	u.mu.Lock()
	u.ids = append(u.ids, id)
	old := u.ids[u.rng.IntN(len(u.ids))]
	u.mu.Unlock()
	status, stage := u.c.ask(n, "GET", jobPath(old), nil)
	u.c.checker.ObserveAnswer(old, status, stage, u.c.checker.Stage(old) == wire.Cancelled)
	if status, _ := u.c.ask(n, "GET", jobPath(fmt.Sprintf("wk-%09d", n)), nil); status != 404 && u.c.ctx.Err() == nil {
		u.c.t.Errorf("poll of a job that was never submitted is answered %d, want 404", status)
	}
}

// pollAll polls all jobs again.
func (u *killTestUsers) pollAll() {
	for _, id := range u.ids {
		status, stage := u.c.ask(1, "GET", jobPath(id), nil)
		u.c.checker.ObserveAnswer(id, status, stage, u.c.checker.Stage(id) == wire.Cancelled)
	}
}

// killDuringWrites kills and restarts random controllers one after the other, each after some more changes of
// the state.
func (c *processCluster) killDuringWrites(kills int) {
	rng := rand.New(rand.NewPCG(1, 10))
	for k := range kills {
		_, before, _ := c.store.Counts()
		c.waitFor("work", func() bool { _, now, _ := c.store.Counts(); return now-before > 40+k*17%90 })
		i := rng.IntN(3)
		c.kill(i)
		if rng.IntN(3) == 0 {
			c.kill((i + 1) % 3)
			c.start((i + 1) % 3)
		}
		c.start(i)
		c.waitFor("ready", func() bool { return c.ready(i) })
	}
}

// TestRestartsUnderLoad repeatedly kills one or more controllers, restarts them after 100 ms, and
// restarts machines, while jobs arrive. Each job is polled until its state is final. No answer may
// contradict an earlier one, and every job has to end. It runs only with AMBERDEAL_RETURNS, which
// sets the number of kills.
func TestRestartsUnderLoad(t *testing.T) {
	kills, err := strconv.Atoi(os.Getenv("AMBERDEAL_RETURNS"))
	if err != nil {
		t.Skip("AMBERDEAL_RETURNS is not set")
	}
	c := newProcessCluster(t, map[string]any{"rps": 400, "write_rps": 200, "value_kb": 8, "txn_ops": 24}, "", 12)
	for i := range 3 {
		c.start(i)
	}
	c.waitFor("ready", func() bool { return c.ready(0) && c.ready(1) && c.ready(2) })
	over := make(chan struct{})
	var users sync.WaitGroup
	var mu sync.Mutex
	jobs, longest := 0, time.Duration(0)
	for u := range 32 {
		users.Go(func() {
			for n := u; ; n += 32 {
				select {
				case <-over:
					return
				case <-time.After(time.Duration(n%7) * 50 * time.Millisecond):
				}
				id, begun := fmt.Sprintf("wk-%07d", n*7919%10_000_000), time.Now()
				c.runJob(id, n)
				status, stage := c.ask(n, "POST", jobPath(id)+"/"+wire.CancelPathSuffix, []byte{}) // the answer has to stay the same
				c.checker.ObserveAnswer(id, status, stage, n%3 == 0)
				mu.Lock()
				jobs, longest = jobs+1, max(longest, time.Since(begun))
				mu.Unlock()
			}
		})
	}
	begun := time.Now()
	c.restartAtRandom(kills)
	took := time.Since(begun)
	close(over)
	users.Wait()
	for _, b := range append(c.checker.Violations(), c.verifyState().Problems...) {
		t.Error(b)
	}
	if open := c.checker.OpenJobs(); len(open) > 0 {
		t.Errorf("jobs without a final state: %v", open)
	}
	t.Logf("%d kills in %v, %d jobs, %d tasks started, the longest job took %v", kills, took.Round(time.Second), jobs, c.checker.Started, longest.Round(100*time.Millisecond))
	if t.Failed() {
		c.printLogs()
	}
}

// restartAtRandom kills one to three controllers at random times, restarts them after 100 ms, and
// reboots some machines.
func (c *processCluster) restartAtRandom(kills int) {
	rng := rand.New(rand.NewPCG(2, 10))
	for range kills {
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		order := rng.Perm(3)[:[]int{1, 1, 1, 2, 3}[rng.IntN(5)]]
		for _, i := range order {
			c.kill(i)
		}
		time.Sleep(100 * time.Millisecond)
		rng.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
		for _, i := range order {
			c.start(i)
		}
		c.cloud.EachRunning(func(_ wire.ListedMachine, m simulator.Machine) {
			if rng.IntN(40) == 0 {
				m.(simulator.Rebooter).Reboot(100*time.Millisecond, false)
			}
		})
	}
}

// migrateState ends all controllers, exports the state, imports it into another state service, and
// restarts the controllers there.
func (c *processCluster) migrateState() {
	c.t.Helper()
	run := func(args ...string) string {
		out, err := exec.CommandContext(c.ctx, c.binary, append([]string{"state"}, args...)...).CombinedOutput()
		if err != nil {
			c.t.Errorf("state %v: %v\n%s", args, err, out)
		}
		return string(out)
	}
	for i := range c.controllers {
		c.kill(i)
	}
	file, config := filepath.Join(c.dir, "state.export"), c.writePlatformFile(0)
	inspected := run("inspect", "--config", config)
	run("verify", "--config", config)
	run("export", "--config", config, file)
	run("verify", file)
	limits := c.store.Limits
	c.store = simulator.NewStateService(2, 0)
	c.store.Limits = limits
	c.stateAddr = c.subnet + "202:2379"
	go sockets.Listen(c.ctx, c.stateAddr, 1000, c.store.Serve())
	c.waitFor("another state service", func() bool { return c.reachable(c.stateAddr) })
	run("import", "--config", c.writePlatformFile(0), file)
	if again := run("inspect", "--config", config, "--json"); !strings.Contains(inspected, "live jobs") || !strings.Contains(again, `"problems": []`) {
		c.t.Errorf("inspection before the export:\n%s\nafter the import:\n%s", inspected, again)
	}
	for i := range c.controllers {
		c.start(i)
	}
	c.waitFor("ready", func() bool { return c.ready(0) && c.ready(1) && c.ready(2) })
}

// verifyState reads the whole state and returns the archive's report about it.
func (c *processCluster) verifyState() archive.Report {
	var items []wire.KeyValue
	for after := ""; ; {
		page := c.store.Page(store.CommonPrefix, after, 0)
		items = append(items, page.Items...)
		if !page.More {
			return archive.Verify(c.ctx, items)
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// printLogs writes statistics of the state and the end of each controller's log to the test's log.
func (c *processCluster) printLogs() {
	for kind, k := range c.verifyState().Kinds {
		c.t.Logf("%s: %+v", kind, *k)
	}
	for i := range c.controllers {
		text, _ := os.ReadFile(filepath.Join(c.dir, fmt.Sprintf("c-%d.log", i)))
		c.t.Logf("c-%d:\n%s", i, text[max(0, len(text)-4000):])
	}
}

// seedEndedJobs writes n ended jobs to the state in the form that compaction leaves, and returns their
// IDs: random ones among ten times as many, in blocks that are two thirds full.
func (c *processCluster) seedEndedJobs(n int) (ids []string) {
	limit := c.stateParams["value_kb"].(int) << 10
	rng := rand.New(rand.NewPCG(1, 1))
	entries := make([]jobblock.Entry, 0, n)
	for i := range n {
		id := fmt.Sprintf("wk-%08d", i*10+rng.IntN(10))
		entries = append(entries, jobblock.Entry{ID: id, Stage: []wire.Stage{wire.Done, wire.Cancelled, wire.Done}[rng.IntN(3)], Tasks: 1 + rng.IntN(30)})
	}
	recent := entries[:0:0]
	if n > 3000 {
		recent = entries[n-3000:]
		entries = entries[:n-3000]
	}
	records := jobblock.Split("", entries, limit*9/10)
	for i, r := range records {
		to := "~"
		if i+1 < len(records) {
			to = records[i+1].From
		}
		c.store.Commit(wire.Txn{Then: []wire.Operation{{Put: store.ArchivePrefix + to, Value: r}}})
	}
	c.store.Commit(wire.Txn{Then: []wire.Operation{{Put: store.RecentKey(0), Value: jobblock.Pack("", recent)}}})
	for _, e := range append(entries, recent...) {
		ids = append(ids, e.ID)
	}
	return ids
}

// memoryMB returns a memory figure of controller i in MB; name is a field of /proc/PID/status.
func (c *processCluster) memoryMB(i int, name string) float64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", c.controllers[i].Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	text, _ := io.ReadAll(f)
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// submitBurst submits jobs from many concurrent users, then cancels them, and returns the submissions per second.
func (c *processCluster) submitBurst(first, jobs, users int) float64 {
	var group sync.WaitGroup
	each := func(f func(id string, n int)) {
		for u := range users {
			group.Add(1)
			go func() {
				defer group.Done()
				for n := u; n < jobs; n += users {
					f(fmt.Sprintf("wk-%08d", 7_000_000_000/100+first+n*13), n)
				}
			}()
		}
		group.Wait()
	}
	begun := time.Now()
	each(func(id string, n int) {
		j := &wire.Job{ID: id, Class: "c", Team: "blue", Shape: wire.Service, Priority: wire.Production, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1}
		if status, _ := c.ask(n, "POST", wire.PathJobs, wire.Encode(j)); status != 201 && status != 200 {
			c.t.Errorf("submission of %s was answered %d", id, status)
		}
	})
	took := time.Since(begun)
	each(func(id string, n int) {
		if status, stage := c.ask(n, "POST", jobPath(id)+"/"+wire.CancelPathSuffix, []byte{}); status != 200 || stage != wire.Cancelled {
			c.t.Errorf("cancellation of %s was answered %d, stage %s", id, status, stage)
		}
	})
	return float64(jobs) / took.Seconds()
}

// BenchmarkEndedJobs measures three real controllers with increasing numbers of ended jobs: the
// times of a restart and a failover, the cost of a job, and the memory.
func BenchmarkEndedJobs(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := newProcessCluster(b, map[string]any{"rps": 30000, "write_rps": 30000, "value_kb": 8, "txn_ops": 20}, "[history]\nevery = 100ms\nwait = 1s\n", 0)
			c.store.Configure(func(s *simulator.StateService) { s.Limits = simulator.StateLimits{ValueBytes: 8192, TxnOps: 20} })
			ids := c.seedEndedJobs(n)
			for i := range 3 {
				c.start(i)
			}
			c.waitFor("ready", func() bool { return c.ready(0) && c.ready(1) && c.ready(2) })
			for b.Loop() {
				c.measureEndedJobs(b, ids)
			}
		})
	}
}

// measureEndedJobs takes all measurements of BenchmarkEndedJobs once. ids are the jobs of seedEndedJobs.
func (c *processCluster) measureEndedJobs(b *testing.B, ids []string) {
	const jobs = 4000
	_, changes, _ := c.store.Counts()
	rate := c.submitBurst(int(changes), jobs, 96)
	c.waitFor("compacted", func() bool { a := c.verifyState(); return a.Kinds["batch"] == nil || a.Kinds["batch"].Keys < 4 })
	_, after, keys := c.store.Counts()
	b.ReportMetric(rate, "submissions/s")
	b.ReportMetric(float64(after-changes)/jobs, "changes/job")
	b.ReportMetric(float64(keys)/float64(len(ids)+jobs)*100, "keys/100jobs")
	// Restart: all controllers end and one starts alone. Measures from its start until it answers
	// about an old job.
	for i := range c.controllers {
		c.kill(i)
	}
	before, _, _ := c.store.Counts()
	begun := time.Now()
	c.start(0)
	c.waitFor("ready", func() bool { return c.ready(0) })
	if status, stage := c.ask(0, "GET", jobPath(ids[len(ids)/2]), nil); status != 200 || !stage.Final() {
		b.Errorf("poll of an old job was answered %d, stage %s", status, stage)
	}
	took := time.Since(begun)
	requests, _, _ := c.store.Counts()
	b.ReportMetric(took.Seconds()*1000, "restart-ms")
	b.ReportMetric(float64(requests-before), "restart-requests")
	page := c.store.Page(store.StatePrefix, "", 0)
	bytes := 0
	for _, it := range page.Items {
		bytes += len(it.Key) + len(it.Value)
	}
	b.ReportMetric(float64(bytes)/1024, "list-KiB")
	c.start(1)
	c.start(2)
	c.waitFor("ready", func() bool { return c.ready(1) && c.ready(2) })
	for i := range 200 { // read from the whole history
		c.ask(i, "GET", jobPath(ids[i*len(ids)/200]), nil)
	}
	b.ReportMetric(c.memoryMB(0, "VmRSS"), "idle-MB")
	b.ReportMetric(c.memoryMB(0, "VmHWM"), "peak-MB")
	// Failover: measures from the end of the leader until another controller has claimed leadership.
	leader, token := c.leader()
	begun = time.Now()
	c.kill(leader)
	c.waitFor("a takeover", func() bool { _, now := c.leader(); return now > token })
	b.ReportMetric(time.Since(begun).Seconds()*1000, "takeover-ms")
	c.start(leader)
	c.waitFor("ready", func() bool { return c.ready(leader) })
}

// leader returns the leader of the fleet and its fencing token.
func (c *processCluster) leader() (int, uint64) {
	for _, it := range c.store.Page(store.LeaderKey("fleet"), "", 0).Items {
		var rec store.LeaderRecord
		_ = wire.DecodeValue(it.Value, &rec)
		i, _ := strconv.Atoi(strings.TrimPrefix(rec.Leader, "c-"))
		return i, rec.FencingToken
	}
	return 0, 0
}
