package store

import (
	"strconv"
	"strings"
)

// StatePrefix begins every key of what amberdeal lives on, and History those of the
// blocks in which jobs that are over are kept for ever. Stem begins both, so that
// one watch follows them all; a controller that starts lists only the first.
const (
	CommonPrefix  = "amberdeal"
	StatePrefix   = CommonPrefix + "/"
	ArchivePrefix = CommonPrefix + "-history/"
)

// The kinds of keys.
const (
	jobPrefix    = StatePrefix + "job/"
	batchPrefix  = StatePrefix + "batch/"
	ledgerPrefix = StatePrefix + "ledger/"
	leaderPrefix = StatePrefix + "part/"
	recentPrefix = StatePrefix + "recent/"
	// FencingTokenKey holds the fleet-wide counter of terms.
	FencingTokenKey = StatePrefix + "term"
	// MachineTypesKey holds the machine types last seen.
	MachineTypesKey = StatePrefix + "types"
	// SubmissionFenceKey is a condition of every submission: once it has moved, none that
	// was sent before is taken any more.
	SubmissionFenceKey = StatePrefix + "gate"
	// ShardingKey says how the fleet is divided into parts; absent, it is one.
	ShardingKey = StatePrefix + "grouping"
	// QuotaGrantKey holds what each part may spend of the teams' limits.
	QuotaGrantKey = StatePrefix + "grant"
	// TiersKey says how the tiers of work are set; absent, they are the default.
	TiersKey = StatePrefix + "tiers"
	// FormatKey holds the form of the state.
	FormatKey = StatePrefix + "format"
)

// JobKey holds a job in the form of version 1.
func JobKey(id string) string { return jobPrefix + id }

// BatchKey holds jobs that were accepted together, until all of them are over:
// launch, cancel and done of a job are ordered by the version of this key.
func BatchKey(name string) string { return batchPrefix + name }

// RecentKey holds a block of jobs that are over, on their way into the history.
func RecentKey(n int) string { return recentPrefix + strconv.Itoa(n) }

// Kind names the kind of a key, for accounts of what is in the state service.
func Kind(key string) string {
	if strings.HasPrefix(key, ArchivePrefix) {
		return "history"
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(key, StatePrefix), "/")
	return kind
}

// SegmentKey holds a slot of a ledger.
func SegmentKey(ledger string, segment int) string {
	return ledgerPrefix + ledger + "/" + strconv.Itoa(segment)
}

// LedgerName names the ledger of a part in a state that was divided anew so many times. Each
// grouping has ledgers of its own, so that no holder takes another's for its own.
func LedgerName(shard string, generation uint64) string {
	if generation == 0 {
		return shard
	}
	return shard + "@" + strconv.FormatUint(generation, 10)
}

// LeaderKey holds the claim of a part.
func LeaderKey(shard string) string { return leaderPrefix + shard }
