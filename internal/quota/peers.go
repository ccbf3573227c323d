package quota

import (
	"cmp"

	"amberdeal.example/amberdeal/internal/scheduler"
)

// Peer is another shard with the use of quotas that it has reported, by team.
type Peer struct {
	Shard    string
	Used     map[string]scheduler.Resources
	Demands  map[string]scheduler.QuotaDemand // work that waits for a larger grant
	Services map[string]scheduler.Resources   // usage of services, present and planned
}

// SetPeers sets what the other shards have reported. The peers must be sorted by shard.
func (q *Quota) SetPeers(peers []Peer) { q.peers = peers }

// mostUrgentPeer returns the most urgent demand of the other shards for a team's limits, and whether it takes
// precedence over this shard's own. Of two equally urgent demands, that of the shard whose name sorts first does.
func (q *Quota) mostUrgentPeer(team string) (most scheduler.QuotaDemand, found, first bool) {
	from := ""
	for i := range q.peers {
		p := &q.peers[i]
		if d := p.Demands[team]; d.IsPending() && (!found || d.Compare(most) < 0) {
			most, from, found = d, p.Shard, true
		}
	}
	return most, found, found && cmp.Or(most.Compare(q.forecast.Demands[team]), cmp.Compare(from, q.shard)) < 0
}
