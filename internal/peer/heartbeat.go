package peer

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/zone"
)

// Heartbeat is the wire format of Status, which is sent once every Interval. It is used only for
// encoding and decoding.
//
// gob matches fields by their Go names and drops unknown ones without an error. If a field is renamed
// here, or in a type that Heartbeat contains, its value is lost between versions, so these names must
// never change; Status has readable names. New fields may be added: older versions ignore them, and
// leave them zero in what they send.
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
	Stream  string // in the first message on a connection: the kind of stream that follows; empty for heartbeats
}

// heartbeat converts a status to its wire format.
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

// status converts a heartbeat from its wire format.
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
