package controller

import (
	"slices"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/peer"
	"amberdeal.example/amberdeal/internal/shard"
	"amberdeal.example/amberdeal/internal/store"
)

const (
	// preferredLeaderDelay is how long a vacant shard is left to a peer that more workers reach or
	// that leads fewer shards.
	preferredLeaderDelay = 4 * time.Second
	// minMissingMachines is how many machines must be missing before this controller suspects its own network
	// links.
	minMissingMachines = 2
)

// candidacy decides which shards this controller campaigns for. It leaves a shard to a peer that can lead it better.
type candidacy struct {
	cfg         *config.Config
	sharding    *fleet.Sharding
	tiersDigest string
	view        *store.View
	mesh        *peer.Mesh
	peers       *peerTracker
	startedAt   time.Time
	offered     func() int  // number of machines that send their heartbeats to this controller
	operational func() bool // whether this controller is able to lead any shard

	mu            sync.Mutex
	partitionedAt time.Time // when this controller last resigned because workers could not reach it
}

// canLead reports whether this controller may campaign for a shard that has been vacant for the
// given time. A controller that workers cannot reach leaves the shard to one that they can.
func (c *candidacy) canLead(vacant time.Duration) bool {
	if !c.operational() {
		return false
	}
	local := c.offered()
	c.mu.Lock()
	if time.Since(c.partitionedAt) < 2*c.cfg.Workers.HeartbeatInterval {
		local = 0 // these machines sent their heartbeats before this controller resigned
	}
	c.mu.Unlock()
	for _, status := range c.mesh.Latest(peerHealthMaxAge) {
		if status.StoreReachable && status.OfferedMachines > 2*local+2 && vacant < preferredLeaderDelay {
			return false
		}
	}
	return true
}

// partitioned returns the reason why this controller should resign, or "" if it should not. Its links
// to the workers are down if many of the machines whose heartbeats are missing here send them to a peer
// that could lead, or if heartbeats arrive only through peers and calls to the machines fail.
func (c *candidacy) partitioned(led *ledShard) (reason string) {
	now := time.Now()
	missing, uncallable := led.UnreachableMachines(now), led.CallsFailing(now)
	if missing < minMissingMachines && !uncallable {
		return ""
	}
	for name, status := range c.mesh.Latest(peerHealthMaxAge) {
		// If the peer forwards heartbeats to this controller, a broken link does not explain a missing machine.
		forwards := status.ForwardsTo == c.cfg.Name || slices.Contains(status.ConnectedLeaders, c.cfg.Name)
		cutOff := missing >= minMissingMachines && !forwards && status.OfferedMachines >= (missing+1)/2
		if status.StoreReachable && (cutOff || uncallable && status.OfferedMachines > 2*c.offered()) {
			c.mu.Lock()
			c.partitionedAt = now
			c.mu.Unlock()
			return "workers reach " + name + ", not this controller"
		}
	}
	return ""
}

// settingsMismatch returns the name of a peer whose sharding or tier settings differ (known is true),
// or of one that may be alive but has not sent a heartbeat yet (known is false). The name is empty if
// there is no such peer.
func (c *candidacy) settingsMismatch() (name string, known bool) {
	latest := c.mesh.Latest(heartbeatMaxAge)
	for _, p := range c.cfg.Peers {
		status, alive := latest[p.Name]
		differs := alive && (status.Sharding != c.sharding.String() || status.TiersDigest != c.tiersDigest)
		mayBeStarting := !alive && time.Since(c.startedAt) < preferredLeaderDelay
		if differs || mayBeStarting {
			return p.Name, alive
		}
	}
	return "", true
}

// shouldCampaign reports whether this controller should campaign for a shard that has been vacant
// for the given time. Controllers with the same view of each other compute the same assignment.
func (c *candidacy) shouldCampaign(name string, vacant time.Duration) bool {
	if !c.canLead(vacant) {
		return false
	}
	if c.sharding.IsSingle() || vacant >= preferredLeaderDelay {
		return true
	}
	candidates := append(c.peerCandidates(), c.self())
	if time.Since(c.startedAt) < preferredLeaderDelay {
		candidates = c.addStartingPeers(candidates)
	}
	var vacantShards []shard.Shard
	for _, s := range c.sharding.Shards() {
		if _, led := c.view.Leader(s); !led {
			vacantShards = append(vacantShards, shard.Shard{Name: s, Zones: c.sharding.ZonesOf(s)})
		}
	}
	return shard.Assign(vacantShards, candidates, len(c.sharding.Shards()))[name] == c.cfg.Name
}

// addStartingPeers adds the peers that have not sent a heartbeat: they may have just started too.
func (c *candidacy) addStartingPeers(candidates []shard.Controller) []shard.Controller {
	seen := make(map[string]bool)
	for _, candidate := range candidates {
		seen[candidate.Name] = true
	}
	for _, p := range c.cfg.Peers {
		if !seen[p.Name] {
			candidates = append(candidates, c.candidate(p.Name, p.Zone))
		}
	}
	return candidates
}

// peerCandidates returns the live peers, each of which could lead shards.
func (c *candidacy) peerCandidates() (out []shard.Controller) {
	alive := c.peers.alive(time.Now())
	for _, p := range c.cfg.Peers {
		if slices.Contains(alive, p.Name) {
			out = append(out, c.candidate(p.Name, p.Zone))
		}
	}
	return out
}

func (c *candidacy) self() shard.Controller { return c.candidate(c.cfg.Name, c.cfg.Zone) }

func (c *candidacy) candidate(name, zone string) shard.Controller {
	return shard.Controller{Name: name, Zone: zone, Leads: c.shardsLedBy(name)}
}

// shardsLedBy returns the number of shards that a controller leads according to the state service.
func (c *candidacy) shardsLedBy(name string) (n int) {
	for _, s := range c.sharding.Shards() {
		if rec, led := c.view.Leader(s); led && rec.Record.Leader == name {
			n++
		}
	}
	return n
}
