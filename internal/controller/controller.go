// Package controller is what one controller does: it answers users, takes the reports of
// workers, keeps its claim, and holds the parts of the fleet that it has won. What it
// does is in the packages below; this one wires them and starts and ends the duties.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/cloud"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/forward"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/ingest"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/shard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/internal/user"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/wire"
)

// Controller is one controller.
type Controller struct {
	cfg       *config.Config
	log       *slog.Logger
	net       transport.Network
	client    *store.Client
	view      *store.View
	follow    *store.Follower
	format    *store.Formatter
	history   *archive.Reader
	cloud     *cloud.Client
	workers   *worker.Client
	keeper    *leadership.Keeper
	mesh      *peer.Mesh
	desk      *user.Desk
	admission *admission.Service
	group     *fleet.Grouping
	router    *shard.Router
	edge      *ingest.Edges
	pace      *throttle.Pace // of calls made for siblings
	hub       *ingest.Hub
	reception *ingest.Reception
	forward   *forward.Client
	changed   chan struct{}
	begun     time.Time
	tiers     string // how the tiers of work are set, in short

	mu      sync.Mutex
	members *membership.List
	beats   uint64             // that were sent
	calls   zone.Calls         // made for siblings
	written map[string]written // by part
	holders map[string]*holding
	types   []wire.MachineType
	deaf    time.Time // when a claim was last given up for not hearing the machines
	stands  map[string]leader.PartStatus
	stood   time.Time
	moved   time.Time // when a part was last won, lost or given back
	chosen  chosen    // who writes
}

// New makes a controller on a network; it opens nothing yet.
func New(network transport.Network, cfg *config.Config, log *slog.Logger) *Controller {
	c := &Controller{cfg: cfg, log: log, net: network, changed: make(chan struct{}, 1), begun: time.Now(),
		group: cfg.Grouping(), tiers: cfg.Tiers().Digest(), holders: make(map[string]*holding)}
	c.client = store.NewClient(network, cfg.StoreAddr, cfg.Store.RPS, cfg.Store.WriteRPS, store.EvenAllowance(len(cfg.Siblings)+1), log)
	c.view = store.NewView(log)
	c.history = archive.NewReader(c.client, cfg.Tuning.History.CacheMB<<20/cfg.Store.ValueBytes, log)
	c.view.Blocks = c.history
	c.follow = store.NewFollower(c.client, c.view, log)
	c.follow.Watch = store.WatchFor(cfg.Workers.Linger())
	c.cloud = cloud.New(network, cfg.CloudAddr, cfg.Cloud.RPS*0.85)
	c.workers = worker.NewClient(network, cfg.Limits.Files/16)
	c.keeper = &leadership.Keeper{
		Claim: leadership.New(cfg.Name, cfg.Tuning.Lease, cfg.Tuning.Renew),
		Group: c.group, Tiers: c.tiers, Client: c.client, View: c.view, Follow: c.follow, Log: log,
		Ready: c.claims, Changed: c.wake, Agreed: c.agreed,
	}
	c.mesh = &peer.Mesh{Siblings: make(map[string]string), Beat: c.beat, Dial: network.Dial, Log: log, Heard: c.heard}
	for _, sib := range cfg.Siblings {
		c.mesh.Siblings[sib.Name] = sib.Addr
	}
	c.members = membership.New(slices.Collect(maps.Keys(c.mesh.Siblings)))
	c.passReports()
	c.format = &store.Formatter{Client: c.client, View: c.view, Follow: c.follow, Log: log, Parts: c.group.Parts(), Patience: 3 * peer.Every,
		Older: func() string { return c.mesh.Older(3*peer.Every, store.Format) }}
	c.router = &shard.Router{Group: c.group, Statuses: c.statuses}
	c.admission = &admission.Service{Teams: cfg.Teams, View: c.view, Follow: c.follow, History: c.history, Log: log,
		Intake: admission.NewIntake(c.client, fmt.Sprintf("%s-%d", cfg.Name, c.begun.UnixNano()), cfg.Store.ValueBytes),
		Closer: admission.NewCloser(c.client, c.view, c.follow, cfg.Store.TxnOps),
		Types:  c.machineTypes, Open: c.open, Route: c.route, Backlog: cfg.Tuning.History.Backlog, Accepted: c.wake}
	c.admission.Intake.First = cfg.Tiers().First
	c.forwardWrites()
	c.desk = &user.Desk{Admission: c.admission, Log: log, Count: c.count, Ready: c.ready, Vain: c.vain}
	return c
}

// Run serves until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	answer := worker.Handler(c.reception.Report, c.log)
	room := &transport.Room{Most: c.cfg.Limits.Files * 3 / 4}
	public := room.Serve(transport.HTTP(wire.MaxBody, 90*time.Second, func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		if r.Path != wire.PathReport {
			resp := c.desk.Handle(ctx, r)
			resp.Close = resp.Close || room.Full()
			return resp
		}
		// A worker that must come again costs more than one that stays, but one that
		// finds no socket costs most.
		resp := answer(ctx, r)
		resp.Close = resp.Close || room.Scarce()
		return resp
	}))
	g.Go(func() error { return c.listen(ctx, room, public) })
	g.Go(func() error { return c.net.Listen(ctx, c.cfg.MeshAddr, 64, c.mesh.Receive) })
	g.Go(func() error { return c.follow.Run(ctx) })
	g.Go(func() error { return c.follow.RunBarriers(ctx) })
	g.Go(func() error { return c.format.Run(ctx) })
	g.Go(func() error { return c.admission.Intake.Run(ctx) })
	g.Go(func() error { return c.admission.Closer.Run(ctx) })
	if c.cfg.Tuning.Reapi.Listen != "" {
		g.Go(func() error { return c.serveBuilds(ctx) })
	}
	if addr := c.cfg.Tuning.Metrics; addr != "" {
		g.Go(func() error {
			return c.net.Listen(ctx, addr, 16, transport.HTTP(wire.MaxBody, 90*time.Second, c.operate()))
		})
	}
	g.Go(func() error { return c.forward.Run(ctx) })
	g.Go(func() error { return c.keeper.Run(ctx) })
	g.Go(func() error { return c.edge.Run(ctx) })
	g.Go(func() error { return c.pace.Run(ctx) })
	g.Go(func() error { return c.learnTypes(ctx) })
	g.Go(func() error { return c.manage(ctx) })
	g.Go(func() error { return c.watchHolders(ctx) })
	for _, sib := range c.cfg.Siblings {
		g.Go(func() error { return c.mesh.Send(ctx, sib.Addr) })
	}
	c.log.Info("serving", "name", c.cfg.Name, "zone", c.cfg.Zone, "public", c.cfg.PublicAddr, "mesh", c.cfg.MeshAddr)
	return g.Wait()
}

// listen serves users and workers. Reports that can only be turned away are, before they
// are read.
func (c *Controller) listen(ctx context.Context, room *transport.Room, serve transport.ServeConn) error {
	if t, ok := c.net.(transport.Turner); ok {
		return t.ListenTurning(ctx, c.cfg.PublicAddr, room.Most, serve, c.reception.Turn)
	}
	return c.net.Listen(ctx, c.cfg.PublicAddr, room.Most, serve)
}

func (c *Controller) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// open says whether this version may work on the state.
func (c *Controller) open() bool {
	open, _ := c.format.Open()
	return open
}

// learnTypes reads the machine types until they are known, from the cloud or,
// while that is out, from the store.
func (c *Controller) learnTypes(ctx context.Context) error {
	for ctx.Err() == nil {
		if types, err := c.cloud.Types(ctx); err == nil {
			c.mu.Lock()
			c.types = types
			c.mu.Unlock()
			c.wake()
			store.Pause(ctx, 2*time.Minute)
			continue
		}
		store.Pause(ctx, 300*time.Millisecond)
	}
	return nil
}

func (c *Controller) machineTypes() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.types == nil {
		return c.view.Types()
	}
	return c.types
}
