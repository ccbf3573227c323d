package store

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// ShardLedgers reads the ledger of a part, and those of earlier groupings; a slot that is not
// understood is logged and counts as empty.
func (v *View) ShardLedgers(shard string) ShardLedgers {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.sharding.Record
	out := ShardLedgers{Name: LedgerName(shard, g.Generation), Generation: g.Generation}
	out.Own = v.segmentsOf(out.Name)
	out.Migrated = len(g.PreviousLedgers) == 0 || v.newestSegment(out.Name).Migrated == g.Generation
	for _, name := range g.PreviousLedgers {
		out.Previous = append(out.Previous, v.segmentsOf(name)...)
	}
	return out
}

func (v *View) segmentsOf(name string) (out []Segment) {
	for key, raw := range v.segments {
		num, mine := strings.CutPrefix(key, ledgerPrefix+name+"/")
		if n, err := strconv.Atoi(num); mine && err == nil && n >= 0 {
			rec, _ := decodeRecord[SegmentRecord](v, key, raw.Record)
			out = append(out, Segment{n, raw.Version, rec})
		}
	}
	return out
}

// newestSegment reads the slot of a ledger that was written last.
func (v *View) newestSegment(name string) (rec SegmentRecord) {
	var newest Versioned[wire.Raw]
	for key, raw := range v.segments {
		if strings.HasPrefix(key, ledgerPrefix+name+"/") && raw.Version > newest.Version {
			newest = raw
		}
	}
	if newest.Version == 0 || wire.DecodeValue(newest.Record, &rec) != nil {
		return SegmentRecord{}
	}
	return rec
}

// Migrated reports whether a part has taken over what the ledgers of earlier groupings say.
func (v *View) Migrated(shard string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	g := v.sharding.Record
	return v.newestSegment(LedgerName(shard, g.Generation)).Migrated == g.Generation
}

// PreviousLedgerSlots names the slots of the ledgers of earlier groupings, in order.
func (v *View) PreviousLedgerSlots() (out []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key := range v.segments {
		name, _, _ := strings.Cut(strings.TrimPrefix(key, ledgerPrefix), "/")
		if slices.Contains(v.sharding.Record.PreviousLedgers, name) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// ShardingState is what a state is divided anew by: how it was, what all ledgers say, and who
// holds what.
type ShardingState struct {
	Sharding     Versioned[ShardingRecord]
	FencingToken Versioned[uint64]
	QuotaGrants  Versioned[QuotaGrantRecord]
	Format       FormatRecord
	LedgerNames  []string  // the names of all
	Segments     []Segment // of all
	LedShards    []string  // parts that somebody holds
	Unreadable   []string  // records that were not understood
}

// LedShards names the parts that somebody holds, and tells whether there is any ledger.
func (v *View) LedShards() (shards []string, used bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.leaders)), len(v.segments) > 0
}

// ShardingState gives what the view shows of the state as a whole; it decodes every ledger.
func (v *View) ShardingState() ShardingState {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := ShardingState{Sharding: v.sharding, FencingToken: v.fencingToken, QuotaGrants: v.quotaGrants, Format: v.format, LedShards: slices.Sorted(maps.Keys(v.leaders))}
	for key := range v.segments {
		name, _, _ := strings.Cut(strings.TrimPrefix(key, ledgerPrefix), "/")
		if !slices.Contains(s.LedgerNames, name) {
			s.LedgerNames = append(s.LedgerNames, name)
		}
	}
	slices.Sort(s.LedgerNames)
	for _, name := range s.LedgerNames {
		s.Segments = append(s.Segments, v.segmentsOf(name)...)
	}
	s.Unreadable = slices.Sorted(maps.Keys(v.unreadable))
	return s
}

// Segment reads one slot, by its key.
func (v *View) Segment(key string) (SegmentRecord, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	raw, ok := v.segments[key]
	if !ok {
		return SegmentRecord{}, 0
	}
	rec, _ := decodeRecord[SegmentRecord](v, key, raw.Record)
	return rec, raw.Version
}

// LedgerRevision gives the revision at which a part's ledger was last written.
func (v *View) LedgerRevision(shard string) (newest uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	name := LedgerName(shard, v.sharding.Record.Generation)
	for key, raw := range v.segments {
		if strings.HasPrefix(key, ledgerPrefix+name+"/") {
			newest = max(newest, raw.Version)
		}
	}
	return newest
}

// DrainedThrough tells up to which revision a part has said that no task is in it of any job
// that had ended by then. What it said is true for ever.
func (v *View) DrainedThrough(shard string) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newestSegment(LedgerName(shard, v.sharding.Record.Generation)).DrainedThrough
}

// ShardLedgers is what is known of a part: its own ledger, by its name, and those of earlier
// groupings. Carried says that the own one has taken over all that is of use to the part
// in the others but for whose the tasks are.
type ShardLedgers struct {
	Name       string
	Generation uint64 // of the grouping
	Own        []Segment
	Previous   []Segment
	Migrated   bool
}
