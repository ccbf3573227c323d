package config

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/writers"
)

// Tuning holds what the operators' file sets.
type Tuning struct {
	Lease            time.Duration // of a shard's leader in the state service
	Renew            time.Duration // interval between two renewals of that lease
	RoundTasks       int           // launches that one round may decide
	RoundWindow      time.Duration
	Idle             time.Duration // after which an idle machine is released
	BeginWithin      time.Duration // in which even the largest gangs should start, where they fit
	HeartbeatTimeout time.Duration // after which a machine counts as failed; 0 derives it from the heartbeat interval
	History          History
	DirectHeartbeats int // machines up to which the leader takes all heartbeats itself
	Shards           Shards
	Writers          int                              // controllers that write submissions for all; writers.Auto derives it from their number, 0 means that each writes its own
	Spread           map[string]*scheduler.SpreadRule // of services, by class
	Tiers            []tier.Tier                      // of work; empty means the default order
	Metrics          string                           // address that metrics are served on, if any
	Reapi            Reapi
}

// Shards says how the fleet is divided among leaders; by default it is one shard.
type Shards struct {
	By    string   // off, zone, type, or a number of shards to which the zones are assigned
	Types []string // the machine types that are shards, where it is divided by type
}

// Reapi holds the settings of the interface for build tools. It is off without an address.
type Reapi struct {
	Listen, Store string // addresses of the service, and of amberdeal cas
	Calls         int    // open calls and streams
	Team, Class   string
	Priority      string
	Image         string
	CPUs, GPUs    float64
	MemoryGB      float64
	Spot          bool
	Estimate      time.Duration
}

// History holds the settings of how ended jobs are archived.
type History struct {
	Compact bool          // whether ended jobs are moved from their keys into blocks
	Every   time.Duration // interval between two searches for ended jobs
	Wait    time.Duration // how long a few ended jobs wait to be compacted with others
	MergeAt int           // full recent blocks that are merged into the archive together
	CacheMB int           // of decoded blocks in memory
	Backlog int           // ended jobs that are not compacted yet, beyond which no more jobs are accepted
}

// DefaultTuning returns the values of all settings that the operators' file leaves out.
func DefaultTuning() Tuning {
	return Tuning{
		Lease: 9 * time.Second, Renew: 3 * time.Second,
		RoundTasks: 500, RoundWindow: 2 * time.Second,
		Idle: 25 * time.Second, BeginWithin: 4 * time.Minute, DirectHeartbeats: 200, Writers: writers.Auto,
		History: History{Compact: true, Every: time.Second, Wait: 15 * time.Second, MergeAt: 4, CacheMB: 8, Backlog: 20_000},
		Reapi:   Reapi{Calls: 500, Class: "action", Priority: "normal", Image: "none", CPUs: 1, MemoryGB: 1, Spot: true, Estimate: time.Minute},
	}
}
