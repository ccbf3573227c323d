package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Options are the options of a cluster.
type Options struct {
	Port    int    // first of the ports on 127.0.0.1
	Dir     string // for the controllers' settings and the persisted state
	Persist bool   // persist the state and resume from it
	Log     *slog.Logger
	// Pause suspends a controller or lets it continue, and Kill terminates one, if this process has
	// started them.
	Pause func(controller string, still bool) error
	Kill  func(controller string, back time.Duration) error
	// Machine, if set, starts what runs on a machine of a type that is not emulated; it returns nil
	// for all other types.
	Machine func(id, addr, typ, zone string, spot bool) simulator.Machine
	// OnTaskStart, if set, is called with each start of a task.
	OnTaskStart func(t wire.TaskID)
}

// maxMachines bounds the machines of a cluster.
const maxMachines = 20_000

// Cluster is a running emulated cluster.
type Cluster struct {
	Config    *Config
	opt       Options
	log       *slog.Logger
	links     *links
	state     *simulator.StateService
	cloud     *simulator.Cloud
	ctx       context.Context
	stop      context.CancelFunc
	startedAt time.Time
	ports     ports
	rng       *rand.Rand
	fixture   *taskFixture
	replayer  *simulator.HeartbeatReplayer
	users     userFaults

	mu           sync.Mutex
	activeFaults map[int]*StagedFault
	faultCount   int
	usedPorts    map[int]bool // of machines
}

// StagedFault is a fault that is active, or was.
type StagedFault struct {
	Number      int     `json:"number"`
	Label       string  `json:"label,omitempty"`
	Description string  `json:"what"`
	Since       float64 `json:"since_s"`
	Until       float64 `json:"until_s,omitempty"` // 0 while it is active
	lift        func()
}

// Start starts a cluster and its timeline.
func Start(ctx context.Context, c *Config, opt Options) (*Cluster, error) {
	layout := layOutPorts(c.Controllers)
	if most := 65535 - layout.machines; opt.Port < 1024 || opt.Port > most {
		return nil, fmt.Errorf("port %d: must be from 1024 to %d", opt.Port, most)
	}
	w := &Cluster{Config: c, opt: opt, log: opt.Log, links: newLinks(), state: simulator.NewStateService(c.Seed, 0), startedAt: time.Now(),
		rng: rand.New(rand.NewPCG(c.Seed, 8)), activeFaults: map[int]*StagedFault{}, ports: layout, usedPorts: map[int]bool{}}
	if w.log == nil {
		w.log = slog.New(slog.DiscardHandler)
	}
	w.users.begin(c.Seed)
	w.ctx, w.stop = context.WithCancel(ctx)
	w.state.Limits = simulator.StateLimits{RPS: c.State.RPS, WriteRPS: c.State.WriteRPS, ValueBytes: c.State.ValueBytes, TxnOps: c.State.TxnOps}
	if c.StateDelay > 0 {
		w.state.ResponseDelay = func() time.Duration { return c.StateDelay }
	}
	if err := w.restoreState(); err != nil {
		w.stop()
		return nil, err
	}
	w.makeCloud()
	if err := errors.Join(w.listen(), w.writeSettings()); err != nil {
		w.Stop()
		return nil, err
	}
	go w.fixture.WatchMachines(w.ctx, w.cloud)
	go w.timeline()
	return w, nil
}

// addr returns the address at an offset from the first port.
func (w *Cluster) addr(offset int) string { return fmt.Sprintf("127.0.0.1:%d", w.opt.Port+offset) }

// Public returns the address at which users and machines reach a controller.
func (w *Cluster) Public(i int) string { return w.addr(i) }

// Control returns the address by which faults are staged and observations are sent.
func (w *Cluster) Control() string { return w.addr(w.ports.control) }

// Metrics returns the address at which a controller that this program starts serves its metrics.
func (w *Cluster) Metrics(i int) string { return w.addr(w.ports.metrics + i) }

// Builds returns the address at which a controller may serve the remote execution API.
func (w *Cluster) Builds(i int) string { return w.addr(w.ports.builds + i) }

// Blobs returns the address of the blob store for remote execution.
func (w *Cluster) Blobs() string { return w.addr(w.ports.blobs) }

// Settings returns the path of a controller's platform file.
func (w *Cluster) Settings(i int) string {
	return filepath.Join(w.opt.Dir, fmt.Sprintf("c-%d.json", i))
}

func (w *Cluster) zone(i int) string { return w.Config.Zones[i%len(w.Config.Zones)] }

func (w *Cluster) controller(i int) side {
	return side{fmt.Sprint("c-", i), "controllers", w.zone(i)}
}

var (
	state = side{"state", "state", ""}
	cloud = side{"cloud", "cloud", ""}
)

// makeCloud creates the cloud, whose machines are emulated workers or started by Options.Machine.
func (w *Cluster) makeCloud() {
	c := w.Config
	w.fixture = newTaskFixture(w)
	w.fixture.SetQuietSince(w.startedAt)
	yard := simulator.NewTaskRuntime(w.fixture, c.Workers.GangWait, c.Workers.GangPeer)
	names := map[string]string{}
	w.replayer = &simulator.HeartbeatReplayer{Dial: Dial, MaxDelay: 3 * c.Workers.Lease, Rand: rand.New(rand.NewPCG(c.Seed, 9))}
	for i := range c.Controllers {
		names[w.controller(i).name] = w.Public(i)
		w.replayer.Controllers = append(w.replayer.Controllers, w.Public(i))
	}
	w.cloud = &simulator.Cloud{Types: c.Types, CapacityByOffer: c.CapacityByOffer, RPS: c.Cloud.RPS, ListLag: c.Cloud.ListLag, Rand: rand.New(rand.NewPCG(c.Seed, 3)),
		AddrOf: w.machineAddr,
		Start: func(id, addr, typ, zone string, spot bool) simulator.Machine {
			if w.opt.Machine != nil {
				if m := w.opt.Machine(id, addr, typ, zone, spot); m != nil {
					return m
				}
			}
			me := side{id, "machines", zone}
			return simulator.NewWorker(simulator.WorkerConfig{ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Spec: c.spec(typ), Net: host{w.links, me, w.peer},
				TakeDown: func() { w.freePort(addr) }, Controllers: names, Runtime: yard, Lease: c.Workers.Lease, HeartbeatInterval: c.Workers.HeartbeatInterval, SharedFetchRate: c.SharedFetchRate, Replayer: w.replayer})
		}}
}

func (c *Config) spec(typ string) wire.MachineType {
	for _, t := range c.Types {
		if t.Name == typ {
			return t
		}
	}
	return wire.MachineType{}
}

// peer returns the side at an address. Any caller of a machine is some controller.
func (w *Cluster) peer(addr string) side {
	for i := range w.Config.Controllers {
		if addr == w.Public(i) {
			return w.controller(i)
		}
	}
	return side{"", "controllers", ""}
}

// machineAddr reserves the first free port for a machine.
func (w *Cluster) machineAddr(int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.opt.Port + w.ports.machines
	for p := first; p <= min(65535, first+maxMachines); p++ {
		if !w.usedPorts[p] {
			w.usedPorts[p] = true
			return fmt.Sprintf("127.0.0.1:%d", p)
		}
	}
	return w.addr(w.ports.machines) // it will never come up
}

// freePort releases the port of a machine.
func (w *Cluster) freePort(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var p int
	if _, err := fmt.Sscanf(addr, "127.0.0.1:%d", &p); err == nil {
		time.AfterFunc(time.Second, func() { // its listener is closed by then
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(w.usedPorts, p)
		})
	}
}

// listen opens every port of the cluster, or reports those that are in use.
func (w *Cluster) listen() error {
	var errs []error
	serve := func(offset int, me, peer side, f transport.ServeConn) {
		lis, err := net.Listen("tcp4", w.addr(offset))
		if err != nil {
			errs = append(errs, err)
			return
		}
		h := host{w.links, me, func(string) side { return peer }}
		go h.accept(w.ctx, lis, 512, func(c net.Conn) { f(w.ctx, w.links.wrap(c, me, peer)) })
	}
	for i := range w.Config.Controllers {
		c := w.controller(i)
		serve(w.ports.state+i, state, c, w.state.ServeCaller(c.name))
		serve(w.ports.cloud+i, cloud, c, w.cloud.Serve())
		for k := range w.Config.Controllers {
			if k != i {
				serve(w.ports.between(i, k), w.controller(k), c, w.forward(k))
			}
		}
	}
	serve(w.ports.control, side{}, side{}, w.control())
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("ports are in use, choose others with --port:\n%w", err)
	}
	return nil
}

// forward relays a connection to a controller, in both directions as the rules allow.
func (w *Cluster) forward(to int) transport.ServeConn {
	return func(ctx context.Context, in transport.Stream) {
		dial, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		var d net.Dialer
		out, err := d.DialContext(dial, "tcp4", w.addr(w.ports.mesh+to))
		if err != nil {
			return
		}
		defer out.Close()
		go func() {
			_, _ = io.Copy(in, out)
			in.Close()
		}()
		_, _ = io.Copy(out, in)
	}
}

// writeSettings writes the platform file of each controller.
func (w *Cluster) writeSettings() error {
	if w.opt.Dir == "" {
		return nil
	}
	errs := []error{os.MkdirAll(w.opt.Dir, 0o755)}
	for i := range w.Config.Controllers {
		text, err := json.MarshalIndent(w.settings(i), "", "  ")
		errs = append(errs, err, writeWhole(w.Settings(i), text))
	}
	return errors.Join(errs...)
}

// writeWhole replaces a file atomically.
func writeWhole(path string, content []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".part-*")
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// settings returns the content of a controller's platform file.
func (w *Cluster) settings(i int) map[string]any {
	c := w.Config
	siblings := []any{}
	for k := range c.Controllers {
		if k != i {
			siblings = append(siblings, map[string]any{"host_name": w.controller(k).name, "location": w.zone(k), "peer_addr": w.addr(w.ports.between(i, k))})
		}
	}
	wk := c.Workers
	return map[string]any{"host_name": w.controller(i).name, "location": w.zone(i), "public_addr": w.Public(i), "mesh_addr": w.addr(w.ports.mesh + i), "siblings": siblings,
		"endpoints": map[string]any{"cloud": w.addr(w.ports.cloud + i), "state": w.addr(w.ports.state + i)},
		"params": map[string]any{"zones": c.Zones, "teams": c.Teams,
			"workers": map[string]any{"report_s": wk.HeartbeatInterval.Seconds(), "lease_s": wk.Lease.Seconds(), "gang_wait_s": wk.GangWait.Seconds(), "gang_peer_s": wk.GangPeer.Seconds(), "cancel_s": wk.Cancel.Seconds()},
			"state":   map[string]any{"rps": c.State.RPS, "write_rps": c.State.WriteRPS, "value_kb": float64(c.State.ValueBytes) / 1024, "txn_ops": c.State.TxnOps},
			"cloud":   map[string]any{"rps": c.Cloud.RPS, "list_lag_s": c.Cloud.ListLag.Seconds()},
			"limits":  map[string]any{"ram_mb": float64(c.Limits.RAMBytes >> 20), "fd_limit": c.Limits.Files}}}
}

func (w *Cluster) stateFile() string { return filepath.Join(w.opt.Dir, "state.cbor") }

// restoreState loads a persisted state, and persists this cluster's state from then on.
func (w *Cluster) restoreState() error {
	if !w.opt.Persist {
		return nil
	}
	text, err := os.ReadFile(w.stateFile())
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return err
	default:
		var k simulator.StateSnapshot
		if err := wire.Decode(text, &k); err != nil {
			return fmt.Errorf("%s is not a kept state: %w", w.stateFile(), err)
		}
		w.state.Resume(k)
		w.log.Info("going on with a kept state", "keys", len(k.Items), "revision", k.Revision)
	}
	go func() {
		for w.ctx.Err() == nil {
			sleep(w.ctx, time.Second)
			w.persistState()
		}
	}()
	return nil
}

// persistState writes the state to disk.
func (w *Cluster) persistState() {
	if err := writeWhole(w.stateFile(), wire.Encode(w.state.Snapshot())); err != nil {
		w.log.Error("the state can't be kept", "error", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Stop ends the cluster, and persists its state if that was asked for.
func (w *Cluster) Stop() {
	w.stop()
	if w.cloud != nil {
		w.cloud.Stop()
	}
	if w.opt.Persist {
		w.persistState()
	}
}

// pickMachines selects machines of a fault's zone, or spot machines only.
func (w *Cluster) pickMachines(f *Fault, spot bool) (ids []string) {
	w.cloud.EachRunning(func(m wire.ListedMachine, _ simulator.Machine) {
		if (f.Zone == "" || m.Zone == f.Zone) && (!spot || m.Spot) {
			ids = append(ids, m.ID)
		}
	})
	w.mu.Lock()
	w.rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	w.mu.Unlock()
	n := len(ids)
	switch {
	case f.Count > 0:
		n = min(n, f.Count)
	case f.Share > 0:
		n = min(n, int(f.Share*float64(n)+0.5))
	}
	ids = ids[:n]
	slices.Sort(ids)
	return ids
}

// Liveness returns the checker of whether jobs are forgotten.
func (w *Cluster) Liveness() *simulator.LivenessChecker { return &w.fixture.Liveness }

// Page lists keys of the state service.
func (w *Cluster) Page(prefix string, most int) []wire.KeyValue {
	return w.state.Page(prefix, "", most).Items
}

// Status is the state of a cluster.
type Status struct {
	AgeS               float64       `json:"age_s"`
	Machines           int           `json:"machines"`
	Up                 int           `json:"up"`
	Cost               float64       `json:"cost"`
	Requests           int           `json:"state_requests"`
	Changes            int           `json:"state_changes"`
	Keys               int           `json:"state_keys"`
	RunningTasks       int           `json:"tasks_on_machines"`
	StartedTasks       int           `json:"tasks_started"`
	FencingToken       uint64        `json:"term"` // of the last election
	StartedAfterCancel []string      `json:"started_after_cancellation"`
	Violations         []string      `json:"rules_broken"`
	Faults             []StagedFault `json:"faults"`
}

// Status returns the state of the cluster.
func (w *Cluster) Status() Status {
	s := Status{AgeS: time.Since(w.startedAt).Seconds(), Up: w.cloud.CountRunning()}
	s.Cost, s.Machines = w.cloud.Cost()
	s.Requests, s.Changes, s.Keys = w.state.Counts()
	s.RunningTasks, s.StartedTasks = w.fixture.Counts()
	s.Violations = w.fixture.Violations()
	s.StartedAfterCancel, _ = w.fixture.Launches.AfterCancellation()
	for _, it := range w.Page(store.FencingTokenKey, 1) {
		_ = wire.DecodeValue(it.Value, &s.FencingToken)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := 1; n <= w.faultCount; n++ {
		s.Faults = append(s.Faults, *w.activeFaults[n])
	}
	return s
}

// taskFixture determines how long tasks run: as long as their owners estimate, services until they
// are stopped. It looks jobs up at the controllers, as a platform would upload them, and checks
// the rules of the protocol.
type taskFixture struct {
	*simulator.Checker
	cluster *Cluster
	caller  *transport.Caller
}

// newTaskFixture returns the fixture of a cluster.
func newTaskFixture(w *Cluster) *taskFixture {
	limits, teams := make(map[string]float64), make(map[string]simulator.TeamLimit)
	for _, t := range w.Config.Teams {
		limits[t.Name], teams[t.Name] = t.GPUsMax, simulator.TeamLimit{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
	}
	c := simulator.NewChecker(w.Config.Workers.Cancel, limits)
	c.Submissions, c.Starvation.Limits = simulator.SubmissionRules{Types: w.Config.Types, Teams: teams}, teams
	return &taskFixture{Checker: c, cluster: w, caller: &transport.Caller{MaxBody: 1 << 20, Dial: Dial}}
}

// TaskStarted implements simulator.Fixture.
func (l *taskFixture) TaskStarted(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	if started := l.cluster.opt.OnTaskStart; started != nil {
		started(t)
	}
	return l.Checker.TaskStarted(t, machine, typ, zone, spot)
}

// TaskCompleted implements simulator.Fixture.
func (l *taskFixture) TaskCompleted(t wire.TaskID) {
	l.Checker.TaskCompleted(t)
	if l.Finished(t.Job) {
		l.cluster.users.jobEnded(t.Job)
	}
}

// LookUp implements simulator.LookupFixture.
func (l *taskFixture) LookUp(ctx context.Context, t wire.TaskID) error {
	for try := 0; ; try++ {
		if _, known := l.Describe(t.Job); known {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, 3*time.Second)
		resp, err := l.caller.Call(call, l.cluster.Public((t.Index+try)%l.cluster.Config.Controllers), "GET", wire.PathJobs+"/"+t.Job+"/"+wire.WorkWord, nil)
		cancel()
		var j wire.Job
		switch {
		case err == nil && resp.Status == 200 && wire.Decode(resp.Body, &j) == nil:
			l.recordSubmission(&j)
			return nil
		case err == nil && resp.Status == 404 && try > 2, ctx.Err() != nil, try > 30:
			return fmt.Errorf("job %s is not known", t.Job)
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// recordSubmission records a job, once.
func (l *taskFixture) recordSubmission(j *wire.Job) {
	if _, known := l.Describe(j.ID); known {
		return
	}
	run := max(100*time.Millisecond, j.Estimate())
	if j.Shape == wire.Service {
		run = 10_000 * time.Hour
	}
	l.Submitted(j, run)
}

// describe returns a description of a fault in one line.
func (f *Fault) describe() string {
	var out []string
	add := func(name string, set bool, value any) {
		if set {
			out = append(out, fmt.Sprintf("%s=%v", name, value))
		}
	}
	add("from", f.From != "", f.From)
	add("to", f.To != "", f.To)
	add("mode", f.Mode != "", f.Mode)
	add("one_way", f.OneWay, "yes")
	add("delay", f.Delay > 0, f.Delay)
	add("share", f.Share > 0, f.Share)
	add("count", f.Count > 0, f.Count)
	add("zone", f.Zone != "", f.Zone)
	add("notice", f.Notice > 0, f.Notice)
	add("times", f.Times > 0, f.Times)
	add("who", f.Who != "", f.Who)
	add("from_state", f.FromState, "yes")
	add("from_peers", f.FromPeers, "yes")
	add("at_once", f.AtOnce, "yes")
	add("for_next", f.ForNext, "yes")
	add("hang", f.Hang > 0, f.Hang)
	add("for", f.For > 0, f.For)
	return strings.TrimSpace(f.Kind + " " + strings.Join(out, " "))
}
