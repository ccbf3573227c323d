package peer

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/zone"
)

// Status is what a controller says of itself. Heartbeat is its form on the wire.
type Status struct {
	Name string // of the controller
	// Incarnation is when the process started, in nanoseconds by its own clock; 0 from a version
	// that doesn't say it.
	Incarnation int64
	Sequence    uint64        // of the heartbeats of this incarnation
	Uptime      time.Duration // in whole seconds
	Format      int           // of the state that it writes, 0 for version 1
	// Sharding and TiersDigest tell its settings of shards and of tiers of work.
	Sharding    string
	TiersDigest string

	StoreReachable bool                     // the state service answers it
	HeartbeatAges  membership.HeartbeatAges // of the other controllers, as it receives them
	WritesForPeers bool                     // it takes submissions that are forwarded; false from a version that doesn't

	OfferedMachines int // that lately sent a heartbeat to it
	// ForwardsTo is the first leader that it forwards heartbeats to, empty for none, and
	// ConnectedLeaders all of them where the fleet has several shards.
	ForwardsTo       string
	ConnectedLeaders []string
	Observations     map[string]zone.Observation // of the machines, by zone

	FencingToken uint64                        // the highest of the shards that it leads, 0 for none
	TaskCounts   map[string]leader.TaskCount   // by job, from the leader of a fleet that is one shard
	Shards       map[string]leader.ShardStatus // that it leads, where there are several
}
