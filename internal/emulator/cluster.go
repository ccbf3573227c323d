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
	ports     portLayout
	rng       *rand.Rand
	fixture   *taskFixture
	replayer  *simulator.HeartbeatReplayer
	users     userFaults

	mu           sync.Mutex
	activeFaults map[int]*StagedFault
	faultCount   int
	usedPorts    map[int]bool // of machines
}

// Start starts a cluster and its timeline.
func Start(ctx context.Context, c *Config, opt Options) (*Cluster, error) {
	layout := newPortLayout(c.Controllers)
	if most := 65535 - layout.machines; opt.Port < 1024 || opt.Port > most {
		return nil, fmt.Errorf("port %d: must be from 1024 to %d", opt.Port, most)
	}
	w := &Cluster{Config: c, opt: opt, log: opt.Log, links: newLinks(), state: simulator.NewStateService(c.Seed, 0), startedAt: time.Now(),
		rng: rand.New(rand.NewPCG(c.Seed, 8)), activeFaults: map[int]*StagedFault{}, ports: layout, usedPorts: map[int]bool{}}
	if w.log == nil {
		w.log = slog.New(slog.DiscardHandler)
	}
	w.users.initialize(c.Seed)
	w.ctx, w.stop = context.WithCancel(ctx)
	w.state.Limits = simulator.StateLimits{RPS: c.State.RPS, WriteRPS: c.State.WriteRPS, ValueBytes: c.State.ValueBytes, TxnOps: c.State.TxnOps}
	if c.StateDelay > 0 {
		w.state.ResponseDelay = func() time.Duration { return c.StateDelay }
	}
	if err := w.restoreState(); err != nil {
		w.stop()
		return nil, err
	}
	w.createCloud()
	if err := errors.Join(w.listen(), w.writePlatformFiles()); err != nil {
		w.Stop()
		return nil, err
	}
	go w.fixture.WatchMachines(w.ctx, w.cloud)
	go w.runTimeline()
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

func (w *Cluster) zoneOf(i int) string { return w.Config.Zones[i%len(w.Config.Zones)] }

func (w *Cluster) controllerEndpoint(i int) endpoint {
	return endpoint{fmt.Sprint("c-", i), "controllers", w.zoneOf(i)}
}

var (
	stateEndpoint = endpoint{"state", "state", ""}
	cloudEndpoint = endpoint{"cloud", "cloud", ""}
)

// endpointAt returns the side at an address. Any caller of a machine is some controller.
func (w *Cluster) endpointAt(addr string) endpoint {
	for i := range w.Config.Controllers {
		if addr == w.Public(i) {
			return w.controllerEndpoint(i)
		}
	}
	return endpoint{"", "controllers", ""}
}

// listen opens every port of the cluster, or reports those that are in use.
func (w *Cluster) listen() error {
	var errs []error
	serve := func(offset int, me, peer endpoint, f transport.ServeConn) {
		lis, err := net.Listen("tcp4", w.addr(offset))
		if err != nil {
			errs = append(errs, err)
			return
		}
		h := host{w.links, me, func(string) endpoint { return peer }}
		go h.accept(w.ctx, lis, 512, func(c net.Conn) { f(w.ctx, w.links.wrap(c, me, peer)) })
	}
	for i := range w.Config.Controllers {
		c := w.controllerEndpoint(i)
		serve(w.ports.state+i, stateEndpoint, c, w.state.ServeCaller(c.name))
		serve(w.ports.cloud+i, cloudEndpoint, c, w.cloud.Serve())
		for k := range w.Config.Controllers {
			if k != i {
				serve(w.ports.peerLink(i, k), w.controllerEndpoint(k), c, w.relayTo(k))
			}
		}
	}
	serve(w.ports.control, endpoint{}, endpoint{}, w.serveControl())
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("ports are in use, choose others with --port:\n%w", err)
	}
	return nil
}

// relayTo relays a connection to a controller, in both directions as the rules allow.
func (w *Cluster) relayTo(to int) transport.ServeConn {
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

// Liveness returns the checker of whether jobs are forgotten.
func (w *Cluster) Liveness() *simulator.LivenessChecker { return &w.fixture.Liveness }

// Page lists keys of the state service.
func (w *Cluster) Page(prefix string, most int) []wire.KeyValue {
	return w.state.Page(prefix, "", most).Items
}
