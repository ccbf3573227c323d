package store

import (
	"amberdeal.example/amberdeal/wire"
)

const (
	// fillDivisor is by which part of its capacity a ledger is filled before segments are
	// added: at a third, a record is rarely written again before it is out of date.
	fillDivisor = 3
	// reservedDivisor is the part of a segment that is left free for the header of older
	// versions.
	reservedDivisor = 32
	// minFragmentationBytes is what may remain unused in a segment because entries do not
	// divide: an eighth of it and, in a small one, the entry of a machine with some tasks.
	minFragmentationBytes = 256
)

// segmentCursor goes through the segments of a ledger in the order in which rounds write them.
type segmentCursor struct {
	ledger    *Ledger
	remaining []int        // numbers of the segments that are yet to come
	total     int          // of segments, with those that are added
	added     map[int]bool // numbers of those that are added
}

func (l *Ledger) cursor() *segmentCursor {
	return &segmentCursor{l, l.writeOrder, len(l.writeOrder), map[int]bool{}}
}

// next returns the segment to write next: a new one while the ledger is more than a third
// full, so that it takes long until a segment is written again, and else the oldest.
func (c *segmentCursor) next(liveBytes int) (number int, added bool) {
	if len(c.remaining) > 0 && liveBytes <= c.total*c.ledger.segmentLimit/fillDivisor {
		number, c.remaining = c.remaining[0], c.remaining[1:]
		return number, false
	}
	for number < len(c.ledger.segments) && c.ledger.segments[number].version > 0 || c.added[number] {
		number++
	}
	c.added[number] = true
	c.total++
	return number, true
}

// headerBytes bounds what a segment takes beside its entries. Part of it is left free:
// versions before this one also write there what each team uses, which nobody reads, and one
// that takes a shard over must not exceed the limit of a value with the entries that it keeps.
func (l *Ledger) headerBytes() int { return segmentOverheadBytes + l.segmentLimit/reservedDivisor }

// FreeBytes returns how many bytes of entries are sure to fit into a number of segments.
func (l *Ledger) FreeBytes(segments int) int {
	cursor, sum := l.cursor(), 0
	for range segments {
		number, added := cursor.next(l.liveBytes + sum)
		free := l.segmentLimit - max(l.segmentLimit/8, minFragmentationBytes) - l.headerBytes()
		if !added {
			free -= l.segments[number].bytes
		}
		sum += max(0, free)
	}
	return sum
}

// PackedWrite is a write to the ledger that is not committed yet.
type PackedWrite struct {
	If       []wire.Condition
	Then     []wire.Operation
	segments []int     // numbers of those that are written
	entries  [][]Entry // of each of them
	removed  int       // number of a segment that is deleted, 0 for none
}

// Pack puts entries into at most maxSegments segments. Entries that did not fit are
// returned, which does not happen to entries of no more than FreeBytes. Where mayRemove is
// set and the ledger is much larger than it need be, a segment is deleted with the write.
//
// A segment that was deleted is absent again, as a round demands that adds it. Such a round
// is therefore also conditional on the segment that was written last before it. That one is
// older, so that it is written again, or deleted, before the added one can be deleted, and a
// late copy of the round is refused.
func (l *Ledger) Pack(head SegmentRecord, entries []Entry, maxSegments int, mayRemove bool) (PackedWrite, []Entry) {
	p := newPacker(l, head, entries)
	p.packSegment(true, mayRemove)
	for i := 1; len(p.entries) > 0 && i < maxSegments; i++ {
		p.packSegment(false, false)
	}
	p.deleteRemoved()
	return p.write, p.entries
}

// packer builds a PackedWrite.
type packer struct {
	ledger    *Ledger
	cursor    *segmentCursor
	head      SegmentRecord
	entries   []Entry         // that are yet to be put
	replaced  map[string]bool // keys of all new entries: earlier values need not be kept
	newBytes  int             // of all new entries
	liveBytes int             // of the ledger, with the new entries so far
	write     PackedWrite
}

func newPacker(l *Ledger, head SegmentRecord, entries []Entry) *packer {
	p := &packer{
		ledger:    l,
		cursor:    l.cursor(),
		head:      head,
		entries:   entries,
		replaced:  make(map[string]bool, len(entries)),
		liveBytes: l.liveBytes,
	}
	for _, e := range entries {
		p.replaced[e.Key] = true
		p.newBytes += e.Size
	}
	return p
}

// segmentContent is what is put into a segment.
type segmentContent struct {
	entries []Entry
	size    int
}

// packSegment writes one segment: what it holds that is still needed, and new entries.
func (p *packer) packSegment(first, mayRemove bool) {
	l := p.ledger
	number, added := p.cursor.next(p.liveBytes)
	content := segmentContent{size: l.headerBytes()}
	version := uint64(0)
	switch {
	case !added:
		version = l.segments[number].version
		p.keep(number, &content)
		if first && mayRemove {
			p.removeOldest(&content)
		}
	case first:
		p.requireLastWritten()
	}
	p.putNew(&content)
	p.writeSegment(number, version, content.entries)
}

// keep takes the entries of a segment that the new ones do not replace.
func (p *packer) keep(number int, content *segmentContent) {
	for key, e := range p.ledger.segments[number].entries {
		if !p.replaced[key] {
			content.entries = append(content.entries, e)
			content.size += e.Size
		}
	}
}

// removeOldest moves the entries of the oldest segment into the one that is written, where
// the ledger is too large and a quarter of the segment stays free.
func (p *packer) removeOldest(content *segmentContent) {
	l := p.ledger
	old := l.removable(p.cursor.remaining)
	if old == 0 || content.size+l.segments[old].bytes+p.newBytes > l.segmentLimit*3/4 {
		return
	}
	p.keep(old, content)
	p.cursor.remaining = p.cursor.remaining[1:]
	p.write.removed = old
}

// requireLastWritten makes a round that adds a segment conditional on the one written before.
func (p *packer) requireLastWritten() {
	l := p.ledger
	if len(l.writeOrder) == 0 {
		return
	}
	last := l.writeOrder[len(l.writeOrder)-1]
	p.write.If = append(p.write.If, wire.Condition{Key: SegmentKey(l.name, last), Version: l.segments[last].version})
}

// putNew puts as many of the new entries as fit.
func (p *packer) putNew(content *segmentContent) {
	for len(p.entries) > 0 && content.size+p.entries[0].Size <= p.ledger.segmentLimit {
		e := p.entries[0]
		content.entries = append(content.entries, e)
		content.size += e.Size
		p.liveBytes += e.Size
		p.entries = p.entries[1:]
	}
}

// writeSegment adds the operation that writes a segment, on the version that it has.
func (p *packer) writeSegment(number int, version uint64, entries []Entry) {
	rec := p.head
	rec.Entries = make(map[string]wire.Raw)
	for _, e := range entries {
		rec.Entries[e.Key] = e.Value
		if e.Value == nil {
			rec.Entries[e.Key] = wire.Raw{cborNull}
		}
	}
	key := SegmentKey(p.ledger.name, number)
	p.write.If = append(p.write.If, wire.Condition{Key: key, Version: version})
	p.write.Then = append(p.write.Then, wire.Operation{Put: key, Value: rec})
	p.write.segments = append(p.write.segments, number)
	p.write.entries = append(p.write.entries, entries)
}

// deleteRemoved adds the operation that deletes the segment whose entries were moved.
func (p *packer) deleteRemoved() {
	number := p.write.removed
	if number == 0 {
		return
	}
	key := SegmentKey(p.ledger.name, number)
	p.write.If = append(p.write.If, wire.Condition{Key: key, Version: p.ledger.segments[number].version})
	p.write.Then = append(p.write.Then, wire.Operation{Delete: key})
}

// removable returns the segment that is the oldest but for the one that is being written, if
// there are far more than needed, or 0. The first segment always stays: no older one could
// guard against its being added again by a late copy.
func (l *Ledger) removable(order []int) int {
	needed := fillDivisor*l.liveBytes/l.segmentLimit + 1
	if len(order) == 0 || len(l.writeOrder) <= 2*needed+2 {
		return 0
	}
	return order[0]
}
