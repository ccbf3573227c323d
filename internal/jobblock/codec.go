package jobblock

import (
	"encoding/binary"
	"strconv"

	"amberdeal.example/amberdeal/wire"
)

// maxNumericDigits is how many digits surely fit a number of 64 bits.
const maxNumericDigits = 18

// encodeEntries writes sorted entries: groups of ids of one length, each with its width, its size
// and the ids; a width of 0; and the outcomes of all jobs.
func encodeEntries(entries []Entry) []byte {
	var raw []byte
	for i := 0; i < len(entries); {
		width, n := len(entries[i].ID), i
		for n < len(entries) && len(entries[n].ID) == width {
			n++
		}
		raw = encodeGroup(raw, width-len(wire.JobPrefix), entries[i:n])
		i = n
	}
	raw = binary.AppendUvarint(raw, 0) // no more groups
	for _, e := range entries {
		raw = binary.AppendUvarint(raw, encodeOutcome(e))
	}
	return raw
}

// encodeGroup writes ids of one length, numbers as the differences between them.
func encodeGroup(raw []byte, width int, entries []Entry) []byte {
	raw = binary.AppendUvarint(raw, uint64(width))
	raw = binary.AppendUvarint(raw, uint64(len(entries)))
	previous := uint64(0)
	for _, e := range entries {
		digits := e.ID[len(wire.JobPrefix):]
		if width > maxNumericDigits {
			raw = append(raw, digits...)
			continue
		}
		n, _ := strconv.ParseUint(digits, 10, 64) // an accepted id has only digits
		raw = binary.AppendUvarint(raw, n-previous)
		previous = n
	}
	return raw
}

// decoder reads what encodeEntries wrote. It remembers whether anything was wrong, so that callers
// check once.
type decoder struct {
	buf    []byte
	failed bool
}

func (d *decoder) readUvarint() uint64 {
	n, size := binary.Uvarint(d.buf)
	if size <= 0 {
		d.failed, d.buf = true, nil
		return 0
	}
	d.buf = d.buf[size:]
	return n
}

func (d *decoder) readString(n int) string {
	if n < 0 || n > len(d.buf) {
		d.failed, d.buf = true, nil
		return ""
	}
	s := string(d.buf[:n])
	d.buf = d.buf[n:]
	return s
}

// readGroup reads a group whose first id has a position; more is false where there is none.
func (d *decoder) readGroup(first int) (g idGroup, more bool) {
	width := int(d.readUvarint())
	if width == 0 || d.failed {
		return idGroup{}, false
	}
	n := d.readUvarint()
	// Each id takes a byte at least: a damaged size must not allocate more.
	if n > uint64(len(d.buf)) || width > wire.MaxDigits {
		d.failed = true
		return idGroup{}, false
	}
	g = idGroup{width: width, first: first}
	if width > maxNumericDigits {
		for range n {
			g.longIDs = append(g.longIDs, d.readString(width))
		}
		return g, true
	}
	g.numbers = make([]uint64, n)
	last := uint64(0)
	for i := range g.numbers {
		last += d.readUvarint()
		g.numbers[i] = last
	}
	return g, true
}

// readGroups reads all groups of a block, and returns the number of their ids.
func (b *Block) readGroups(dec *decoder) (count int) {
	for !dec.failed {
		g, more := dec.readGroup(count)
		if !more {
			break
		}
		count += g.len()
		b.groups = append(b.groups, g)
	}
	return count
}
