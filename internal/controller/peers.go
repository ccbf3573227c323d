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
	// storeContactMaxAge is for how long a controller that has lost the state service still tells
	// its peers that the service answers.
	storeContactMaxAge = 15 * time.Second
)

// peerTracker detects failures among the peers and numbers the heartbeats to them.
type peerTracker struct {
	mu             sync.Mutex
	detector       *membership.Detector
	heartbeatsSent uint64 // heartbeats
}

// record takes in a peer's heartbeat.
func (t *peerTracker) record(s peer.Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detector.RecordHeartbeat(time.Now(), s.Name, s.StoreReachable, s.HeartbeatAges)
}

// next returns the number of the next heartbeat, and what it says about the peers.
func (t *peerTracker) nextHeartbeat() (number uint64, ages membership.HeartbeatAges) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeatsSent++
	return t.heartbeatsSent, t.detector.HeartbeatAges(time.Now())
}

// alive lists the live peers that reach the state service, in order.
func (t *peerTracker) alive(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.Alive(now)
}

// firstAlive reports whether a controller comes first among those that are alive.
func (t *peerTracker) firstAlive(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.FirstAlive(now, name)
}

// dead reports whether the peers agree that one of them is dead.
func (t *peerTracker) dead(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.detector.State(now, name) == membership.Dead
}

// localStatus is what this controller tells its peers.
func (c *Controller) localStatus() peer.Status {
	contact, failing := c.state.follow.LastContact()
	single := c.sharding.IsSingle()
	b := peer.Status{
		Name:            c.cfg.Name,
		Incarnation:     c.startedAt.UnixNano(),
		Uptime:          time.Since(c.startedAt),
		Format:          store.Format,
		Sharding:        c.sharding.String(),
		TiersDigest:     c.tiersDigest,
		StoreReachable:  !failing && time.Since(contact) < storeContactMaxAge,
		WritesForPeers:  true,
		OfferedMachines: c.ingest.gateway.Offered(),
		ForwardsTo:      c.ingest.uplinks.ForwardsTo(),
	}
	b.Sequence, b.HeartbeatAges = c.tracker.nextHeartbeat()
	b.Observations = c.observations()
	if !single {
		b.ConnectedLeaders, b.Shards = c.ingest.uplinks.ConnectedLeaders(), make(map[string]leader.ShardStatus)
	}
	for _, s := range c.led.all() {
		b.FencingToken = max(b.FencingToken, s.FencingToken())
		if single {
			b.TaskCounts = s.TaskCounts(time.Now())
		} else {
			b.Shards[s.tenure.Shard] = s.Status(time.Now())
		}
	}
	return b
}

// observations counts what this controller by itself knows of the machines of each zone.
func (c *Controller) observations() map[string]zone.Observation {
	now := time.Now()
	// A heartbeat that is late by two fifths of the interval is overdue.
	out := c.ingest.gateway.Observations(now, c.cfg.Workers.HeartbeatInterval*7/5)
	c.ingest.calls.addTo(now, out)
	return out
}

// shareObservations gives the leaders here what the peers know of the machines of each zone.
func (c *Controller) shareObservations() {
	observers, latest := make(map[string]zone.Observer), c.mesh.Latest(heartbeatMaxAge)
	for _, p := range c.cfg.Peers {
		if b, alive := latest[p.Name]; alive {
			observers[p.Name] = zone.Observer{Zone: p.Zone, Observations: b.Observations}
		}
	}
	for _, s := range c.led.all() {
		s.SetObservers(observers)
	}
}
