// Package controller implements one controller process: it answers users, receives workers'
// heartbeats, takes part in leader elections, and leads the shards that it has won. The logic of each
// is in the packages that it imports; this package wires them together, and starts and stops the
// leaders of shards.
package controller

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/cloud"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/forward"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/shard"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/internal/user"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

const (
	// cloudRequestShare is the fraction of the cloud's request limit that a controller uses; the rest
	// is headroom.
	cloudRequestShare = 0.85
	// maxPeerConns and maxOperatorConns limit the connections of peers, and of clients that read metrics and status.
	maxPeerConns     = 64
	maxOperatorConns = 16
	// httpIdleTimeout is how long an HTTP connection may be idle.
	httpIdleTimeout = 90 * time.Second
)

// Controller is one controller process.
type Controller struct {
	cfg         *config.Config
	log         *slog.Logger
	net         transport.Network
	startedAt   time.Time
	sharding    *fleet.Sharding
	tiersDigest string        // identifies the tier settings
	changed     chan struct{} // wakes manageShards

	state   storeState
	cloud   *cloud.Client
	types   *machineTypes
	workers *worker.Client

	mesh    *peer.Mesh
	tracker *peerTracker
	health  *storeHealth

	elector   *leadership.Elector
	candidacy *candidacy
	failover  *failover
	led       *shardRegistry
	statuses  *statusCollector
	ingest    ingestion

	admission *admission.Service
	router    *shard.Router
	writers   *writerChooser
	forwarder *forward.Client
	users     *user.API
}

// storeState holds the client of the state service and the components that read through it.
type storeState struct {
	client  *store.Client
	view    *store.View
	follow  *store.Follower
	format  *store.FormatGuard
	history *archive.Reader
}

// New returns a controller on the given network. It opens no connections until Run is called.
func New(network transport.Network, cfg *config.Config, log *slog.Logger) *Controller {
	c := &Controller{cfg: cfg, log: log, net: network, startedAt: time.Now(), sharding: cfg.Sharding(), tiersDigest: cfg.Tiers().Digest(),
		changed: make(chan struct{}, 1), led: newShardRegistry()}
	c.openState()
	c.cloud = cloud.New(network, cfg.CloudAddr, cfg.Cloud.RPS*cloudRequestShare)
	c.types = &machineTypes{cloud: c.cloud, view: c.state.view, onChange: c.wake}
	c.workers = worker.NewClient(network, cfg.Limits.OpenFiles/16)
	c.setUpPeers()
	c.setUpElections()
	c.ingest = c.newIngestion()
	c.setUpAdmission()
	c.setUpForwarding()
	c.users = &user.API{Admission: c.admission, Log: log, CountTasks: c.statuses.taskCounts, Ready: c.ready, StoreUnreachable: c.storeUnreachable}
	return c
}

// openState creates the client of the state service and the components that read through it.
func (c *Controller) openState() {
	cfg, state := c.cfg, &c.state
	state.client = store.NewClient(c.net, cfg.StoreAddr, cfg.Store.RPS, cfg.Store.WriteRPS, store.EvenAllowance(len(cfg.Peers)+1), c.log)
	state.view = store.NewView(c.log)
	state.history = archive.NewReader(state.client, cfg.Tuning.History.CacheMB<<20/cfg.Store.ValueBytes, c.log)
	state.view.Archive = state.history
	state.follow = store.NewFollower(state.client, state.view, c.log)
	state.follow.WatchTimeout = store.WatchTimeoutFor(cfg.Workers.MaxCancelStaleness())
	state.format = &store.FormatGuard{Client: state.client, View: state.view, Follower: state.follow, Log: c.log, Shards: c.sharding.Shards(), GracePeriod: heartbeatMaxAge,
		OlderController: func() string { return c.mesh.PeerWithOlderFormat(heartbeatMaxAge, store.Format) }}
}

// setUpPeers creates the mesh to the peers and the components that rely on their heartbeats.
func (c *Controller) setUpPeers() {
	addrs := make(map[string]string, len(c.cfg.Peers))
	for _, p := range c.cfg.Peers {
		addrs[p.Name] = p.Addr
	}
	c.tracker = &peerTracker{detector: membership.New(slices.Collect(maps.Keys(addrs)))}
	c.mesh = &peer.Mesh{Peers: addrs, Local: c.localStatus, Dial: c.net.Dial, Log: c.log, OnHeartbeat: c.tracker.record}
	c.health = &storeHealth{view: c.state.view, follow: c.state.follow, mesh: c.mesh, peers: len(c.cfg.Peers), startedAt: c.startedAt}
	c.statuses = &statusCollector{sharding: c.sharding, mesh: c.mesh, led: c.led}
	c.writers = &writerChooser{self: c.cfg.Name, policy: c.cfg.Writers(), mesh: c.mesh, peers: c.tracker, health: c.health, leads: c.leads,
		reroute: func() { c.admission.Intake.Reroute() }}
}

// setUpElections creates the elector, which campaigns for shards, and the failover, which revokes the leases of dead
// leaders.
func (c *Controller) setUpElections() {
	cfg := c.cfg
	c.candidacy = &candidacy{cfg: cfg, sharding: c.sharding, tiersDigest: c.tiersDigest, view: c.state.view, mesh: c.mesh, peers: c.tracker, startedAt: c.startedAt,
		offered:     func() int { return c.ingest.gateway.OfferedMachines() },
		operational: func() bool { return c.types.get() != nil && c.writable() }}
	state := leadership.State{Client: c.state.client, View: c.state.view, Follow: c.state.follow}
	gate := &leadership.SettingsGate{Sharding: c.sharding, TiersDigest: c.tiersDigest, Mismatch: c.candidacy.settingsMismatch, State: state, Log: c.log}
	c.elector = leadership.NewElector(leadership.New(cfg.Name, cfg.Tuning.Lease, cfg.Tuning.RenewInterval), gate, state, c.log)
	c.elector.ShouldCampaign, c.elector.OnChange = c.candidacy.shouldCampaign, c.wake
	c.failover = &failover{self: cfg.Name, shards: c.sharding.Shards(), client: c.state.client, view: c.state.view, follow: c.state.follow, peers: c.tracker, log: c.log,
		ledgerWrites: make(map[string]ledgerWrite), deadSince: make(map[uint64]time.Time)}
}

// setUpAdmission creates the service that accepts and cancels jobs, and the router that assigns jobs to shards.
func (c *Controller) setUpAdmission() {
	cfg, state := c.cfg, &c.state
	c.router = &shard.Router{Sharding: c.sharding, Statuses: c.statuses.forRouting}
	c.admission = &admission.Service{Teams: cfg.Teams, View: state.view, Follower: state.follow, History: state.history, Log: c.log,
		Intake:       admission.NewIntake(state.client, fmt.Sprintf("%s-%d", cfg.Name, c.startedAt.UnixNano()), cfg.Store.ValueBytes),
		Canceller:    admission.NewCanceller(state.client, state.view, state.follow, cfg.Store.TxnOps),
		MachineTypes: c.types.get, Writable: c.writable, Route: c.route, MaxBacklog: cfg.Tuning.History.MaxBacklog, OnChange: c.wake}
	c.admission.Intake.Prioritized = cfg.Tiers().InFirstTier
}

// Run serves until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	run := func(f func(context.Context) error) { g.Go(func() error { return f(ctx) }) }
	run(c.servePublic)
	run(c.servePeers)
	run(c.state.follow.Run)
	run(c.state.follow.RunBarriers)
	run(c.state.format.Run)
	run(c.admission.Intake.Run)
	run(c.admission.Canceller.Run)
	if c.cfg.Tuning.Reapi.Listen != "" {
		run(c.serveBuildAPI)
	}
	if c.cfg.Tuning.Metrics != "" {
		run(c.serveOperators)
	}
	run(c.forwarder.Run)
	run(c.elector.Run)
	run(c.ingest.uplinks.Run)
	run(c.ingest.throttle.Run)
	run(c.types.run)
	run(c.manageShards)
	run(c.failover.run)
	for _, p := range c.cfg.Peers {
		run(func(ctx context.Context) error { return c.mesh.SendHeartbeats(ctx, p.Addr) })
	}
	c.log.Info("serving", "name", c.cfg.Name, "zone", c.cfg.Zone, "public", c.cfg.PublicAddr, "peers", c.cfg.PeerAddr)
	return g.Wait()
}

// servePublic serves users and workers. Where the network supports it, heartbeats that can only be
// redirected are answered before they are read.
func (c *Controller) servePublic(ctx context.Context) error {
	conns := &transport.ConnLimit{Max: c.cfg.Limits.OpenFiles * 3 / 4} // the rest is for peers, the state service and outgoing calls
	serve := conns.Serve(transport.HTTP(wire.MaxBodyBytes, httpIdleTimeout, c.publicHandler(conns)))
	if rejecting, ok := c.net.(transport.RejectingNetwork); ok {
		return rejecting.ListenRejecting(ctx, c.cfg.PublicAddr, conns.Max, serve, c.ingest.gateway.RedirectUnread)
	}
	return c.net.Listen(ctx, c.cfg.PublicAddr, conns.Max, serve)
}

// publicHandler returns the handler of requests from users and workers.
func (c *Controller) publicHandler(conns *transport.ConnLimit) transport.Handler {
	heartbeats := worker.HeartbeatHandler(c.ingest.gateway.HandleHeartbeat, c.log)
	return func(ctx context.Context, r *httpwire.Request) *httpwire.Response {
		if r.Path != wire.PathHeartbeat {
			resp := c.users.Handle(ctx, r)
			resp.Close = resp.Close || conns.Full()
			return resp
		}
		// A worker that has to reconnect costs more than one that stays connected, but one that
		// gets no connection at all costs most.
		resp := heartbeats(ctx, r)
		resp.Close = resp.Close || conns.Scarce()
		return resp
	}
}

// servePeers serves the streams of peers.
func (c *Controller) servePeers(ctx context.Context) error {
	return c.net.Listen(ctx, c.cfg.PeerAddr, maxPeerConns, c.mesh.Receive)
}

// serveOperators serves metrics and status.
func (c *Controller) serveOperators(ctx context.Context) error {
	return c.net.Listen(ctx, c.cfg.Tuning.Metrics, maxOperatorConns, transport.HTTP(wire.MaxBodyBytes, httpIdleTimeout, c.operatorHandler()))
}

// wake makes manageShards check the shards without waiting for its next interval.
func (c *Controller) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// writable reports whether this version of the software may write the state.
func (c *Controller) writable() bool {
	writable, _ := c.state.format.Writable()
	return writable
}
