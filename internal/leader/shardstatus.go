package leader

import (
	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/reachability"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/tier"
)

// ShardStatus is what the leader of a shard tells its peers of the shard, once a second. No safety rule rests on it:
// it says where work may find capacity, not which shard it belongs to.
//
// It goes over gob between controllers, which may be of different versions. Gob matches fields by their Go names: one that
// is renamed is dropped by the other version without an error. So the names of these fields, and of those of the types
// within, stay as they are; what they hold is mapped here, once, to the types that the code uses.
type ShardStatus struct {
	Term     uint64 // the leader's fencing token
	Counts   map[string]TaskCount
	Rooms    map[string]scheduler.FreeCapacity  // by class
	Wants    map[string]scheduler.QuotaDemand   // by team: work that its grant holds back
	Used     map[string][2]float64              // by team: CPUs and GPUs; read by UsedByTeam
	Stays    map[string]scheduler.Resources     // by team: what services use of that, or will use
	Zones    map[string]reachability.ZoneHealth // health of the shard's machines by zone
	Ready    []string                           // gangs over several shards for whose tasks here capacity is held
	Tiers    map[string]tier.Status
	Backlog  int // tasks that found no capacity
	Machines int
}

// resourcePairs gives amounts of CPUs and GPUs as the pairs that a status holds.
func resourcePairs(byTeam map[string]scheduler.Resources) map[string][2]float64 {
	out := make(map[string][2]float64, len(byTeam))
	for team, r := range byTeam {
		out[team] = [2]float64{r.CPUs, r.GPUs}
	}
	return out
}

// UsedByTeam gives what the tasks of each team use in the shard.
func (s ShardStatus) UsedByTeam() map[string]scheduler.Resources {
	out := make(map[string]scheduler.Resources, len(s.Used))
	for team, pair := range s.Used {
		out[team] = scheduler.Resources{CPUs: pair[0], GPUs: pair[1]}
	}
	return out
}

// quotaPeers gives what other shards say of their teams' quotas.
func quotaPeers(shards map[string]ShardStatus) []quota.Peer {
	out := make([]quota.Peer, 0, len(shards))
	for _, name := range sortedKeys(shards) {
		s := shards[name]
		out = append(out, quota.Peer{Shard: name, Used: s.UsedByTeam(), Demands: s.Wants, Services: s.Stays})
	}
	return out
}

// handoverPeers gives what other shards say that they could take.
func handoverPeers(shards map[string]ShardStatus) []handover.Peer {
	out := make([]handover.Peer, 0, len(shards))
	for _, name := range sortedKeys(shards) {
		s := shards[name]
		out = append(out, handover.Peer{Shard: name, Capacity: s.Rooms, ReadyGangs: s.Ready})
	}
	return out
}

// peerZones adds up the health of zones as the leaders of other shards see it.
func peerZones(shards map[string]ShardStatus) map[string]reachability.ZoneHealth {
	zones := make(map[string]reachability.ZoneHealth)
	for _, s := range shards {
		for name, r := range s.Zones {
			sum := zones[name]
			zones[name] = reachability.ZoneHealth{Up: sum.Up + r.Up, Quiet: sum.Quiet + r.Quiet}
		}
	}
	return zones
}
