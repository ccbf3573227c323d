package store

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ShardLedgers are the ledgers that a new leader of a shard reads: the shard's own, and
// those of earlier shardings.
type ShardLedgers struct {
	Name       string // of the shard's own ledger
	Generation uint64 // of the sharding
	Own        []Segment
	Previous   []Segment
	// Migrated says that the own ledger has taken over everything that the shard needs of
	// the previous ones, but for the ownership of tasks.
	Migrated bool
}

// ShardingState is what a new sharding is computed from: the sharding so far, all ledgers,
// and which shards have a leader.
type ShardingState struct {
	Sharding     Versioned[ShardingRecord]
	FencingToken Versioned[uint64]
	QuotaGrants  Versioned[QuotaGrantRecord]
	Format       FormatRecord
	LedgerNames  []string
	Segments     []Segment // of all ledgers
	LedShards    []string  // shards that have a leader
	Unreadable   []string  // keys of records that could not be decoded
}

// ShardLedgers reads the ledgers of a shard; a segment that can't be decoded is logged and
// counts as empty.
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
		number, mine := strings.CutPrefix(key, ledgerPrefix+ledger+"/")
		if n, err := strconv.Atoi(number); mine && err == nil && n >= 0 {
			rec, _ := decodeRecord[SegmentRecord](&v.unreadable, key, raw.Record)
			out = append(out, Segment{n, raw.Version, rec})
		}
	}
	return out
}

// ownLedger names the ledger of a shard in the present sharding.
func (v *View) ownLedger(shard string) string {
	return LedgerName(shard, v.fleet.sharding.Record.Generation)
}

// Migrated reports whether a shard's ledger has taken over what those of earlier shardings say.
func (v *View) Migrated(shard string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.segments.newestRecord(v.ownLedger(shard)).Migrated == v.fleet.sharding.Record.Generation
}

// PreviousLedgerSlots lists the keys of the segments of earlier shardings' ledgers, in order.
func (v *View) PreviousLedgerSlots() (out []string) {
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

// LedShards lists the shards that have a leader, and reports whether there is any ledger.
func (v *View) LedShards() (shards []string, used bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.ledShards(), len(v.segments) > 0
}

// ShardingState returns what a new sharding is computed from; it decodes every ledger.
func (v *View) ShardingState() ShardingState {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := ShardingState{
		Sharding:     v.fleet.sharding,
		FencingToken: v.fleet.fencingToken,
		QuotaGrants:  v.fleet.quotaGrants,
		Format:       v.fleet.format,
		LedgerNames:  v.segments.ledgers(),
		LedShards:    v.fleet.ledShards(),
	}
	for _, name := range s.LedgerNames {
		s.Segments = append(s.Segments, v.segmentsOf(name)...)
	}
	s.Unreadable = v.unreadable.keys() // after all segments were decoded
	return s
}

// Segment reads one segment by its key; its version is 0 where there is none.
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

// DrainedThrough returns the revision for which a shard's ledger says that no task is left
// in the shard of any job that had ended by then. Once said it stays true, because ended
// jobs are never started again.
func (v *View) DrainedThrough(shard string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.segments.newestRecord(v.ownLedger(shard)).DrainedThrough
}

// ledShards lists the shards that have a leader, in order.
func (r *fleetRecords) ledShards() []string { return slices.Sorted(maps.Keys(r.leaders)) }
