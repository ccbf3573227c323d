package controller

import (
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/zone"
)

const (
	// heartbeatMaxAge is how old the last heartbeat of a live peer may be.
	heartbeatMaxAge = 3 * peer.Interval
	// storeContactMaxAge is how long a controller that has lost contact with the state service still
	// reports it to its peers as reachable.
	storeContactMaxAge = 15 * time.Second
)

// peerTracker detects failures of peers, and numbers the heartbeats that this controller sends to them.
type peerTracker struct {
	mu             sync.Mutex
	detector       *membership.Detector
	heartbeatsSent uint64
}

// record processes a peer's heartbeat.
func (t *peerTracker) record(status peer.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detector.RecordHeartbeat(time.Now(), status.Name, status.StoreReachable, status.HeartbeatAges)
}

// nextHeartbeat returns the sequence number of the next heartbeat and the heartbeat ages that it reports.
func (t *peerTracker) nextHeartbeat() (number uint64, ages membership.HeartbeatAges) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeatsSent++
	return t.heartbeatsSent, t.detector.HeartbeatAges(time.Now())
}

// alive returns the live peers that reach the state service, in order.
func (t *peerTracker) alive(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.Alive(now)
}

// firstAlive reports whether the named controller is the first of the live ones.
func (t *peerTracker) firstAlive(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.FirstAlive(now, name)
}

// dead reports whether the controllers agree that a peer is dead.
func (t *peerTracker) dead(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.State(now, name) == membership.Dead
}

// localStatus returns the status that this controller sends to its peers.
func (c *Controller) localStatus() peer.Status {
	contact, failing := c.state.follow.LastContact()
	single := c.sharding.IsSingle()
	status := peer.Status{
		Name:            c.cfg.Name,
		Incarnation:     c.startedAt.UnixNano(),
		Uptime:          time.Since(c.startedAt),
		Format:          store.Format,
		Sharding:        c.sharding.String(),
		TiersDigest:     c.tiersDigest,
		StoreReachable:  !failing && time.Since(contact) < storeContactMaxAge,
		WritesForPeers:  true,
		OfferedMachines: c.ingest.gateway.OfferedMachines(),
		ForwardsTo:      c.ingest.uplinks.ForwardsTo(),
	}
	status.Sequence, status.HeartbeatAges = c.tracker.nextHeartbeat()
	status.Observations = c.observations()
	if !single {
		status.ConnectedLeaders, status.Shards = c.ingest.uplinks.ConnectedLeaders(), make(map[string]leader.ShardStatus)
	}
	for _, s := range c.led.all() {
		status.FencingToken = max(status.FencingToken, s.FencingToken())
		if single {
			status.TaskCounts = s.TaskCounts(time.Now())
		} else {
			status.Shards[s.tenure.Shard] = s.Status(time.Now())
		}
	}
	return status
}

// observations returns this controller's own observations of the machines in each zone.
func (c *Controller) observations() map[string]zone.Observation {
	now := time.Now()
	// A heartbeat is overdue once it is late by two fifths of the interval.
	out := c.ingest.gateway.Observations(now, c.cfg.Workers.HeartbeatInterval*7/5)
	c.ingest.calls.addTo(now, out)
	return out
}

// shareObservations passes the peers' observations of the machines in each zone to the leaders on this controller.
func (c *Controller) shareObservations() {
	observers, latest := make(map[string]zone.Observer), c.mesh.Latest(heartbeatMaxAge)
	for _, p := range c.cfg.Peers {
		if status, alive := latest[p.Name]; alive {
			observers[p.Name] = zone.Observer{Zone: p.Zone, Observations: status.Observations}
		}
	}
	for _, s := range c.led.all() {
		s.SetObservers(observers)
	}
}
