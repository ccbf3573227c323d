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

// Options of a world.
type Options struct {
	Port int    // the first of its ports on 127.0.0.1
	Dir  string // where the settings of the controllers are written, and the state is kept
	Keep bool   // whether the state is kept, and gone on with
	Log  *slog.Logger
	// Hang has a controller stand still or go on, and Kill ends one, where this process
	// has started them.
	Hang func(controller string, still bool) error
	Kill func(controller string, back time.Duration) error
	// Machine, if it is set, starts what runs on a machine of a type that is not emulated; it gives
	// nil for all others.
	Machine func(id, addr, typ, zone string, spot bool) simulator.Machine
	// Started, if it is set, is told of each start of a task.
	Started func(t wire.TaskID)
}

// mostMachines bounds the machines of a world.
const mostMachines = 20_000

// World is what runs.
type World struct {
	Config *Config
	opt    Options
	log    *slog.Logger
	links  *links
	store  *simulator.Store
	cloud  *simulator.Cloud
	ctx    context.Context
	stop   context.CancelFunc
	begun  time.Time
	ports  ports
	luck   *rand.Rand
	life   *life
	echo   *simulator.Echo
	users  users

	mu     sync.Mutex
	lifts  map[int]*Staged
	staged int
	used   map[int]bool // ports of machines
}

// Staged is a fault that is in force, or was.
type Staged struct {
	Number int     `json:"number"`
	Label  string  `json:"label,omitempty"`
	What   string  `json:"what"`
	Since  float64 `json:"since_s"`
	Until  float64 `json:"until_s,omitempty"` // 0 while it is in force
	lift   func()
}

// Start starts a world. Its timeline begins now.
func Start(ctx context.Context, c *Config, opt Options) (*World, error) {
	layout := portsOf(c.Controllers)
	if most := 65535 - layout.machines; opt.Port < 1024 || opt.Port > most {
		return nil, fmt.Errorf("port %d: must be from 1024 to %d", opt.Port, most)
	}
	w := &World{Config: c, opt: opt, log: opt.Log, links: newLinks(), store: simulator.NewStore(c.Seed, 0), begun: time.Now(),
		luck: rand.New(rand.NewPCG(c.Seed, 8)), lifts: map[int]*Staged{}, ports: layout, used: map[int]bool{}}
	if w.log == nil {
		w.log = slog.New(slog.DiscardHandler)
	}
	w.users.begin(c.Seed)
	w.ctx, w.stop = context.WithCancel(ctx)
	w.store.Limits = simulator.Limits{RPS: c.State.RPS, WriteRPS: c.State.WriteRPS, ValueBytes: c.State.ValueBytes, TxnOps: c.State.TxnOps}
	if c.StateDelay > 0 {
		w.store.Delay = func() time.Duration { return c.StateDelay }
	}
	if err := w.resume(); err != nil {
		w.stop()
		return nil, err
	}
	w.makeCloud()
	if err := errors.Join(w.listen(), w.writeSettings()); err != nil {
		w.Stop()
		return nil, err
	}
	go w.life.Watch(w.ctx, w.cloud)
	go w.timeline()
	return w, nil
}

func (w *World) addr(offset int) string { return fmt.Sprintf("127.0.0.1:%d", w.opt.Port+offset) }

// Public is where users and machines reach a controller, and Control where the world itself is
// asked and told.
func (w *World) Public(i int) string { return w.addr(i) }

// Control is where faults are told.
func (w *World) Control() string { return w.addr(w.ports.control) }

// Metrics is where a controller that this program starts serves its metrics.
func (w *World) Metrics(i int) string { return w.addr(w.ports.metrics + i) }

// Builds is where a controller may serve build tools.
func (w *World) Builds(i int) string { return w.addr(w.ports.builds + i) }

// Blobs is where the blobs of build tools may be kept.
func (w *World) Blobs() string { return w.addr(w.ports.blobs) }

// Settings is the platform's file of a controller.
func (w *World) Settings(i int) string {
	return filepath.Join(w.opt.Dir, fmt.Sprintf("c-%d.json", i))
}

func (w *World) zone(i int) string { return w.Config.Zones[i%len(w.Config.Zones)] }

func (w *World) controller(i int) side {
	return side{fmt.Sprint("c-", i), "controllers", w.zone(i)}
}

var (
	state = side{"state", "state", ""}
	cloud = side{"cloud", "cloud", ""}
)

func (w *World) makeCloud() {
	c := w.Config
	w.life = newLife(w)
	w.life.Over(w.begun)
	yard := simulator.NewYard(w.life, c.Workers.GangWait, c.Workers.GangPeer)
	names := map[string]string{}
	w.echo = &simulator.Echo{Dial: Dial, Most: 3 * c.Workers.Lease, Rand: rand.New(rand.NewPCG(c.Seed, 9))}
	for i := range c.Controllers {
		names[w.controller(i).name] = w.Public(i)
		w.echo.Nodes = append(w.echo.Nodes, w.Public(i))
	}
	w.cloud = &simulator.Cloud{Types: c.Types, Rooms: c.Rooms, RPS: c.Cloud.RPS, Lag: c.Cloud.ListLag, Rand: rand.New(rand.NewPCG(c.Seed, 3)),
		Addr: w.machineAddr,
		Start: func(id, addr, typ, zone string, spot bool) simulator.Machine {
			if w.opt.Machine != nil {
				if m := w.opt.Machine(id, addr, typ, zone, spot); m != nil {
					return m
				}
			}
			me := side{id, "machines", zone}
			return simulator.NewWorker(simulator.WorkerConfig{ID: id, Addr: addr, Type: typ, Zone: zone, Spot: spot, Spec: c.spec(typ), Net: host{w.links, me, w.peer},
				Down: func() { w.freePort(addr) }, Controllers: names, Yard: yard, Lease: c.Workers.Lease, Report: c.Workers.Report, Shared: c.Shared, Echo: w.echo})
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

// peer tells who is at an address. What calls a machine is some controller.
func (w *World) peer(addr string) side {
	for i := range w.Config.Controllers {
		if addr == w.Public(i) {
			return w.controller(i)
		}
	}
	return side{"", "controllers", ""}
}

// machineAddr gives the first free port to a machine.
func (w *World) machineAddr(int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.opt.Port + w.ports.machines
	for p := first; p <= min(65535, first+mostMachines); p++ {
		if !w.used[p] {
			w.used[p] = true
			return fmt.Sprintf("127.0.0.1:%d", p)
		}
	}
	return w.addr(w.ports.machines) // it will never come up
}

func (w *World) freePort(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var p int
	if _, err := fmt.Sscanf(addr, "127.0.0.1:%d", &p); err == nil {
		time.AfterFunc(time.Second, func() { // its listener is closed by then
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(w.used, p)
		})
	}
}

// listen opens every port of the world, or names those that are in use.
func (w *World) listen() error {
	var errs []error
	serve := func(offset int, me, peer side, f transport.ServeConn) {
		lis, err := net.Listen("tcp4", w.addr(offset))
		if err != nil {
			errs = append(errs, err)
			return
		}
		h := host{w.links, me, func(string) side { return peer }}
		go h.accept(w.ctx, lis, 512, func(c net.Conn) { f(w.ctx, w.links.wrap(c, me, peer, true)) })
	}
	for i := range w.Config.Controllers {
		c := w.controller(i)
		serve(w.ports.state+i, state, c, w.store.ServeTo(c.name))
		serve(w.ports.cloud+i, cloud, c, w.cloud.Serve())
		for k := range w.Config.Controllers {
			if k != i {
				serve(w.ports.between(i, k), w.controller(k), c, w.forward(k, c))
			}
		}
	}
	serve(w.ports.control, side{}, side{}, w.control())
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("ports are in use, choose others with --port:\n%w", err)
	}
	return nil
}

// forward passes a connection on to a controller, in both directions as the rules say.
func (w *World) forward(to int, from side) transport.ServeConn {
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

// writeSettings writes the platform's file of each controller.
func (w *World) writeSettings() error {
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

// writeWhole writes a file so that it is there whole or as it was.
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

func (w *World) settings(i int) map[string]any {
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
			"workers": map[string]any{"report_s": wk.Report.Seconds(), "lease_s": wk.Lease.Seconds(), "gang_wait_s": wk.GangWait.Seconds(), "gang_peer_s": wk.GangPeer.Seconds(), "cancel_s": wk.Cancel.Seconds()},
			"state":   map[string]any{"rps": c.State.RPS, "write_rps": c.State.WriteRPS, "value_kb": float64(c.State.ValueBytes) / 1024, "txn_ops": c.State.TxnOps},
			"cloud":   map[string]any{"rps": c.Cloud.RPS, "list_lag_s": c.Cloud.ListLag.Seconds()},
			"limits":  map[string]any{"ram_mb": float64(c.Limits.RAMBytes >> 20), "fd_limit": c.Limits.Files}}}
}

func (w *World) stateFile() string { return filepath.Join(w.opt.Dir, "state.cbor") }

// resume goes on with a state that was kept, and keeps this one from then on.
func (w *World) resume() error {
	if !w.opt.Keep {
		return nil
	}
	text, err := os.ReadFile(w.stateFile())
	switch {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return err
	default:
		var k simulator.Kept
		if err := wire.Decode(text, &k); err != nil {
			return fmt.Errorf("%s is not a kept state: %w", w.stateFile(), err)
		}
		w.store.Resume(k)
		w.log.Info("going on with a kept state", "keys", len(k.Items), "revision", k.Revision)
	}
	go func() {
		for w.ctx.Err() == nil {
			sleep(w.ctx, time.Second)
			w.keep()
		}
	}()
	return nil
}

func (w *World) keep() {
	if err := writeWhole(w.stateFile(), wire.Encode(w.store.Keep())); err != nil {
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

// Stop ends the world, and keeps its state if that was asked for.
func (w *World) Stop() {
	w.stop()
	if w.cloud != nil {
		w.cloud.Stop()
	}
	if w.opt.Keep {
		w.keep()
	}
}

// machines picks machines of a zone, spot ones alone if that is asked for.
func (w *World) machines(f *Fault, spot bool) (ids []string) {
	w.cloud.Each(func(m wire.ListedMachine, _ simulator.Machine) {
		if (f.Zone == "" || m.Zone == f.Zone) && (!spot || m.Spot) {
			ids = append(ids, m.ID)
		}
	})
	w.mu.Lock()
	w.luck.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
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

// Known judges whether jobs are forgotten, by what their users are answered.
func (w *World) Known() *simulator.Forgotten { return &w.life.Known }

// Page lists keys of the state service.
func (w *World) Page(prefix string, most int) []wire.Item {
	return w.store.Page(prefix, "", most).Items
}

// Status is how a world stands.
type Status struct {
	Age      float64  `json:"age_s"`
	Machines int      `json:"machines"`
	Up       int      `json:"up"`
	Cost     float64  `json:"cost"`
	Requests int      `json:"state_requests"`
	Changes  int      `json:"state_changes"`
	Keys     int      `json:"state_keys"`
	Running  int      `json:"tasks_on_machines"`
	Started  int      `json:"tasks_started"`
	Term     uint64   `json:"term"` // of the last claim
	Late     []string `json:"started_after_cancellation"`
	Broken   []string `json:"rules_broken"`
	Faults   []Staged `json:"faults"`
}

// Status tells how the world stands.
func (w *World) Status() Status {
	s := Status{Age: time.Since(w.begun).Seconds(), Up: w.cloud.Count()}
	s.Cost, s.Machines = w.cloud.Spent()
	s.Requests, s.Changes, s.Keys = w.store.Counts()
	s.Running, s.Started = w.life.Counts()
	s.Broken = w.life.Broken()
	s.Late, _ = w.life.Late.After()
	for _, it := range w.Page(store.TermKey, 1) {
		_ = wire.DecodeValue(it.Value, &s.Term)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := 1; n <= w.staged; n++ {
		s.Faults = append(s.Faults, *w.lifts[n])
	}
	return s
}

// life is how long tasks run: as long as their owners reckon, services until they are
// stopped. It looks a job up at the controllers, as the platform's users upload them, and
// judges by the rules of the protocol what it sees.
type life struct {
	*simulator.Checker
	world  *World
	caller *transport.Caller
}

func newLife(w *World) *life {
	limits, teams := make(map[string]float64), make(map[string]simulator.Limit)
	for _, t := range w.Config.Teams {
		limits[t.Name], teams[t.Name] = t.GPUsMax, simulator.Limit{CPUs: t.CPUsMax, GPUs: t.GPUsMax}
	}
	c := simulator.NewChecker(w.Config.Workers.Cancel, limits)
	c.Site, c.Room.Limits = simulator.Site{Types: w.Config.Types, Teams: teams}, teams
	return &life{Checker: c, world: w, caller: &transport.Caller{Limit: 1 << 20, Dial: Dial}}
}

// On implements standin.Ground.
func (l *life) On(t wire.TaskID, machine, typ, zone string, spot bool) (time.Duration, bool) {
	if started := l.world.opt.Started; started != nil {
		started(t)
	}
	return l.Checker.On(t, machine, typ, zone, spot)
}

// Done implements standin.Ground.
func (l *life) Done(t wire.TaskID) {
	l.Checker.Done(t)
	if l.Finished(t.Job) {
		l.world.users.ended(t.Job)
	}
}

// Look implements standin.Slow.
func (l *life) Look(ctx context.Context, t wire.TaskID) error {
	for try := 0; ; try++ {
		if _, known := l.Describe(t.Job); known {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, 3*time.Second)
		resp, err := l.caller.Call(call, l.world.Public((t.Index+try)%l.world.Config.Controllers), "GET", wire.PathJobs+"/"+t.Job+"/"+wire.WorkWord, nil)
		cancel()
		var j wire.Job
		switch {
		case err == nil && resp.Status == 200 && wire.Decode(resp.Body, &j) == nil:
			l.submitted(&j)
			return nil
		case err == nil && resp.Status == 404 && try > 2, ctx.Err() != nil, try > 30:
			return fmt.Errorf("job %s is not known", t.Job)
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// submitted takes in a job, once.
func (l *life) submitted(j *wire.Job) {
	if _, known := l.Describe(j.ID); known {
		return
	}
	run := max(100*time.Millisecond, j.Estimate())
	if j.Shape == wire.Service {
		run = 10_000 * time.Hour
	}
	l.Submitted(j, run)
}

// describe tells of a fault in a line.
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
