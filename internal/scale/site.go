package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// zones of a site.
var zones = []string{"z1", "z2", "z3", "z4", "z5"}

// site is a step's cluster with everything that runs in it.
type site struct {
	plan    *Plan
	step    Point
	cluster *emulator.Cluster
	config  *emulator.Config
	procs   *emulator.Processes
	agents  *agents
	users   *users
	dir     string
	stop    context.CancelFunc
}

// clusterOf returns the cluster of a step.
func clusterOf(p *Plan, step Point) *emulator.Config {
	slots := step[Tasks]
	hollow := wire.MachineType{Name: emulatedType, CPUs: slots, GPUs: slots, MemoryGB: 4 * slots, CacheGB: 100, FetchGBps: 10, Price: 4, SpotPrice: 1.5, BootS: 1, Zones: zones}
	c := emulator.DefaultConfig()
	c.Seed, c.Controllers, c.Zones, c.State = p.Seed, int(step[Controllers]), zones, p.State
	c.Types, c.CapacityByOffer, c.Teams = []wire.MachineType{hollow}, map[simulator.Offer]int{}, nil
	c.Workers = config.Workers{HeartbeatInterval: 6 * time.Second, Lease: 31 * time.Second, GangWait: 45 * time.Second, GangPeer: 4 * time.Second, Cancel: 56 * time.Second}
	c.Cloud = config.Cloud{RPS: 12, ListLag: 2 * time.Second}
	c.Limits = config.Limits{RAMBytes: 234 << 20, Files: 10_000}
	for i, zone := range zones {
		c.CapacityByOffer[simulator.Offer{Type: emulatedType, Zone: zone}] = (int(step[Workers]) + i) / len(zones)
	}
	for _, actions := range p.Agents {
		name := agentType(actions)
		c.Types = append(c.Types, wire.MachineType{Name: name, CPUs: float64(actions), MemoryGB: 4 * float64(actions), CacheGB: 100, FetchGBps: 10, Price: 4, SpotPrice: 1.5, BootS: 1, Zones: zones[:1]})
		c.CapacityByOffer[simulator.Offer{Type: name, Zone: zones[0]}] = 1
	}
	share := step[Workers] * step[Tasks] / step[Teams]
	for i := range int(step[Teams]) {
		c.Teams = append(c.Teams, config.Team{Name: teamName(i), GPUs: share / 2, GPUsMax: max(2*maxTasks, 3*share)})
	}
	return c
}

// tuning is the operators' file of every controller.
const tuning = "[machines]\nidle = 10m\n"

// openSite starts the cluster of a step and everything that runs in it.
func openSite(ctx context.Context, p *Plan, step Point, program string, port int) (s *site, err error) {
	s = &site{plan: p, step: step, config: clusterOf(p, step)}
	ctx, s.stop = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if s.dir, err = os.MkdirTemp("", "amberdeal-scale-*"); err != nil {
		return nil, fmt.Errorf("making a directory for the cluster: %w", err)
	}
	caller := &transport.Caller{MaxBody: 1 << 20, MaxIdle: 2 * maxOpen, Dial: emulator.Dial}
	s.users = newUsers(step, p.Seed, caller)
	s.agents = &agents{program: program, dir: s.dir, config: s.config, sizes: p.Agents, procs: map[string]*process{}}
	s.procs = &emulator.Processes{Program: program, Level: "error", Dir: s.dir, Tuning: tuning}
	s.procs.Begin(ctx)
	s.cluster, err = emulator.Start(ctx, s.config, emulator.Options{Port: port, Dir: s.dir, Log: slog.New(slog.DiscardHandler), Kill: s.procs.KillNamed, Pause: s.procs.PauseNamed,
		Machine: s.agents.machine, OnTaskStart: s.users.started})
	if err != nil {
		return nil, fmt.Errorf("starting the emulated cluster: %w", err)
	}
	s.users.cluster, s.agents.cluster = s.cluster, s.cluster
	if len(p.Agents) > 0 {
		if err := s.agents.startBlobs(ctx); err != nil {
			return nil, err
		}
		s.procs.Extra = s.buildTools
	}
	return s, s.startControllers(ctx, caller)
}

// buildTools is a controller's configuration of the remote execution API.
func (s *site) buildTools(i int) string {
	return fmt.Sprintf("[reapi]\nlisten = %s\ncas = %s\nteam = %s\ncpus = 1\nmemory_gb = 1\nspot = off\nestimate = %v\n", s.cluster.Builds(i), s.cluster.Blobs(), teamName(0), actionTime)
}

func (s *site) startControllers(ctx context.Context, caller *transport.Caller) error {
	s.procs.Settings, s.procs.Metrics = s.cluster.Settings, s.cluster.Metrics
	for i := range s.config.Controllers {
		if err := s.procs.Start(i); err != nil {
			return fmt.Errorf("starting controller %s: %w", controllerName(i), err)
		}
		s.users.addrs = append(s.users.addrs, s.cluster.Public(i))
	}
	if err := emulator.Ready(ctx, caller, s.users.addrs); err != nil {
		return fmt.Errorf("waiting for the controllers: %w", err)
	}
	return nil
}

// close ends everything that runs in a site.
func (s *site) close() {
	s.stop()
	if s.procs != nil {
		s.procs.Stop()
	}
	if s.cluster != nil {
		s.cluster.Stop()
	}
	if s.agents != nil {
		s.agents.stop()
	}
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

var errNoLeader = errors.New("no controller holds the fleet")

// leader returns the name of the fleet's leader.
func (s *site) leader() (string, error) {
	items := s.cluster.Page(store.LeaderKey("fleet"), 1)
	if len(items) == 0 {
		return "", errNoLeader
	}
	var rec store.LeaderRecord
	if err := wire.DecodeValue(items[0].Value, &rec); err != nil {
		return "", fmt.Errorf("decoding the leader record: %w", err)
	}
	return rec.Leader, nil
}

// reading is the state of a site at one time.
type reading struct {
	at       time.Time
	status   emulator.Status
	traffic  map[emulator.Direction]emulator.Flow
	used     map[string]usage // by controllers, by name
	agents   map[string]usage // by machine type
	startsAt int64
}

func (s *site) read() reading {
	r := reading{at: time.Now(), status: s.cluster.Status(), traffic: s.cluster.Traffic(), used: map[string]usage{}, agents: s.agents.usages(), startsAt: s.users.begun.Load()}
	for i := range s.config.Controllers {
		if pid := s.procs.PID(i); pid > 0 {
			if used, err := usageOf(pid); err == nil {
				r.used[controllerName(i)] = used
			}
		}
	}
	return r
}

func controllerName(i int) string { return fmt.Sprint("c-", i) }

func controllerNumber(name string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(name, "c-"))
	return n
}

func isController(end string) bool { return strings.HasPrefix(end, "c-") }
