package store

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/internal/tier"
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

// RecoveredState is what a ledger tells a new holder.
type RecoveredState struct {
	Round          uint64
	Machines       map[string]MachineRecord
	ScaleOuts      map[string]ScaleOutRecord
	FinishedTasks  map[string]*TaskSet
	Zones          map[string]ZoneRecord
	ZoneRecoveries map[string]ZoneRecoveryRecord
	Preemptions    map[string]*tier.Preemption // by job
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

// RecoverSegments reads what slots of ledgers tell that nobody writes any more.
func RecoverSegments(slots []Segment) RecoveredState {
	rec := newRecoveredState()
	for _, s := range sortedByAge(slots) {
		rec.Round = max(rec.Round, s.Record.Round)
		for key, raw := range s.Record.Entries {
			rec.apply(key, raw)
		}
	}
	return rec
}

func newRecoveredState() RecoveredState {
	return RecoveredState{Machines: map[string]MachineRecord{}, ScaleOuts: map[string]ScaleOutRecord{}, FinishedTasks: map[string]*TaskSet{}, Zones: map[string]ZoneRecord{}, ZoneRecoveries: map[string]ZoneRecoveryRecord{}, Preemptions: map[string]*tier.Preemption{}}
}

// sortedByAge orders slots by when they were written: the newest value of a record counts.
func sortedByAge(slots []Segment) []Segment {
	slots = slices.Clone(slots)
	slices.SortFunc(slots, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Number, b.Number))
	})
	return slots
}

// apply decodes an entry; what is not understood is kept as dropped.
func (rec *RecoveredState) apply(key string, raw wire.Raw) Entry {
	null := len(raw) == 0 || raw[0] == 0xf6
	if id, ok := strings.CutPrefix(key, machinePrefix); ok {
		delete(rec.Machines, id)
		var r MachineRecord
		if !null && wire.DecodeValue(raw, &r) == nil {
			rec.Machines[id] = r
			return Entry{key, raw, MachineEntryBytes(id, &r)}
		}
	}
	if name, ok := strings.CutPrefix(key, scaleOutPrefix); ok {
		delete(rec.ScaleOuts, name)
		var r ScaleOutRecord
		if !null && wire.DecodeValue(raw, &r) == nil {
			rec.ScaleOuts[name] = r
			return ScaleOutEntry(name, r)
		}
	}
	if zone, ok := strings.CutPrefix(key, zonePrefix); ok && !null {
		var r ZoneRecord
		// Of two parts' ledgers of an earlier grouping the one that went further counts.
		if wire.DecodeValue(raw, &r) == nil {
			if r.Number >= rec.Zones[zone].Number {
				rec.Zones[zone] = r
			}
			return ZoneEntry(zone, r)
		}
	}
	if zone, ok := strings.CutPrefix(key, zoneRecoveryPrefix); ok {
		delete(rec.ZoneRecoveries, zone)
		var r ZoneRecoveryRecord
		if !null && wire.DecodeValue(raw, &r) == nil {
			rec.ZoneRecoveries[zone] = r
			return ZoneRecoveryEntry(zone, r)
		}
	}
	if rest, ok := strings.CutPrefix(key, preemptionPrefix); ok {
		return rec.applyPreemption(key, rest, raw, null)
	}
	if rest, ok := strings.CutPrefix(key, progressPrefix); ok && !null {
		job, num, _ := strings.Cut(rest, "/")
		block, err := strconv.Atoi(num)
		var text string
		if err == nil && block >= 0 && block <= wire.MaxTasks/TasksPerBlock && wire.DecodeValue(raw, &text) == nil {
			if rec.FinishedTasks[job] == nil {
				rec.FinishedTasks[job] = NewTaskSet(0)
			}
			rec.FinishedTasks[job].MergeBlock(block, text)
			return Entry{key, raw, entryOverheadBytes + len(key) + 10 + len(text)}
		}
	}
	return Entry{Key: key}
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

// segmentCursor goes through the slots in the order in which rounds write them.
type segmentCursor struct {
	ledger    *Ledger
	remaining []int
	total     int // that there are, with those that are added
	added     map[int]bool
}

func (l *Ledger) cursor() *segmentCursor {
	return &segmentCursor{l, l.writeOrder, len(l.writeOrder), map[int]bool{}}
}

// next gives the slot to write next: a new one while the ledger is more than a
// third full, so that a slot's turn comes late, and else the oldest.
func (t *segmentCursor) next(liveBytes int) (number int, added bool) {
	if len(t.remaining) > 0 && liveBytes <= t.total*t.ledger.segmentLimit/3 {
		number, t.remaining = t.remaining[0], t.remaining[1:]
		return number, false
	}
	for number < len(t.ledger.segments) && t.ledger.segments[number].version > 0 || t.added[number] {
		number++
	}
	t.added[number] = true
	t.total++
	return number, true
}

// headerBytes bounds what a slot takes beside its entries. Part of it is left free: versions before
// this one also write there what each team uses, which nobody reads, and one that takes a part over
// must not come to more than a value may take with what it keeps of a slot.
func (l *Ledger) headerBytes() int { return segmentOverheadBytes + l.segmentLimit/32 }

// minFragmentationBytes is what may be lost in a slot to entries that do not divide: an eighth of it, and in a
// small one the entry of a machine with some tasks.
const minFragmentationBytes = 256

// FreeBytes tells how many bytes of entries are sure to fit into so many slots.
func (l *Ledger) FreeBytes(segments int) int {
	t, sum := l.cursor(), 0
	for range segments {
		number, added := t.next(l.liveBytes + sum)
		free := l.segmentLimit - max(l.segmentLimit/8, minFragmentationBytes) - l.headerBytes()
		if !added {
			free -= l.segments[number].bytes
		}
		sum += max(0, free)
	}
	return sum
}

// PackedWrite is a write to the ledger that is yet to be taken.
type PackedWrite struct {
	If       []wire.Condition
	Then     []wire.Operation
	segments []int
	entries  [][]Entry
	removed  int // slot that goes away, 0 for none
}

// Pack puts entries into so many slots at the most. What found no room is given
// back, which does not happen to entries of no more than Room. Where drop is set
// and the ledger is much larger than it need be, a slot is given up beside.
//
// A slot that was given up is absent again, as a round demands that adds it: such
// a round is also conditional on the slot that was written last before it. That
// one is older, so that it was written over, or given up, before the slot that was
// added is given up, and a late copy of the round is refused.
func (l *Ledger) Pack(head SegmentRecord, entries []Entry, maxSegments int, mayRemove bool) (PackedWrite, []Entry) {
	var p PackedWrite
	replaced, newBytes := make(map[string]bool, len(entries)), 0
	for _, e := range entries {
		replaced[e.Key] = true
		newBytes += e.Size
	}
	t, live := l.cursor(), l.liveBytes
	for i := 0; i == 0 || len(entries) > 0 && i < maxSegments; i++ {
		number, added := t.next(live)
		rec := head
		rec.Entries = make(map[string]wire.Raw)
		size := l.headerBytes()
		var put []Entry
		keep := func(number int) {
			for key, e := range l.segments[number].entries {
				if !replaced[key] {
					put = append(put, e)
					size += e.Size
				}
			}
		}
		version := uint64(0)
		if !added {
			version = l.segments[number].version
			keep(number)
			if old := l.removable(t.remaining); i == 0 && mayRemove && old > 0 && size+l.segments[old].bytes+newBytes <= l.segmentLimit*3/4 {
				keep(old)
				t.remaining = t.remaining[1:]
				p.removed = old
			}
		} else if i == 0 && len(l.writeOrder) > 0 {
			before := l.writeOrder[len(l.writeOrder)-1]
			p.If = append(p.If, wire.Condition{Key: SegmentKey(l.name, before), Version: l.segments[before].version})
		}
		for len(entries) > 0 && size+entries[0].Size <= l.segmentLimit {
			put = append(put, entries[0])
			size += entries[0].Size
			live += entries[0].Size
			entries = entries[1:]
		}
		for _, e := range put {
			rec.Entries[e.Key] = e.Value
			if e.Value == nil {
				rec.Entries[e.Key] = wire.Raw{0xf6}
			}
		}
		key := SegmentKey(l.name, number)
		p.If = append(p.If, wire.Condition{Key: key, Version: version})
		p.Then = append(p.Then, wire.Operation{Put: key, Value: rec})
		p.segments, p.entries = append(p.segments, number), append(p.entries, put)
	}
	if p.removed > 0 {
		key := SegmentKey(l.name, p.removed)
		p.If = append(p.If, wire.Condition{Key: key, Version: l.segments[p.removed].version})
		p.Then = append(p.Then, wire.Operation{Delete: key})
	}
	return p, entries
}

// removable gives the slot that is the oldest but for the one that is being written,
// if there are far more than what is of use needs, or 0. The first slot stays:
// nothing older guards its coming back.
func (l *Ledger) removable(order []int) int {
	needed := 3*l.liveBytes/l.segmentLimit + 1
	if len(order) == 0 || len(l.writeOrder) <= 2*needed+2 {
		return 0
	}
	return order[0]
}

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
