package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Options configures Start.
type Options struct {
	Port    int    // first port on 127.0.0.1; the others follow it
	Dir     string // directory for the controllers' platform files and the persisted state
	Persist bool   // persist the content of the state service and resume from it at the next start
	Log     *slog.Logger
	// Pause suspends or resumes a controller, and Kill terminates one and restarts it after a delay.
	// Both are nil if this process has not started the controllers.
	Pause func(controller string, paused bool) error
	Kill  func(controller string, restartDelay time.Duration) error
	// Machine, if set, starts the software of a machine whose type is not emulated. It returns nil for
	// all other types, which get an emulated worker.
	Machine func(id, addr, typ, zone string, spot bool) simulator.Machine
	// OnTaskStart, if set, is called each time a task starts.
	OnTaskStart func(t wire.TaskID)
}

// Cluster is a running emulated cluster.
type Cluster struct {
	Config       *Config
	opt          Options
	log          *slog.Logger
	links        *links
	state        *simulator.StateService
	cloud        *simulator.Cloud
	ctx          context.Context
	stop         context.CancelFunc
	startedAt    time.Time
	ports        portLayout
	rng          *rand.Rand
	fixture      *taskFixture
	replayer     *simulator.HeartbeatReplayer
	users        userFaults
	lateCommands lateCommands
	persisting   sync.WaitGroup // the goroutine that persists the state

	mu           sync.Mutex
	activeFaults map[int]*StagedFault
	faultCount   int
	usedPorts    map[int]bool // ports of machines
}

// Start starts a cluster and the timeline of its faults.
func Start(ctx context.Context, c *Config, opt Options) (*Cluster, error) {
	layout := newPortLayout(c.Controllers)
	if maxPort := 65535 - layout.machines; opt.Port < 1024 || opt.Port > maxPort {
		return nil, fmt.Errorf("port %d: must be from 1024 to %d", opt.Port, maxPort)
	}
	cluster := &Cluster{Config: c, opt: opt, log: opt.Log, links: newLinks(), state: simulator.NewStateService(c.Seed, 0), startedAt: time.Now(),
		rng: rand.New(rand.NewPCG(c.Seed, 8)), activeFaults: map[int]*StagedFault{}, ports: layout, usedPorts: map[int]bool{}}
	if cluster.log == nil {
		cluster.log = slog.New(slog.DiscardHandler)
	}
	cluster.users.initialize(c.Seed)
	cluster.ctx, cluster.stop = context.WithCancel(ctx)
	cluster.state.Limits = simulator.StateLimits{RPS: c.State.RPS, WriteRPS: c.State.WriteRPS, ValueBytes: c.State.ValueBytes, TxnOps: c.State.TxnOps}
	if c.StateDelay > 0 {
		cluster.state.ResponseDelay = func() time.Duration { return c.StateDelay }
	}
	if err := cluster.restoreState(); err != nil {
		cluster.stop()
		return nil, err
	}
	cluster.createCloud()
	if err := errors.Join(cluster.listen(), cluster.writePlatformFiles()); err != nil {
		cluster.Stop()
		return nil, err
	}
	go cluster.fixture.WatchMachines(cluster.ctx, cluster.cloud)
	go cluster.runTimeline()
	return cluster, nil
}

// addr returns the address at an offset from the first port.
func (cluster *Cluster) addr(offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", cluster.opt.Port+offset)
}

// PublicAddr returns the address at which users and machines reach a controller.
func (cluster *Cluster) PublicAddr(i int) string { return cluster.addr(i) }

// ControlAddr returns the control address, which accepts faults and users' observations.
func (cluster *Cluster) ControlAddr() string { return cluster.addr(cluster.ports.control) }

// MetricsAddr returns the metrics address of a controller that this program starts.
func (cluster *Cluster) MetricsAddr(i int) string { return cluster.addr(cluster.ports.metrics + i) }

// RemoteExecutionAddr returns the address reserved for a controller's remote execution API.
func (cluster *Cluster) RemoteExecutionAddr(i int) string {
	return cluster.addr(cluster.ports.builds + i)
}

// BlobStoreAddr returns the address of the blob store for remote execution.
func (cluster *Cluster) BlobStoreAddr() string { return cluster.addr(cluster.ports.blobs) }

func (cluster *Cluster) zoneOf(i int) string {
	return cluster.Config.Zones[i%len(cluster.Config.Zones)]
}

func (cluster *Cluster) controllerEndpoint(i int) endpoint {
	return endpoint{fmt.Sprint("c-", i), "controllers", cluster.zoneOf(i)}
}

var (
	stateEndpoint = endpoint{"state", "state", ""}
	cloudEndpoint = endpoint{"cloud", "cloud", ""}
)

// endpointAt returns the endpoint at an address. Other addresses yield an unnamed controller, since only
// controllers connect to machines.
func (cluster *Cluster) endpointAt(addr string) endpoint {
	for i := range cluster.Config.Controllers {
		if addr == cluster.PublicAddr(i) {
			return cluster.controllerEndpoint(i)
		}
	}
	return endpoint{"", "controllers", ""}
}

// listen opens the ports of the state service, the cloud, the peer links and the control address. It reports all
// ports that are in use.
func (cluster *Cluster) listen() error {
	var errs []error
	serve := func(offset int, local, peer endpoint, handle transport.ServeConn) {
		lis, err := net.Listen("tcp4", cluster.addr(offset))
		if err != nil {
			errs = append(errs, err)
			return
		}
		h := host{cluster.links, local, func(string) endpoint { return peer }}
		go h.accept(cluster.ctx, lis, 512, func(c net.Conn) { handle(cluster.ctx, cluster.links.wrap(c, local, peer)) })
	}
	for i := range cluster.Config.Controllers {
		c := cluster.controllerEndpoint(i)
		serve(cluster.ports.state+i, stateEndpoint, c, cluster.state.ServeCaller(c.name))
		serve(cluster.ports.cloud+i, cloudEndpoint, c, cluster.cloud.Serve())
		for k := range cluster.Config.Controllers {
			if k != i {
				serve(cluster.ports.peerLink(i, k), cluster.controllerEndpoint(k), c, cluster.relayTo(k))
			}
		}
	}
	serve(cluster.ports.control, endpoint{}, endpoint{}, cluster.control())
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("ports are in use, choose others with --port:\n%w", err)
	}
	return nil
}

// relayTo returns a handler that relays connections to a controller. The link rules apply in both directions.
func (cluster *Cluster) relayTo(to int) transport.ServeConn {
	return func(ctx context.Context, in transport.Stream) {
		dialCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		var d net.Dialer
		out, err := d.DialContext(dialCtx, "tcp4", cluster.addr(cluster.ports.mesh+to))
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

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Stop stops the cluster and persists its state if Options.Persist is set.
func (cluster *Cluster) Stop() {
	cluster.stop()
	if cluster.cloud != nil {
		cluster.cloud.Stop()
	}
	cluster.persisting.Wait()
	if cluster.opt.Persist {
		cluster.persistState()
	}
}

// Liveness returns the checker that verifies that accepted jobs remain known to users.
func (cluster *Cluster) Liveness() *simulator.LivenessChecker { return &cluster.fixture.Liveness }

// ListKeys lists up to limit keys of the state service that have a prefix.
func (cluster *Cluster) ListKeys(prefix string, limit int) []wire.KeyValue {
	return cluster.state.Page(prefix, "", limit).Items
}
