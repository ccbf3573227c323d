package store

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ShardLedgers are the ledgers that a new leader of a shard reads: the shard's own ledger and
// those of earlier generations of the sharding.
type ShardLedgers struct {
	Name       string // name of the shard's own ledger
	Generation uint64 // generation of the sharding
	Own        []Segment
	Previous   []Segment
	// Migrated reports whether everything that the shard needs from the previous ledgers,
	// except the ownership of tasks, has been copied to its own ledger.
	Migrated bool
}

// ShardingState is the input for computing a new sharding: the current sharding, all ledgers,
// and which shards have a leader.
type ShardingState struct {
	Sharding         Versioned[ShardingRecord]
	FencingToken     Versioned[uint64]
	QuotaGrants      Versioned[QuotaGrantRecord]
	Format           FormatRecord
	LedgerNames      []string
	Segments         []Segment // of all ledgers
	ShardsWithLeader []string  // shards that have a leader
	Unreadable       []string  // keys of records that could not be decoded
}

// ShardLedgers decodes the ledgers that a new leader of a shard reads. A segment that can't be
// decoded is logged and treated as empty.
func (v *View) ShardLedgers(shard string) ShardLedgers {
	v.mu.Lock()
	defer v.mu.Unlock()
	sharding := v.fleet.sharding.Record
	name := LedgerName(shard, sharding.Generation)
	out := ShardLedgers{Name: name, Generation: sharding.Generation, Own: v.segmentsOf(name)}
	out.Migrated = len(sharding.PreviousLedgers) == 0 || v.segments.newestRecord(name).Migrated == sharding.Generation
	for _, previous := range sharding.PreviousLedgers {
		out.Previous = append(out.Previous, v.segmentsOf(previous)...)
	}
	return out
}

// segmentsOf decodes all segments of a ledger.
func (v *View) segmentsOf(ledger string) (out []Segment) {
	for key, raw := range v.segments {
		number, inLedger := strings.CutPrefix(key, ledgerPrefix+ledger+"/")
		if n, err := strconv.Atoi(number); inLedger && err == nil && n >= 0 {
			rec, _ := decodeRecord[SegmentRecord](&v.unreadable, key, raw.Record)
			out = append(out, Segment{n, raw.Version, rec})
		}
	}
	return out
}

// ownLedger returns the name of a shard's ledger in the current generation of the sharding.
func (v *View) ownLedger(shard string) string {
	return LedgerName(shard, v.fleet.sharding.Record.Generation)
}

// Migrated reports whether a shard has completed the migration from the ledgers of earlier
// generations to its own; see SegmentRecord.Migrated.
func (v *View) Migrated(shard string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.segments.newestRecord(v.ownLedger(shard)).Migrated == v.fleet.sharding.Record.Generation
}

// PreviousSegmentKeys lists, in order, the keys of the segments that belong to ledgers of earlier
// generations of the sharding.
func (v *View) PreviousSegmentKeys() (out []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key := range v.segments {
		if slices.Contains(v.fleet.sharding.Record.PreviousLedgers, ledgerOf(key)) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// ShardsWithLeader lists the shards that have a leader, and reports whether any ledger exists.
func (v *View) ShardsWithLeader() (shards []string, hasLedger bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.shardsWithLeader(), len(v.segments) > 0
}

// ShardingState returns the input for computing a new sharding. It decodes every ledger.
func (v *View) ShardingState() ShardingState {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := ShardingState{
		Sharding:         v.fleet.sharding,
		FencingToken:     v.fleet.fencingToken,
		QuotaGrants:      v.fleet.quotaGrants,
		Format:           v.fleet.format,
		LedgerNames:      v.segments.ledgerNames(),
		ShardsWithLeader: v.fleet.shardsWithLeader(),
	}
	for _, name := range s.LedgerNames {
		s.Segments = append(s.Segments, v.segmentsOf(name)...)
	}
	s.Unreadable = v.unreadable.keys() // complete only after all segments have been decoded
	return s
}

// Segment decodes the segment with the given key. It returns version 0 if the key is absent.
func (v *View) Segment(key string) (SegmentRecord, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	raw, ok := v.segments[key]
	if !ok {
		return SegmentRecord{}, 0
	}
	rec, _ := decodeRecord[SegmentRecord](&v.unreadable, key, raw.Record)
	return rec, raw.Version
}

// LedgerRevision returns the revision at which a shard's ledger was last written.
func (v *View) LedgerRevision(shard string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.segments.newest(v.ownLedger(shard)).Version
}

// DrainedThrough returns the revision up to which a shard is drained: it has no task left of any
// job that had ended by then. This stays true, because ended jobs are never started again.
func (v *View) DrainedThrough(shard string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.segments.newestRecord(v.ownLedger(shard)).DrainedThrough
}

// shardsWithLeader lists the shards that have a leader, in order.
func (r *fleetRecords) shardsWithLeader() []string { return slices.Sorted(maps.Keys(r.leaders)) }
