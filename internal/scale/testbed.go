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

// zones are the zones of the emulated cluster.
var zones = []string{"z1", "z2", "z3", "z4", "z5"}

// testbed is the emulated cluster of a step with all processes and the load generator.
type testbed struct {
	plan          *Plan
	step          Point
	cluster       *emulator.Cluster
	clusterConfig *emulator.Config
	procs         *emulator.Processes
	agents        *agents
	loadGen       *loadGenerator
	dir           string
	stop          context.CancelFunc
}

// newClusterConfig returns the configuration of the emulated cluster of a step.
func newClusterConfig(p *Plan, step Point) *emulator.Config {
	slots := step[Tasks]
	workerType := wire.MachineType{Name: emulatedMachineType, CPUs: slots, GPUs: slots, MemoryGB: 4 * slots, CacheGB: 100, FetchGBps: 10, Price: 4, SpotPrice: 1.5, BootS: 1, Zones: zones}
	c := emulator.DefaultConfig()
	c.Seed, c.Controllers, c.Zones, c.State = p.Seed, int(step[Controllers]), zones, p.State
	c.Types, c.CapacityByOffer, c.Teams = []wire.MachineType{workerType}, map[simulator.Offer]int{}, nil
	c.Workers = config.Workers{HeartbeatInterval: 6 * time.Second, Lease: 31 * time.Second, GangStartTimeout: 45 * time.Second, GangPeerTimeout: 4 * time.Second, CancelTimeout: 56 * time.Second}
	c.Cloud = config.Cloud{RPS: 12, ListLag: 2 * time.Second}
	c.Limits = config.Limits{RAMBytes: 234 << 20, OpenFiles: 10_000}
	for i, zone := range zones {
		c.CapacityByOffer[simulator.Offer{Type: emulatedMachineType, Zone: zone}] = (int(step[Workers]) + i) / len(zones)
	}
	for _, actions := range p.ActionsPerAgent {
		typeName := agentMachineType(actions)
		c.Types = append(c.Types, wire.MachineType{Name: typeName, CPUs: float64(actions), MemoryGB: 4 * float64(actions), CacheGB: 100, FetchGBps: 10, Price: 4, SpotPrice: 1.5, BootS: 1, Zones: zones[:1]})
		c.CapacityByOffer[simulator.Offer{Type: typeName, Zone: zones[0]}] = 1
	}
	gpusPerTeam := step[Workers] * step[Tasks] / step[Teams]
	for i := range int(step[Teams]) {
		c.Teams = append(c.Teams, config.Team{Name: teamName(i), GPUs: gpusPerTeam / 2, GPUsMax: max(2*maxTasksPerJob, 3*gpusPerTeam)})
	}
	return c
}

// operatorSettings is the content of the operators' settings file of every controller.
const operatorSettings = "[machines]\nidle = 10m\n"

// startTestbed starts the emulated cluster of a step, its controllers and, if the plan has agents, the blob store.
func startTestbed(ctx context.Context, p *Plan, step Point, program string, port int) (t *testbed, err error) {
	t = &testbed{plan: p, step: step, clusterConfig: newClusterConfig(p, step)}
	ctx, t.stop = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			t.close()
		}
	}()
	if t.dir, err = os.MkdirTemp("", "amberdeal-scale-*"); err != nil {
		return nil, fmt.Errorf("creating a temporary directory for the cluster: %w", err)
	}
	caller := &transport.Client{MaxBody: 1 << 20, MaxIdle: 2 * maxInFlight, Dial: emulator.Dial}
	t.loadGen = newLoadGenerator(step, p.Seed, caller)
	t.agents = &agents{program: program, dir: t.dir, clusterConfig: t.clusterConfig, actionsPerAgent: p.ActionsPerAgent, procs: map[string]*process{}}
	t.procs = &emulator.Processes{Program: program, Level: "error", Dir: t.dir, OperatorSettings: operatorSettings}
	t.procs.Init(ctx)
	t.cluster, err = emulator.Start(ctx, t.clusterConfig, emulator.Options{Port: port, Dir: t.dir, Log: slog.New(slog.DiscardHandler), Kill: t.procs.KillNamed, Pause: t.procs.PauseNamed,
		Machine: t.agents.startMachine, OnTaskStart: t.loadGen.taskStarted})
	if err != nil {
		return nil, fmt.Errorf("starting the emulated cluster: %w", err)
	}
	t.loadGen.cluster, t.agents.cluster = t.cluster, t.cluster
	if len(p.ActionsPerAgent) > 0 {
		if err := t.agents.startBlobStore(ctx); err != nil {
			return nil, err
		}
		t.procs.ExtraSettings = t.remoteExecutionSettings
	}
	return t, t.startControllers(ctx, caller)
}

// remoteExecutionSettings returns the [reapi] section of a controller's settings.
func (t *testbed) remoteExecutionSettings(i int) string {
	return fmt.Sprintf("[reapi]\nlisten = %s\ncas = %s\nteam = %s\ncpus = 1\nmemory_gb = 1\nspot = off\nestimate = %v\n", t.cluster.RemoteExecutionAddr(i), t.cluster.BlobStoreAddr(), teamName(0), actionDuration)
}

func (t *testbed) startControllers(ctx context.Context, caller *transport.Client) error {
	t.procs.PlatformFile, t.procs.MetricsAddr = t.cluster.PlatformFile, t.cluster.MetricsAddr
	for i := range t.clusterConfig.Controllers {
		if err := t.procs.Start(i); err != nil {
			return fmt.Errorf("starting controller %s: %w", controllerName(i), err)
		}
		t.loadGen.addrs = append(t.loadGen.addrs, t.cluster.PublicAddr(i))
	}
	if err := emulator.WaitReady(ctx, caller, t.loadGen.addrs); err != nil {
		return fmt.Errorf("waiting for the controllers: %w", err)
	}
	return nil
}

// close stops everything that the testbed runs and removes its directory.
func (t *testbed) close() {
	t.stop()
	if t.procs != nil {
		t.procs.Stop()
	}
	if t.cluster != nil {
		t.cluster.Stop()
	}
	if t.agents != nil {
		t.agents.stop()
	}
	if t.dir != "" {
		_ = os.RemoveAll(t.dir)
	}
}

var errNoLeader = errors.New("the fleet has no leader")

// leader returns the name of the controller that leads the fleet.
func (t *testbed) leader() (string, error) {
	items := t.cluster.ListKeys(store.LeaderKey("fleet"), 1)
	if len(items) == 0 {
		return "", errNoLeader
	}
	var rec store.LeaderRecord
	if err := wire.DecodeValue(items[0].Value, &rec); err != nil {
		return "", fmt.Errorf("decoding the leader record: %w", err)
	}
	return rec.Leader, nil
}

// sample holds the counters of a testbed at one time.
type sample struct {
	at           time.Time
	status       emulator.Status
	traffic      map[emulator.Direction]emulator.Flow
	usage        map[string]processUsage // by controller name
	agents       map[string]processUsage // by machine type
	tasksStarted int64
}

func (t *testbed) takeSample() sample {
	r := sample{at: time.Now(), status: t.cluster.Status(), traffic: t.cluster.Traffic(), usage: map[string]processUsage{}, agents: t.agents.usages(), tasksStarted: t.loadGen.startedTasks.Load()}
	for i := range t.clusterConfig.Controllers {
		if pid := t.procs.PID(i); pid > 0 {
			if usage, err := readProcessUsage(pid); err == nil {
				r.usage[controllerName(i)] = usage
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
