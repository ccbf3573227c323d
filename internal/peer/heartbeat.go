package peer

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/zone"
)

// Heartbeat is a Status as it is sent, once every Interval. It is only used at the ends of a
// connection.
//
// gob matches fields by their Go names and drops what it doesn't know without an error: a field
// that is renamed here, or in a type that it holds, is lost between two versions. So these names
// never change; good names are in Status. New fields may be added: an older version ignores them,
// and leaves them zero in what it sends.
type Heartbeat struct {
	From    string
	StoreOK bool
	Term    uint64
	Counts  map[string]leader.TaskCount
	Heard   int
	Format  int
	Passes  string
	Ways    []string
	Groups  string
	Tiers   string
	Parts   map[string]leader.ShardStatus
	Says    membership.HeartbeatAges
	UpS     int // seconds
	Begun   int64
	Number  uint64
	Sights  map[string]zone.Observation
	Writes  bool
	Stream  string // in the first message of a connection: the kind of stream that follows; empty for heartbeats
}

// heartbeat returns a status as it is sent.
func (s *Status) heartbeat() Heartbeat {
	return Heartbeat{
		From:    s.Name,
		StoreOK: s.StoreReachable,
		Term:    s.FencingToken,
		Counts:  s.TaskCounts,
		Heard:   s.OfferedMachines,
		Format:  s.Format,
		Passes:  s.ForwardsTo,
		Ways:    s.ConnectedLeaders,
		Groups:  s.Sharding,
		Tiers:   s.TiersDigest,
		Parts:   s.Shards,
		Says:    s.HeartbeatAges,
		UpS:     int(s.Uptime.Seconds()),
		Begun:   s.Incarnation,
		Number:  s.Sequence,
		Sights:  s.Observations,
		Writes:  s.WritesForPeers,
	}
}

// status returns what a heartbeat says.
func (h *Heartbeat) status() Status {
	return Status{
		Name:             h.From,
		StoreReachable:   h.StoreOK,
		FencingToken:     h.Term,
		TaskCounts:       h.Counts,
		OfferedMachines:  h.Heard,
		Format:           h.Format,
		ForwardsTo:       h.Passes,
		ConnectedLeaders: h.Ways,
		Sharding:         h.Groups,
		TiersDigest:      h.Tiers,
		Shards:           h.Parts,
		HeartbeatAges:    h.Says,
		Uptime:           time.Duration(h.UpS) * time.Second,
		Incarnation:      h.Begun,
		Sequence:         h.Number,
		Observations:     h.Sights,
		WritesForPeers:   h.Writes,
	}
}
