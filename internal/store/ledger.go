package store

import (
	"fmt"
	"maps"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// A shard's ledger holds everything that its leader must leave to the next one: machines
// with the tasks that may run on them, scale-outs under way, preemptions, and which tasks
// have finished. The state service limits changes, and a round touches many of these
// records, so that they are packed into segments: a round writes its entries into the oldest
// segment, together with those of that segment that are still needed. So each segment is
// written in turn, what is out of date disappears by itself, and a round is mostly a single
// change whatever it touches.
//
// The newest value of an entry counts, by the version of its segment. Segments are always
// written oldest first: the segment that says that a record is deleted is never written
// again before those that hold its earlier values.

// SegmentRecord is the value of a segment. A null entry deletes a record.
type SegmentRecord struct {
	FencingToken uint64 `cbor:"term"`
	Round        uint64 `cbor:"round"`
	// DrainedThrough says that no task is left in the shard of any job that had ended by
	// this revision.
	DrainedThrough uint64 `cbor:"clear,omitempty"`
	// Migrated is the generation of the sharding for which the ledgers of earlier ones need
	// not be read any more.
	Migrated uint64              `cbor:"carried,omitempty"`
	Entries  map[string]wire.Raw `cbor:"entries"`
}

// Describe lists the keys of a segment's entries in order, a deleted one with a minus, for
// people who read traces.
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

// Segment is a segment as the state service holds it.
type Segment struct {
	Number  int
	Version uint64
	Record  SegmentRecord
}

// Ledger is a shard's ledger as its leader knows it. It makes no calls: Pack prepares a
// write, and Commit takes its success.
type Ledger struct {
	name         string
	segmentLimit int // bytes of a segment
	segments     []segmentState
	writeOrder   []int          // numbers of the segments, the oldest first
	location     map[string]int // number of the segment with the newest value of an entry
	liveBytes    int            // of all entries that are still needed
}

// segmentState is what a segment holds that is still needed.
type segmentState struct {
	version uint64 // 0 for one that is absent
	entries map[string]Entry
	bytes   int
}

// NewLedger reads a ledger from its segments, each of which may take limit bytes.
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

// growTo makes sure that there is a state for a segment.
func (l *Ledger) growTo(number int) {
	for len(l.segments) <= number {
		l.segments = append(l.segments, segmentState{entries: map[string]Entry{}})
	}
}

// place records that a segment holds the newest value of an entry.
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

// Discard forgets an entry without a write, because the rest of the store shows that it is
// no longer needed, such as the progress of a job that has ended.
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

// DiscardJob forgets the progress of a job that has ended.
func (l *Ledger) DiscardJob(job string, tasks int) {
	for block := 0; block*TasksPerBlock < tasks; block++ {
		l.Discard(progressKey(job, block))
	}
}

func (l *Ledger) has(key string) bool { _, ok := l.location[key]; return ok }

// HasMachine reports whether the ledger holds a machine's record.
func (l *Ledger) HasMachine(machine string) bool { return l.has(machinePrefix + machine) }

// HasScaleOut reports whether the ledger holds the intent of a scale-out.
func (l *Ledger) HasScaleOut(name string) bool { return l.has(scaleOutPrefix + name) }

// HasZoneRecovery reports whether the ledger holds the recovery of a zone.
func (l *Ledger) HasZoneRecovery(zone string) bool { return l.has(zoneRecoveryPrefix + zone) }

// HasZone reports whether the ledger holds the state of a zone.
func (l *Ledger) HasZone(zone string) bool { return l.has(zonePrefix + zone) }

// Commit takes that a write was committed at a revision.
func (l *Ledger) Commit(p PackedWrite, revision uint64) {
	for i, number := range p.segments {
		l.growTo(number)
		l.segments[number].version = revision
		l.writeOrder = append(without(l.writeOrder, number), number)
		for _, e := range p.entries[i] {
			l.place(number, e)
		}
	}
	if p.removed > 0 {
		l.segments[p.removed].version = 0
		l.writeOrder = without(l.writeOrder, p.removed)
	}
}

// without removes a number from a list, in place.
func without(numbers []int, number int) []int {
	return slices.DeleteFunc(numbers, func(n int) bool { return n == number })
}

// String describes the ledger's size, for logs.
func (l *Ledger) String() string {
	return fmt.Sprintf("%d segments, %d records, %d bytes", len(l.writeOrder), len(l.location), l.liveBytes)
}
