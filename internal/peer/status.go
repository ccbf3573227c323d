package peer

import (
	"time"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/membership"
	"amberdeal.example/amberdeal/internal/zone"
)

// Status is what a controller reports about itself. Heartbeat is its wire format.
type Status struct {
	Name string // of the controller
	// Incarnation is the process's start time in nanoseconds by its own clock; 0 from a version that
	// does not send it.
	Incarnation int64
	Sequence    uint64        // increases with each heartbeat of an incarnation
	Uptime      time.Duration // in whole seconds
	Format      int           // of the state that it writes; 0 for version 1
	// Sharding and TiersDigest identify its settings for shards and for tiers of work.
	Sharding    string
	TiersDigest string

	StoreReachable bool                     // it gets answers from the state service
	HeartbeatAges  membership.HeartbeatAges // of the heartbeats that it receives from other controllers
	WritesForPeers bool                     // it accepts forwarded submissions; false from a version that does not

	OfferedMachines int // number of machines that recently sent it a heartbeat, including redirected ones
	// ForwardsTo is the first leader that it forwards heartbeats to, or empty. ConnectedLeaders lists
	// all of them if the fleet has several shards.
	ForwardsTo       string
	ConnectedLeaders []string
	Observations     map[string]zone.Observation // of machines, by zone

	FencingToken uint64                        // the highest one of the shards that it leads; 0 for none
	TaskCounts   map[string]leader.TaskCount   // by job; sent by the leader of a fleet with a single shard
	Shards       map[string]leader.ShardStatus // that it leads, if the fleet has several
}
