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

// testbed is a step's cluster with everything that runs in it.
type testbed struct {
	plan          *Plan
	step          Point
	cluster       *emulator.Cluster
	clusterConfig *emulator.Config
	procs         *emulator.Processes
	agents        *agentPool
	loadGen       *loadGenerator
	dir           string
	stop          context.CancelFunc
}

// clusterConfig returns the cluster of a step.
func clusterConfig(p *Plan, step Point) *emulator.Config {
	slots := step[Tasks]
	hollow := wire.MachineType{Name: emulatedMachineType, CPUs: slots, GPUs: slots, MemoryGB: 4 * slots, CacheGB: 100, FetchGBps: 10, Price: 4, SpotPrice: 1.5, BootS: 1, Zones: zones}
	c := emulator.DefaultConfig()
	c.Seed, c.Controllers, c.Zones, c.State = p.Seed, int(step[Controllers]), zones, p.State
	c.Types, c.CapacityByOffer, c.Teams = []wire.MachineType{hollow}, map[simulator.Offer]int{}, nil
	c.Workers = config.Workers{HeartbeatInterval: 6 * time.Second, Lease: 31 * time.Second, GangWait: 45 * time.Second, GangPeer: 4 * time.Second, Cancel: 56 * time.Second}
	c.Cloud = config.Cloud{RPS: 12, ListLag: 2 * time.Second}
	c.Limits = config.Limits{RAMBytes: 234 << 20, Files: 10_000}
	for i, zone := range zones {
		c.CapacityByOffer[simulator.Offer{Type: emulatedMachineType, Zone: zone}] = (int(step[Workers]) + i) / len(zones)
	}
	for _, actions := range p.ActionsPerAgent {
		name := agentMachineType(actions)
		c.Types = append(c.Types, wire.MachineType{Name: name, CPUs: float64(actions), MemoryGB: 4 * float64(actions), CacheGB: 100, FetchGBps: 10, Price: 4, SpotPrice: 1.5, BootS: 1, Zones: zones[:1]})
		c.CapacityByOffer[simulator.Offer{Type: name, Zone: zones[0]}] = 1
	}
	share := step[Workers] * step[Tasks] / step[Teams]
	for i := range int(step[Teams]) {
		c.Teams = append(c.Teams, config.Team{Name: teamName(i), GPUs: share / 2, GPUsMax: max(2*maxTasksPerJob, 3*share)})
	}
	return c
}

// operatorSettings is the operators' file of every controller.
const operatorSettings = "[machines]\nidle = 10m\n"

// startTestbed starts the cluster of a step and everything that runs in it.
func startTestbed(ctx context.Context, p *Plan, step Point, program string, port int) (s *testbed, err error) {
	s = &testbed{plan: p, step: step, clusterConfig: clusterConfig(p, step)}
	ctx, s.stop = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			s.close()
		}
	}()
	if s.dir, err = os.MkdirTemp("", "amberdeal-scale-*"); err != nil {
		return nil, fmt.Errorf("making a directory for the cluster: %w", err)
	}
	caller := &transport.Caller{MaxBody: 1 << 20, MaxIdle: 2 * maxInFlight, Dial: emulator.Dial}
	s.loadGen = newLoadGenerator(step, p.Seed, caller)
	s.agents = &agentPool{program: program, dir: s.dir, config: s.clusterConfig, actionsPerAgent: p.ActionsPerAgent, procs: map[string]*process{}}
	s.procs = &emulator.Processes{Program: program, Level: "error", Dir: s.dir, Tuning: operatorSettings}
	s.procs.Begin(ctx)
	s.cluster, err = emulator.Start(ctx, s.clusterConfig, emulator.Options{Port: port, Dir: s.dir, Log: slog.New(slog.DiscardHandler), Kill: s.procs.KillNamed, Pause: s.procs.PauseNamed,
		Machine: s.agents.startMachine, OnTaskStart: s.loadGen.taskStarted})
	if err != nil {
		return nil, fmt.Errorf("starting the emulated cluster: %w", err)
	}
	s.loadGen.cluster, s.agents.cluster = s.cluster, s.cluster
	if len(p.ActionsPerAgent) > 0 {
		if err := s.agents.startBlobStore(ctx); err != nil {
			return nil, err
		}
		s.procs.Extra = s.remoteExecutionSettings
	}
	return s, s.startControllers(ctx, caller)
}

// remoteExecutionSettings is a controller's configuration of the remote execution API.
func (s *testbed) remoteExecutionSettings(i int) string {
	return fmt.Sprintf("[reapi]\nlisten = %s\ncas = %s\nteam = %s\ncpus = 1\nmemory_gb = 1\nspot = off\nestimate = %v\n", s.cluster.Builds(i), s.cluster.Blobs(), teamName(0), actionDuration)
}

func (s *testbed) startControllers(ctx context.Context, caller *transport.Caller) error {
	s.procs.Settings, s.procs.Metrics = s.cluster.Settings, s.cluster.Metrics
	for i := range s.clusterConfig.Controllers {
		if err := s.procs.Start(i); err != nil {
			return fmt.Errorf("starting controller %s: %w", controllerName(i), err)
		}
		s.loadGen.addrs = append(s.loadGen.addrs, s.cluster.Public(i))
	}
	if err := emulator.Ready(ctx, caller, s.loadGen.addrs); err != nil {
		return fmt.Errorf("waiting for the controllers: %w", err)
	}
	return nil
}

// close ends everything that runs in a site.
func (s *testbed) close() {
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
func (s *testbed) leader() (string, error) {
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

// sample is the state of a site at one time.
type sample struct {
	at           time.Time
	status       emulator.Status
	traffic      map[emulator.Direction]emulator.Flow
	controllers  map[string]processUsage // by controllers, by name
	agents       map[string]processUsage // by machine type
	startedTasks int64
}

func (s *testbed) takeSample() sample {
	r := sample{at: time.Now(), status: s.cluster.Status(), traffic: s.cluster.Traffic(), controllers: map[string]processUsage{}, agents: s.agents.usages(), startedTasks: s.loadGen.startedTasks.Load()}
	for i := range s.clusterConfig.Controllers {
		if pid := s.procs.PID(i); pid > 0 {
			if used, err := readProcessUsage(pid); err == nil {
				r.controllers[controllerName(i)] = used
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
