package store

import (
	"fmt"
	"maps"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// A shard's ledger holds everything that the next leader of the shard needs: machines with the
// tasks that may run on them, scale-outs in progress, preemptions, and which tasks have finished.
// The state service limits the rate of write operations, and a round changes many of these records,
// so they are packed into segments: a round writes its entries into the oldest segment, together
// with the entries of that segment that are still needed. Segments are thus rewritten in turn,
// outdated entries disappear without a separate cleanup, and most rounds are a single operation
// regardless of how many records they change.
//
// If several segments hold an entry, the value in the segment with the highest version is
// current. Segments are always rewritten oldest first, so a segment that holds the tombstone of
// a record is never rewritten before the segments that hold earlier values of that record.

// SegmentRecord is the stored value of a segment. A null entry is a tombstone: it deletes a record.
type SegmentRecord struct {
	FencingToken uint64 `cbor:"term"`
	Round        uint64 `cbor:"round"`
	// DrainedThrough is a revision: the shard has no task left of any job that had ended by then.
	DrainedThrough uint64 `cbor:"clear,omitempty"`
	// Migrated is the generation of the sharding for which the migration from the ledgers
	// of earlier generations is complete, so that these need not be read any more.
	Migrated uint64              `cbor:"carried,omitempty"`
	Entries  map[string]wire.Raw `cbor:"entries"`
}

// Describe lists the keys of the segment's entries in order, those of tombstones with a leading
// minus sign. It makes traces readable.
func (r *SegmentRecord) Describe() []string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(r.Entries)) {
		if raw := r.Entries[key]; len(raw) == 1 && raw[0] == cborNull {
			key = "-" + key
		}
		out = append(out, key)
	}
	return out
}

// Segment is a segment as stored in the state service.
type Segment struct {
	Number  int
	Version uint64
	Record  SegmentRecord
}

// Ledger is the leader's in-memory copy of its shard's ledger. It makes no calls: Pack prepares
// a write, and Commit applies it after it has been committed.
type Ledger struct {
	name         string
	segmentLimit int // maximum size of a segment in bytes
	segments     []segmentState
	writeOrder   []int          // segment numbers, least recently written first
	location     map[string]int // segment number of the newest value, by entry key
	liveBytes    int            // total size of the entries that are still needed
}

// segmentState holds the entries of a segment that are still needed.
type segmentState struct {
	version uint64 // 0 if the segment is absent
	entries map[string]Entry
	bytes   int
}

// NewLedger builds a ledger and the recovered state from the ledger's segments. Limit is the
// maximum size of a segment in bytes.
func NewLedger(name string, limit int, segments []Segment) (*Ledger, RecoveredState) {
	l := &Ledger{name: name, segmentLimit: limit, location: make(map[string]int)}
	rec := newRecoveredState()
	for _, s := range sortedByAge(segments) {
		rec.Round = max(rec.Round, s.Record.Round)
		l.growTo(s.Number)
		l.segments[s.Number].version = s.Version
		l.writeOrder = append(l.writeOrder, s.Number)
		for key, raw := range s.Record.Entries {
			l.place(s.Number, rec.apply(key, raw))
		}
	}
	return l, rec
}

// growTo extends l.segments to include the segment with the given number.
func (l *Ledger) growTo(number int) {
	for len(l.segments) <= number {
		l.segments = append(l.segments, segmentState{entries: map[string]Entry{}})
	}
}

// place records that a segment holds the newest value of an entry; a tombstone removes the entry.
func (l *Ledger) place(number int, e Entry) {
	l.Discard(e.Key)
	if e.Value == nil {
		return
	}
	s := &l.segments[number]
	s.entries[e.Key], l.location[e.Key] = e, number
	s.bytes += e.Size
	l.liveBytes += e.Size
}

// Discard removes an entry without writing a tombstone. It is for entries that other records show
// to be obsolete, such as the progress of a job that has ended.
func (l *Ledger) Discard(key string) {
	number, ok := l.location[key]
	if !ok {
		return
	}
	s := &l.segments[number]
	s.bytes -= s.entries[key].Size
	l.liveBytes -= s.entries[key].Size
	delete(s.entries, key)
	delete(l.location, key)
}

// DiscardJob discards the progress entries of a job that has ended.
func (l *Ledger) DiscardJob(job string, tasks int) {
	for block := 0; block*TasksPerBlock < tasks; block++ {
		l.Discard(progressKey(job, block))
	}
}

func (l *Ledger) has(key string) bool { _, ok := l.location[key]; return ok }

// HasMachine reports whether the ledger holds a machine's record.
func (l *Ledger) HasMachine(machine string) bool { return l.has(machinePrefix + machine) }

// HasScaleOut reports whether the ledger holds the intent record of a scale-out.
func (l *Ledger) HasScaleOut(name string) bool { return l.has(scaleOutPrefix + name) }

// HasZoneRecovery reports whether the ledger holds the recovery record of a zone.
func (l *Ledger) HasZoneRecovery(zone string) bool { return l.has(zoneRecoveryPrefix + zone) }

// HasZone reports whether the ledger holds the state record of a zone.
func (l *Ledger) HasZone(zone string) bool { return l.has(zonePrefix + zone) }

// Commit applies a write that was committed at the given revision.
func (l *Ledger) Commit(p PackedWrite, revision uint64) {
	for i, number := range p.segments {
		l.growTo(number)
		l.segments[number].version = revision
		l.writeOrder = append(removeNumber(l.writeOrder, number), number)
		for _, e := range p.entries[i] {
			l.place(number, e)
		}
	}
	if p.removed > 0 {
		l.segments[p.removed].version = 0
		l.writeOrder = removeNumber(l.writeOrder, p.removed)
	}
}

// removeNumber removes a number from a list in place and returns the shortened list.
func removeNumber(numbers []int, number int) []int {
	return slices.DeleteFunc(numbers, func(n int) bool { return n == number })
}

// String returns the ledger's size for log messages.
func (l *Ledger) String() string {
	return fmt.Sprintf("%d segments, %d records, %d bytes", len(l.writeOrder), len(l.location), l.liveBytes)
}
