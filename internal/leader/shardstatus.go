package leader

import (
	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/tier"
)

// ShardStatus is the status of a shard that its leader sends to the peers once a second. Safety doesn't depend on it:
// it says where work may find capacity, not which shard the work belongs to.
//
// It is encoded with gob and exchanged between controllers, which may run different versions. Gob matches fields by
// their Go names, and silently drops a field that the other version has under another name. Therefore the names of
// these fields, and of the fields of the types that they hold, must not change. This file converts them to the types
// that the rest of the code uses.
type ShardStatus struct {
	Term     uint64 // the leader's fencing token
	Counts   map[string]TaskCount
	Rooms    map[string]scheduler.FreeCapacity  // by class: the shard's free capacity
	Wants    map[string]scheduler.QuotaDemand   // by team: demand that the shard's quota grant does not allow
	Used     map[string][2]float64              // by team: used CPUs and GPUs, see UsedByTeam
	Stays    map[string]scheduler.Resources     // by team: the part of Used that services use or are going to use
	Zones    map[string]reachability.ZoneHealth // health of the shard's machines by zone
	Ready    []string                           // gangs split over several shards, for whose local tasks capacity is reserved
	Tiers    map[string]tier.Status
	Backlog  int // number of tasks that found no capacity
	Machines int
}

// resourcePairs converts resources to the pairs of CPUs and GPUs that a ShardStatus holds.
func resourcePairs(byTeam map[string]scheduler.Resources) map[string][2]float64 {
	out := make(map[string][2]float64, len(byTeam))
	for team, r := range byTeam {
		out[team] = [2]float64{r.CPUs, r.GPUs}
	}
	return out
}

// UsedByTeam returns the resources that the tasks of each team use in the shard.
func (s ShardStatus) UsedByTeam() map[string]scheduler.Resources {
	out := make(map[string]scheduler.Resources, len(s.Used))
	for team, pair := range s.Used {
		out[team] = scheduler.Resources{CPUs: pair[0], GPUs: pair[1]}
	}
	return out
}

// quotaPeers extracts what the quota needs to know of the other shards, sorted by their names.
func quotaPeers(shards map[string]ShardStatus) []quota.Peer {
	out := make([]quota.Peer, 0, len(shards))
	for _, name := range sortedKeys(shards) {
		s := shards[name]
		out = append(out, quota.Peer{Shard: name, Used: s.UsedByTeam(), Demands: s.Wants, Services: s.Stays})
	}
	return out
}

// handoverPeers extracts the capacity that other shards offer for tasks of this one, sorted by their names.
func handoverPeers(shards map[string]ShardStatus) []handover.Peer {
	out := make([]handover.Peer, 0, len(shards))
	for _, name := range sortedKeys(shards) {
		s := shards[name]
		out = append(out, handover.Peer{Shard: name, Capacity: s.Rooms, ReadyGangs: s.Ready})
	}
	return out
}

// peerZoneHealth sums the zone health that the leaders of the other shards report.
func peerZoneHealth(shards map[string]ShardStatus) map[string]reachability.ZoneHealth {
	zones := make(map[string]reachability.ZoneHealth)
	for _, s := range shards {
		for name, health := range s.Zones {
			sum := zones[name]
			zones[name] = reachability.ZoneHealth{Up: sum.Up + health.Up, Quiet: sum.Quiet + health.Quiet}
		}
	}
	return zones
}
