package store

import (
	"fmt"
	"maps"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// A part's ledger holds everything that its holder must leave to the next one:
// machines with what may be on them, rentals on their way, and which tasks are
// finished. The state service counts changes, and a round touches many of these
// records, so that they are packed into slots: a round writes its records into
// the oldest slot, together with those of that slot that are still of use. Each
// slot so takes its turn, what is out of date falls away by itself, and a round
// is mostly a single change whatever it touches.
//
// The newest value of a record counts, by the version of its slot. Slots are
// written oldest first, always: the slot that says that a record is dropped is
// never written over before those that hold its earlier values.

// SegmentRecord is what a slot holds. A null entry drops a record.
type SegmentRecord struct {
	FencingToken   uint64              `cbor:"term"`
	Round          uint64              `cbor:"round"`
	DrainedThrough uint64              `cbor:"clear,omitempty"`   // no task is in the part of any job that had ended by this revision
	Migrated       uint64              `cbor:"carried,omitempty"` // number of the grouping for which the ledgers of earlier ones need not be read any more
	Entries        map[string]wire.Raw `cbor:"entries"`
}

// Ledger is a part's ledger as its holder knows it. It is pure.
type Ledger struct {
	name         string
	segmentLimit int // bytes of a slot
	segments     []segmentState
	writeOrder   []int // numbers of the slots, the oldest first
	location     map[string]int
	liveBytes    int // bytes of all entries that are still of use
}

type segmentState struct {
	version uint64
	entries map[string]Entry
	bytes   int
}

// Segment is a slot as the state service holds it.
type Segment struct {
	Number  int
	Version uint64
	Record  SegmentRecord
}

// NewLedger reads a ledger from its slots, for values of so many bytes.
func NewLedger(name string, limit int, slots []Segment) (*Ledger, RecoveredState) {
	l := &Ledger{name: name, segmentLimit: limit, location: make(map[string]int)}
	rec := newRecoveredState()
	for _, s := range sortedByAge(slots) {
		rec.Round = max(rec.Round, s.Record.Round)
		for len(l.segments) <= s.Number {
			l.segments = append(l.segments, segmentState{entries: map[string]Entry{}})
		}
		l.segments[s.Number].version = s.Version
		l.writeOrder = append(l.writeOrder, s.Number)
		for key, raw := range s.Record.Entries {
			l.place(s.Number, rec.apply(key, raw))
		}
	}
	return l, rec
}

// place makes a slot the place of an entry's newest value.
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

// Discard drops a record without a write: what it says is known to be of no use
// from the rest of the store, such as the progress of a job that is over.
func (l *Ledger) Discard(key string) {
	if n, ok := l.location[key]; ok {
		s := &l.segments[n]
		s.bytes -= s.entries[key].Size
		l.liveBytes -= s.entries[key].Size
		delete(s.entries, key)
		delete(l.location, key)
	}
}

// DiscardJob forgets the progress of a job that is over.
func (l *Ledger) DiscardJob(job string, tasks int) {
	for b := 0; b*TasksPerBlock < tasks; b++ {
		l.Discard(progressKey(job, b))
	}
}

// HasMachine reports whether a machine's record is in the ledger.
func (l *Ledger) HasMachine(machine string) bool {
	_, ok := l.location[machinePrefix+machine]
	return ok
}

// HasScaleOut reports whether the intent of a rental is in the ledger.
func (l *Ledger) HasScaleOut(name string) bool { _, ok := l.location[scaleOutPrefix+name]; return ok }

// HasZoneRecovery reports whether the return of a zone is in the ledger.
func (l *Ledger) HasZoneRecovery(zone string) bool {
	_, ok := l.location[zoneRecoveryPrefix+zone]
	return ok
}

// HasZone reports whether the state of a zone is in the ledger.
func (l *Ledger) HasZone(zone string) bool { _, ok := l.location[zonePrefix+zone]; return ok }

// Commit takes in that a write was taken at a revision.
func (l *Ledger) Commit(p PackedWrite, revision uint64) {
	for i, number := range p.segments {
		for len(l.segments) <= number {
			l.segments = append(l.segments, segmentState{entries: map[string]Entry{}})
		}
		l.segments[number].version = revision
		l.writeOrder = append(slices.DeleteFunc(l.writeOrder, func(n int) bool { return n == number }), number)
		for _, e := range p.entries[i] {
			l.place(number, e)
		}
	}
	if p.removed > 0 {
		l.segments[p.removed].version = 0
		l.writeOrder = slices.DeleteFunc(l.writeOrder, func(n int) bool { return n == p.removed })
	}
}

// String tells of the ledger's size, for logs.
func (l *Ledger) String() string {
	return fmt.Sprintf("%d slots, %d records, %d bytes", len(l.writeOrder), len(l.location), l.liveBytes)
}

// Describe lists the keys of a slot's entries in order, a dropped one with a
// minus, for people who read traces.
func (r *SegmentRecord) Describe() []string {
	var out []string
	for _, key := range slices.Sorted(maps.Keys(r.Entries)) {
		if raw := r.Entries[key]; len(raw) == 1 && raw[0] == 0xf6 {
			key = "-" + key
		}
		out = append(out, key)
	}
	return out
}
