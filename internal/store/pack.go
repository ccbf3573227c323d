package store

import (
	"amberdeal.example/amberdeal/wire"
)

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
