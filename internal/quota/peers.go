package quota

import (
	"cmp"

	"amberdeal.example/amberdeal/internal/scheduler"
)

// Peer is what another shard says of its use of the teams' limits, by team.
type Peer struct {
	Shard    string
	Used     map[string]scheduler.Resources
	Demands  map[string]scheduler.QuotaDemand
	Services map[string]scheduler.Resources
}

// SetPeers takes in what the other shards say, sorted by name.
func (q *Quota) SetPeers(peers []Peer) { q.peers = peers }

// mostUrgentPeer gives the most urgent demand of the other shards for a team's limits, and whether it goes
// before this shard's own. Of two that are as urgent, that of the shard with the lesser name does.
func (q *Quota) mostUrgentPeer(team string) (most scheduler.QuotaDemand, asked, first bool) {
	from := ""
	for i := range q.peers {
		p := &q.peers[i]
		if d := p.Demands[team]; d.IsPending() && (!asked || d.Compare(most) < 0) {
			most, from, asked = d, p.Shard, true
		}
	}
	return most, asked, asked && cmp.Or(most.Compare(q.forecast.Demands[team]), cmp.Compare(from, q.shard)) < 0
}
