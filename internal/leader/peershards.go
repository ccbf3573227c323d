package leader

import (
	"amberdeal.example/amberdeal/internal/handover"
	"amberdeal.example/amberdeal/internal/quota"
	"amberdeal.example/amberdeal/internal/scheduler"
)

// ShardStatus goes over gob between controllers, whose versions match its fields by name and type. Here they are
// mapped to the types that the packages below use, once when a status is told.

// resourcePairs gives amounts of CPUs and GPUs as the pairs that a status holds.
func resourcePairs(byTeam map[string]scheduler.Resources) map[string][2]float64 {
	out := make(map[string][2]float64, len(byTeam))
	for team, r := range byTeam {
		out[team] = [2]float64{r.CPUs, r.GPUs}
	}
	return out
}

// quotaPeers gives what other shards say of their teams' quotas.
func quotaPeers(shards map[string]ShardStatus) []quota.Peer {
	out := make([]quota.Peer, 0, len(shards))
	for _, name := range sortedKeys(shards) {
		s := shards[name]
		p := quota.Peer{Shard: name, Used: make(map[string]scheduler.Resources, len(s.Used)), Demands: s.Wants, Services: s.Stays}
		for team, used := range s.Used {
			p.Used[team] = scheduler.Resources{CPUs: used[0], GPUs: used[1]}
		}
		out = append(out, p)
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
