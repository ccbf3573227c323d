package store

import (
	"strconv"
	"strings"
)

// Prefixes of the keys in the state service.
const (
	// CommonPrefix is the prefix of every key, so that a single watch covers all of them.
	CommonPrefix = "amberdeal"
	// StatePrefix is the prefix of every key outside the archive. A controller lists only
	// these keys when it starts.
	StatePrefix = CommonPrefix + "/"
	// ArchivePrefix is the prefix of the archive's blocks, which keep ended jobs permanently.
	ArchivePrefix = CommonPrefix + "-history/"
)

// Prefixes of the kinds that have any number of keys.
const (
	jobPrefix    = StatePrefix + "job/"
	batchPrefix  = StatePrefix + "batch/"
	ledgerPrefix = StatePrefix + "ledger/"
	leaderPrefix = StatePrefix + "part/"
	recentPrefix = StatePrefix + "recent/"
)

// Keys of the kinds that have a single key.
const (
	// FencingTokenKey holds the fleet-wide counter of fencing tokens.
	FencingTokenKey = StatePrefix + "term"
	// MachineTypesKey holds the machine types that the cloud last offered.
	MachineTypesKey = StatePrefix + "types"
	// SubmissionFenceKey is a condition of every submission: once it has advanced,
	// submissions sent before that are rejected.
	SubmissionFenceKey = StatePrefix + "gate"
	// ShardingKey holds how the fleet is divided into shards. If it is absent, there is a single shard.
	ShardingKey = StatePrefix + "grouping"
	// QuotaGrantKey holds the part of each team's quota that each shard may use.
	QuotaGrantKey = StatePrefix + "grant"
	// TiersKey holds a digest of the tier configuration. If it is absent, the default tiers apply.
	TiersKey = StatePrefix + "tiers"
	// FormatKey holds the version of the storage format.
	FormatKey = StatePrefix + "format"
)

// Kinds of keys, as returned by Kind.
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

// Kind returns the kind of a key: the first path element after StatePrefix, or KindArchive.
func Kind(key string) string {
	if strings.HasPrefix(key, ArchivePrefix) {
		return KindArchive
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, StatePrefix), "/")
	return kind
}

// JobKey returns the key of a single job in format 1.
func JobKey(id string) string { return jobPrefix + id }

// BatchKey returns the key of a batch, which holds jobs that were accepted together until all
// of them have ended. The version of this key orders the launch, cancellation and end of each
// of its jobs.
func BatchKey(name string) string { return batchPrefix + name }

// RecentKey returns the key of a block of ended jobs that are not archived yet.
func RecentKey(index int) string { return recentPrefix + strconv.Itoa(index) }

// SegmentKey returns the key of a segment of a ledger.
func SegmentKey(ledger string, segment int) string {
	return ledgerPrefix + ledger + "/" + strconv.Itoa(segment)
}

// LedgerName returns the name of a shard's ledger in a generation of the sharding. Each
// generation has its own ledgers, so that a leader never takes the ledger of an earlier
// generation's shard of the same name for its own.
func LedgerName(shard string, generation uint64) string {
	if generation == 0 {
		return shard
	}
	return shard + "@" + strconv.FormatUint(generation, 10)
}

// LeaderKey returns the key of a shard's leader record.
func LeaderKey(shard string) string { return leaderPrefix + shard }
