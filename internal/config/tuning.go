package config

import (
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/writers"
)

// Tuning holds the settings of the operators' file.
type Tuning struct {
	Lease               time.Duration // of a shard's leader in the state service
	RenewInterval       time.Duration // interval between renewals of that lease
	MaxRoundLaunches    int           // maximum number of launches in one scheduling round
	RoundWindow         time.Duration // maximum delay of changes that are not urgent, such as the removal of obsolete records
	IdleTimeout         time.Duration // after which an idle machine is released
	MaxGangWait         time.Duration // within which even the largest gangs should start, if the fleet has capacity for them
	HeartbeatTimeout    time.Duration // after which a machine counts as failed; 0 derives it from the heartbeat interval
	History             History
	MaxDirectHeartbeats int // number of machines up to which the leader receives all heartbeats directly
	Shards              Shards
	// Writers is the number of controllers that write the submissions of all. writers.Auto derives it from the number
	// of controllers; 0 means that each controller writes its own.
	Writers int
	Spread  map[string]*scheduler.SpreadRule // for services, by class
	Tiers   []tier.Tier                      // empty means the default order of priorities
	Metrics string                           // address that the metrics are served on; empty means none
	Reapi   Reapi
}

// Shards determines how the fleet is divided into shards, which each have a leader. By default it is one shard.
type Shards struct {
	By    string   // off, zone, type, or a number of shards to which the zones are assigned
	Types []string // machine types that are shards, if By is type
}

// Reapi holds the settings of the Remote Execution API for build tools. It is off if Listen is empty.
type Reapi struct {
	Listen, CASAddr string // addresses of the service, and of the content-addressable storage (amberdeal cas)
	MaxCalls        int    // maximum number of open calls and streams
	Team, Class     string
	Priority        string
	Image           string
	CPUs, GPUs      float64
	MemoryGB        float64
	Spot            bool
	Estimate        time.Duration
}

// History holds the settings for archiving ended jobs.
type History struct {
	Compact        bool          // whether ended jobs are moved from their keys into blocks
	Interval       time.Duration // interval between searches for ended jobs
	MaxWait        time.Duration // maximum time that a few ended jobs wait to be compacted together with others
	MergeThreshold int           // number of full recent blocks that are merged into the archive together
	CacheMB        int           // size of the cache of decoded blocks
	MaxBacklog     int           // number of ended jobs waiting for compaction above which no more jobs are accepted
}

// DefaultTuning returns the defaults of all settings of the operators' file.
func DefaultTuning() Tuning {
	return Tuning{
		Lease: 9 * time.Second, RenewInterval: 3 * time.Second,
		MaxRoundLaunches: 500, RoundWindow: 2 * time.Second,
		IdleTimeout: 25 * time.Second, MaxGangWait: 4 * time.Minute, MaxDirectHeartbeats: 200, Writers: writers.Auto,
		History: History{Compact: true, Interval: time.Second, MaxWait: 15 * time.Second, MergeThreshold: 4, CacheMB: 8, MaxBacklog: 20_000},
		Reapi:   Reapi{MaxCalls: 500, Class: "action", Priority: "normal", Image: "none", CPUs: 1, MemoryGB: 1, Spot: true, Estimate: time.Minute},
	}
}
