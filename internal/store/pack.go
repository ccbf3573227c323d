package store

import (
	"amberdeal.example/amberdeal/wire"
)

const (
	// fillDivisor limits the live bytes of a ledger to a third of its capacity before a segment
	// is added. At a third, most entries are outdated by the time their segment is rewritten,
	// so that few are copied.
	fillDivisor = 3
	// reservedDivisor reserves 1/32 of a segment for the larger header of older versions;
	// see headerBytes.
	reservedDivisor = 32
	// minFragmentationBytes is the least space per segment that FreeBytes does not count,
	// because entries can't be split across segments. FreeBytes leaves out an eighth of each
	// segment, but in small segments at least this size, that of a machine's entry with some tasks.
	minFragmentationBytes = 256
)

// segmentCursor iterates over the segments of a ledger in the order in which rounds write them.
type segmentCursor struct {
	ledger    *Ledger
	remaining []int        // numbers of the existing segments that were not returned yet
	total     int          // number of segments, including added ones
	added     map[int]bool // numbers of the added segments
}

func (l *Ledger) cursor() *segmentCursor {
	return &segmentCursor{l, l.writeOrder, len(l.writeOrder), map[int]bool{}}
}

// next returns the segment to write next: a new one if the live bytes exceed a third of the
// ledger's capacity, so that segments are rewritten less often, and otherwise the least recently
// written one.
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

// headerBytes returns the space of a segment that is not available to entries. Part of it stays
// unused: older versions also write the usage of each team to the header, which nobody reads. When
// such a version takes over a shard, its header and the entries that it keeps must not exceed the
// size limit of a value.
func (l *Ledger) headerBytes() int { return segmentOverheadBytes + l.segmentLimit/reservedDivisor }

// FreeBytes returns how many bytes of entries are guaranteed to fit into the next segments to write.
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

// PackedWrite is a write to the ledger that has not been committed yet.
type PackedWrite struct {
	If       []wire.Condition
	Then     []wire.Operation
	segments []int     // numbers of the segments to write
	entries  [][]Entry // entries of each of these segments
	removed  int       // number of the segment to delete, 0 for none
}

// Pack puts entries into at most maxSegments segments and returns those that did not fit.
// Entries of at most FreeBytes always fit. If mayRemove is set and the ledger has far more
// segments than it needs, the write also deletes a segment.
//
// A round that adds a segment is conditional on the absence of its key. That condition alone
// doesn't reject a delayed copy of the round that arrives after the added segment was deleted
// again. Such a round is therefore also conditional on the version of the segment that was written
// last before it. That segment is older than the added one, so it is rewritten or deleted before
// the added one can be deleted, and the delayed copy is rejected.
func (l *Ledger) Pack(header SegmentRecord, entries []Entry, maxSegments int, mayRemove bool) (PackedWrite, []Entry) {
	p := newPacker(l, header, entries)
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
	header    SegmentRecord
	entries   []Entry         // new entries that are not placed yet
	replaced  map[string]bool // keys of all new entries, whose earlier values are dropped
	newBytes  int             // total size of all new entries
	liveBytes int             // live bytes of the ledger, including the new entries placed so far
	write     PackedWrite
}

func newPacker(l *Ledger, header SegmentRecord, entries []Entry) *packer {
	p := &packer{
		ledger:    l,
		cursor:    l.cursor(),
		header:    header,
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

// segmentContent collects the entries of a segment that is being written.
type segmentContent struct {
	entries []Entry
	size    int
}

// packSegment adds the write of one segment, with the entries in it that are still needed and as
// many new entries as fit.
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

// keep copies the entries of a segment that no new entry replaces.
func (p *packer) keep(number int, content *segmentContent) {
	for key, e := range p.ledger.segments[number].entries {
		if !p.replaced[key] {
			content.entries = append(content.entries, e)
			content.size += e.Size
		}
	}
}

// removeOldest moves the entries of the oldest remaining segment into the one being written, and
// schedules the oldest for deletion. It does so only if the ledger has too many segments and a
// quarter of the segment being written stays free.
func (p *packer) removeOldest(content *segmentContent) {
	l := p.ledger
	oldest := l.removable(p.cursor.remaining)
	if oldest == 0 || content.size+l.segments[oldest].bytes+p.newBytes > l.segmentLimit*3/4 {
		return
	}
	p.keep(oldest, content)
	p.cursor.remaining = p.cursor.remaining[1:]
	p.write.removed = oldest
}

// requireLastWritten makes a round that adds a segment conditional on the version of the segment that
// was written last; see Pack.
func (p *packer) requireLastWritten() {
	l := p.ledger
	if len(l.writeOrder) == 0 {
		return
	}
	last := l.writeOrder[len(l.writeOrder)-1]
	p.write.If = append(p.write.If, wire.Condition{Key: SegmentKey(l.name, last), Version: l.segments[last].version})
}

// putNew adds as many of the new entries as fit.
func (p *packer) putNew(content *segmentContent) {
	for len(p.entries) > 0 && content.size+p.entries[0].Size <= p.ledger.segmentLimit {
		e := p.entries[0]
		content.entries = append(content.entries, e)
		content.size += e.Size
		p.liveBytes += e.Size
		p.entries = p.entries[1:]
	}
}

// writeSegment adds the operation that writes a segment, on condition that the segment still has the
// given version.
func (p *packer) writeSegment(number int, version uint64, entries []Entry) {
	rec := p.header
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

// deleteRemoved adds the operation that deletes the segment whose entries removeOldest moved.
func (p *packer) deleteRemoved() {
	number := p.write.removed
	if number == 0 {
		return
	}
	key := SegmentKey(p.ledger.name, number)
	p.write.If = append(p.write.If, wire.Condition{Key: key, Version: p.ledger.segments[number].version})
	p.write.Then = append(p.write.Then, wire.Operation{Delete: key})
}

// removable returns the first segment in order if the ledger has far more segments than it needs,
// or else 0. Segment 0 is never removed: no older segment could protect against its being added
// again by a delayed copy of a round.
func (l *Ledger) removable(order []int) int {
	needed := fillDivisor*l.liveBytes/l.segmentLimit + 1
	if len(order) == 0 || len(l.writeOrder) <= 2*needed+2 {
		return 0
	}
	return order[0]
}
