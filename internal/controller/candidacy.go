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
	// preferredLeaderDelay is for how long a vacant shard is left to a peer that more workers
	// reach, or that leads fewer shards.
	preferredLeaderDelay = 4 * time.Second
	// minMissing is how many machines must be missing before this controller doubts its own links.
	minMissingMachines = 2
)

// candidacy decides for which shards this controller campaigns: for none that a peer can lead better.
type candidacy struct {
	cfg         *config.Config
	sharding    *fleet.Sharding
	tiersDigest string
	view        *store.View
	mesh        *peer.Mesh
	peers       *peerTracker
	startedAt   time.Time
	offered     func() int  // machines that send their heartbeats here
	operational func() bool // this controller can lead at all

	mu            sync.Mutex
	partitionedAt time.Time // when this controller last resigned because workers didn't reach it
}

// canLead reports whether this controller should campaign for a shard that has been vacant for
// some time. One that workers don't reach leaves it to one that they do.
func (a *candidacy) canLead(vacant time.Duration) bool {
	if !a.operational() {
		return false
	}
	local := a.offered()
	a.mu.Lock()
	if time.Since(a.partitionedAt) < 2*a.cfg.Workers.HeartbeatInterval {
		local = 0 // those heartbeats came before it resigned
	}
	a.mu.Unlock()
	for _, b := range a.mesh.Latest(peerHealthMaxAge) {
		if b.StoreReachable && b.OfferedMachines > 2*local+2 && vacant < preferredLeaderDelay {
			return false
		}
	}
	return true
}

// partitioned says why this controller should resign, or nothing. It should where many machines
// are missing here that send heartbeats to a peer which could lead, or where heartbeats only
// come by way of peers and calls to the machines fail: its links to the workers are down.
func (a *candidacy) partitioned(s *ledShard) (reason string) {
	now := time.Now()
	missing, uncallable := s.UnreachableMachines(now), s.CallsFailing(now)
	if missing < minMissingMachines && !uncallable {
		return ""
	}
	for name, b := range a.mesh.Latest(peerHealthMaxAge) {
		// A machine is not missing for want of a link where the peer forwards its heartbeats here.
		forwards := b.ForwardsTo == a.cfg.Name || slices.Contains(b.ConnectedLeaders, a.cfg.Name)
		cutOff := missing >= minMissingMachines && !forwards && b.OfferedMachines >= (missing+1)/2
		if b.StoreReachable && (cutOff || uncallable && b.OfferedMachines > 2*a.offered()) {
			a.mu.Lock()
			a.partitionedAt = now
			a.mu.Unlock()
			return "workers reach " + name + ", not this controller"
		}
	}
	return ""
}

// settingsMismatch names a peer with other settings of shards or tiers (known), or one that may be
// alive and has not sent a heartbeat yet.
func (a *candidacy) settingsMismatch() (name string, known bool) {
	latest := a.mesh.Latest(heartbeatMaxAge)
	for _, p := range a.cfg.Peers {
		b, alive := latest[p.Name]
		differs := alive && (b.Sharding != a.sharding.String() || b.TiersDigest != a.tiersDigest)
		mayBeStarting := !alive && time.Since(a.startedAt) < preferredLeaderDelay
		if differs || mayBeStarting {
			return p.Name, alive
		}
	}
	return "", true
}

// shouldCampaign reports whether this controller is to campaign for a shard that has been vacant
// for some time. Controllers that know the same of each other assign the shards alike.
func (a *candidacy) shouldCampaign(name string, vacant time.Duration) bool {
	if !a.canLead(vacant) {
		return false
	}
	if a.sharding.IsSingle() || vacant >= preferredLeaderDelay {
		return true
	}
	candidates := append(a.peerCandidates(), a.self())
	if time.Since(a.startedAt) < preferredLeaderDelay {
		candidates = a.addStartingPeers(candidates)
	}
	var vacantShards []shard.Shard
	for _, s := range a.sharding.Shards() {
		if _, led := a.view.Leader(s); !led {
			vacantShards = append(vacantShards, shard.Shard{Name: s, Zones: a.sharding.ZonesOf(s)})
		}
	}
	return shard.Assign(vacantShards, candidates, len(a.sharding.Shards()))[name] == a.cfg.Name
}

// addStartingPeers adds the peers without a heartbeat, which may just have been started too.
func (a *candidacy) addStartingPeers(candidates []shard.Controller) []shard.Controller {
	seen := make(map[string]bool)
	for _, c := range candidates {
		seen[c.Name] = true
	}
	for _, p := range a.cfg.Peers {
		if !seen[p.Name] {
			candidates = append(candidates, a.candidate(p.Name, p.Zone))
		}
	}
	return candidates
}

// candidates lists the live peers, which could lead shards.
func (a *candidacy) peerCandidates() (out []shard.Controller) {
	alive := a.peers.alive(time.Now())
	for _, p := range a.cfg.Peers {
		if slices.Contains(alive, p.Name) {
			out = append(out, a.candidate(p.Name, p.Zone))
		}
	}
	return out
}

func (a *candidacy) self() shard.Controller { return a.candidate(a.cfg.Name, a.cfg.Zone) }

func (a *candidacy) candidate(name, zone string) shard.Controller {
	return shard.Controller{Name: name, Zone: zone, Leads: a.shardsLedBy(name)}
}

// shardsLedBy counts the shards that a controller leads, by the state service.
func (a *candidacy) shardsLedBy(name string) (n int) {
	for _, s := range a.sharding.Shards() {
		if rec, led := a.view.Leader(s); led && rec.Record.Leader == name {
			n++
		}
	}
	return n
}
