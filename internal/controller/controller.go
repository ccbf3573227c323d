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
	cfg          *config.Config
	log          *slog.Logger
	net          transport.Network
	client       *store.Client
	view         *store.View
	follow       *store.Follower
	format       *store.FormatGuard
	history      *archive.Reader
	cloud        *cloud.Client
	workers      *worker.Client
	elector      *leadership.Elector
	peers        *peer.Mesh
	userAPI      *user.API
	admission    *admission.Service
	sharding     *fleet.Sharding
	router       *shard.Router
	uplinks      *ingest.Uplinks
	callThrottle *throttle.Limiter // of calls made for siblings
	receiver     *ingest.Receiver
	gateway      *ingest.Gateway
	forwarder    *forward.Client
	changed      chan struct{}
	startedAt    time.Time
	tiersDigest  string // how the tiers of work are set, in short

	mu              sync.Mutex
	detector        *membership.Detector
	heartbeatsSent  uint64                 // that were sent
	fencingCalls    zone.CallLog           // made for siblings
	ledgerWrites    map[string]ledgerWrite // by part
	led             map[string]*ledShard
	cloudTypes      []wire.MachineType
	partitionedAt   time.Time // when a claim was last given up for not hearing the machines
	shardStatuses   map[string]leader.ShardStatus
	shardStatusesAt time.Time
	shardMovedAt    time.Time    // when a part was last won, lost or given back
	writerChoice    writerChoice // who writes
}

// New makes a controller on a network; it opens nothing yet.
func New(network transport.Network, cfg *config.Config, log *slog.Logger) *Controller {
	c := &Controller{cfg: cfg, log: log, net: network, changed: make(chan struct{}, 1), startedAt: time.Now(),
		sharding: cfg.Sharding(), tiersDigest: cfg.Tiers().Digest(), led: make(map[string]*ledShard)}
	c.client = store.NewClient(network, cfg.StoreAddr, cfg.Store.RPS, cfg.Store.WriteRPS, store.EvenAllowance(len(cfg.Peers)+1), log)
	c.view = store.NewView(log)
	c.history = archive.NewReader(c.client, cfg.Tuning.History.CacheMB<<20/cfg.Store.ValueBytes, log)
	c.view.Archive = c.history
	c.follow = store.NewFollower(c.client, c.view, log)
	c.follow.WatchTimeout = store.WatchTimeoutFor(cfg.Workers.MaxCancelStaleness())
	c.cloud = cloud.New(network, cfg.CloudAddr, cfg.Cloud.RPS*0.85)
	c.workers = worker.NewClient(network, cfg.Limits.Files/16)
	state := leadership.State{Client: c.client, View: c.view, Follow: c.follow}
	gate := &leadership.SettingsGate{Sharding: c.sharding, TiersDigest: c.tiersDigest, Mismatch: c.configMismatch, State: state, Log: log}
	c.elector = leadership.NewElector(leadership.New(cfg.Name, cfg.Tuning.Lease, cfg.Tuning.Renew), gate, state, log)
	c.elector.ShouldCampaign, c.elector.OnChange = c.shouldCampaign, c.wake
	c.peers = &peer.Mesh{Peers: make(map[string]string), Local: c.localHeartbeat, Dial: network.Dial, Log: log, OnHeartbeat: c.recordHeartbeat}
	for _, sib := range cfg.Peers {
		c.peers.Peers[sib.Name] = sib.Addr
	}
	c.detector = membership.New(slices.Collect(maps.Keys(c.peers.Peers)))
	c.setUpIngest()
	c.format = &store.FormatGuard{Client: c.client, View: c.view, Follower: c.follow, Log: log, Shards: c.sharding.Shards(), GracePeriod: 3 * peer.Interval,
		OlderController: func() string { return c.peers.PeerWithOlderFormat(3*peer.Interval, store.Format) }}
	c.router = &shard.Router{Sharding: c.sharding, Statuses: c.statuses}
	c.admission = &admission.Service{Teams: cfg.Teams, View: c.view, Follow: c.follow, History: c.history, Log: log,
		Intake:       admission.NewIntake(c.client, fmt.Sprintf("%s-%d", cfg.Name, c.startedAt.UnixNano()), cfg.Store.ValueBytes),
		Canceller:    admission.NewCanceller(c.client, c.view, c.follow, cfg.Store.TxnOps),
		MachineTypes: c.machineTypes, Writable: c.writable, Route: c.route, MaxBacklog: cfg.Tuning.History.Backlog, OnChange: c.wake}
	c.admission.Intake.Prioritized = cfg.Tiers().InFirst
	c.setUpForwarding()
	c.userAPI = &user.API{Admission: c.admission, Log: log, Count: c.taskCounts, Ready: c.ready, StoreUnreachable: c.storeOutOfReach}
	return c
}

// Run serves until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	heartbeats := worker.Handler(c.gateway.HandleHeartbeat, c.log)
	connections := &transport.ConnLimit{Max: c.cfg.Limits.Files * 3 / 4}
	public := connections.Serve(transport.HTTP(wire.MaxBody, 90*time.Second, func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		if r.Path != wire.PathHeartbeat {
			resp := c.userAPI.Handle(ctx, r)
			resp.Close = resp.Close || connections.Full()
			return resp
		}
		// A worker that must come again costs more than one that stays, but one that
		// finds no socket costs most.
		resp := heartbeats(ctx, r)
		resp.Close = resp.Close || connections.Scarce()
		return resp
	}))
	g.Go(func() error { return c.listen(ctx, connections, public) })
	g.Go(func() error { return c.net.Listen(ctx, c.cfg.PeerAddr, 64, c.peers.Receive) })
	g.Go(func() error { return c.follow.Run(ctx) })
	g.Go(func() error { return c.follow.RunBarriers(ctx) })
	g.Go(func() error { return c.format.Run(ctx) })
	g.Go(func() error { return c.admission.Intake.Run(ctx) })
	g.Go(func() error { return c.admission.Canceller.Run(ctx) })
	if c.cfg.Tuning.Reapi.Listen != "" {
		g.Go(func() error { return c.serveBuilds(ctx) })
	}
	if addr := c.cfg.Tuning.Metrics; addr != "" {
		g.Go(func() error {
			return c.net.Listen(ctx, addr, 16, transport.HTTP(wire.MaxBody, 90*time.Second, c.operatorHandler()))
		})
	}
	g.Go(func() error { return c.forwarder.Run(ctx) })
	g.Go(func() error { return c.elector.Run(ctx) })
	g.Go(func() error { return c.uplinks.Run(ctx) })
	g.Go(func() error { return c.callThrottle.Run(ctx) })
	g.Go(func() error { return c.learnTypes(ctx) })
	g.Go(func() error { return c.manageShards(ctx) })
	g.Go(func() error { return c.watchLeaders(ctx) })
	for _, sib := range c.cfg.Peers {
		g.Go(func() error { return c.peers.SendHeartbeats(ctx, sib.Addr) })
	}
	c.log.Info("serving", "name", c.cfg.Name, "zone", c.cfg.Zone, "public", c.cfg.PublicAddr, "mesh", c.cfg.PeerAddr)
	return g.Wait()
}

// listen serves users and workers. Reports that can only be turned away are, before they
// are read.
func (c *Controller) listen(ctx context.Context, connections *transport.ConnLimit, serve transport.ServeConn) error {
	if t, ok := c.net.(transport.RejectingNetwork); ok {
		return t.ListenRejecting(ctx, c.cfg.PublicAddr, connections.Max, serve, c.gateway.RedirectUnread)
	}
	return c.net.Listen(ctx, c.cfg.PublicAddr, connections.Max, serve)
}

func (c *Controller) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// writable says whether this version may work on the state.
func (c *Controller) writable() bool {
	open, _ := c.format.Writable()
	return open
}
