package store

import (
	"strconv"
	"strings"
)

// The prefixes of all keys.
const (
	// CommonPrefix begins every key, so that one watch follows them all.
	CommonPrefix = "amberdeal"
	// StatePrefix begins every key but those of the archive: a controller that starts
	// lists only these.
	StatePrefix = CommonPrefix + "/"
	// ArchivePrefix begins the keys of the archive's blocks, which keep ended jobs for good.
	ArchivePrefix = CommonPrefix + "-history/"
)

// The prefixes of kinds of which there are several keys.
const (
	jobPrefix    = StatePrefix + "job/"
	batchPrefix  = StatePrefix + "batch/"
	ledgerPrefix = StatePrefix + "ledger/"
	leaderPrefix = StatePrefix + "part/"
	recentPrefix = StatePrefix + "recent/"
)

// The keys of which there is only one.
const (
	// FencingTokenKey holds the fleet-wide counter of fencing tokens.
	FencingTokenKey = StatePrefix + "term"
	// MachineTypesKey holds the machine types last seen.
	MachineTypesKey = StatePrefix + "types"
	// SubmissionFenceKey is a condition of every submission: once it has advanced, no
	// submission that was sent before is accepted any more.
	SubmissionFenceKey = StatePrefix + "gate"
	// ShardingKey holds how the fleet is divided into shards; without it there is one.
	ShardingKey = StatePrefix + "grouping"
	// QuotaGrantKey holds what each shard may use of the teams' quotas.
	QuotaGrantKey = StatePrefix + "grant"
	// TiersKey holds how the tiers of work are configured; without it they are the default.
	TiersKey = StatePrefix + "tiers"
	// FormatKey holds the format of the state.
	FormatKey = StatePrefix + "format"
)

// The kinds of keys, as Kind returns them.
const (
	KindJob             = "job"
	KindBatch           = "batch"
	KindLedger          = "ledger"
	KindLeader          = "part"
	KindRecent          = "recent"
	KindArchive         = "history"
	KindFencingToken    = "term"
	KindMachineTypes    = "types"
	KindSubmissionFence = "gate"
	KindSharding        = "grouping"
	KindQuotaGrant      = "grant"
	KindTiers           = "tiers"
	KindFormat          = "format"
)

// Kind returns the kind of a key.
func Kind(key string) string {
	if strings.HasPrefix(key, ArchivePrefix) {
		return KindArchive
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, StatePrefix), "/")
	return kind
}

// JobKey is the key of a single job in format 1.
func JobKey(id string) string { return jobPrefix + id }

// BatchKey is the key of jobs that were accepted together, until all of them have ended.
// The version of this key orders launch, cancellation and end of each of its jobs.
func BatchKey(name string) string { return batchPrefix + name }

// RecentKey is the key of a block of ended jobs on their way into the archive.
func RecentKey(index int) string { return recentPrefix + strconv.Itoa(index) }

// SegmentKey is the key of a segment of a ledger.
func SegmentKey(ledger string, segment int) string {
	return ledgerPrefix + ledger + "/" + strconv.Itoa(segment)
}

// LedgerName names the ledger of a shard in a generation of the sharding. Each generation
// has ledgers of its own, so that no leader mistakes another shard's for its own.
func LedgerName(shard string, generation uint64) string {
	if generation == 0 {
		return shard
	}
	return shard + "@" + strconv.FormatUint(generation, 10)
}

// LeaderKey is the key of the record of a shard's leader.
func LeaderKey(shard string) string { return leaderPrefix + shard }
