package jobblock

import (
	"encoding/binary"
	"strconv"

	"amberdeal.example/amberdeal/wire"
)

// maxNumericDigits is the number of decimal digits that always fit in 64 bits.
const maxNumericDigits = 18

// encodeEntries encodes sorted entries: the groups of ids of the same length, each as its width,
// its number of ids and the ids; a width of 0 that ends the groups; and the outcomes of all jobs.
func encodeEntries(entries []Entry) []byte {
	var raw []byte
	for i := 0; i < len(entries); {
		width, n := len(entries[i].ID), i
		for n < len(entries) && len(entries[n].ID) == width {
			n++
		}
		raw = encodeGroup(raw, width-len(wire.JobIDPrefix), entries[i:n])
		i = n
	}
	raw = binary.AppendUvarint(raw, 0) // end of the groups
	for _, e := range entries {
		raw = binary.AppendUvarint(raw, encodeOutcome(e))
	}
	return raw
}

// encodeGroup appends a group of ids of the same length. Ids of up to maxNumericDigits digits are
// delta-encoded, longer ones are appended as text.
func encodeGroup(raw []byte, width int, entries []Entry) []byte {
	raw = binary.AppendUvarint(raw, uint64(width))
	raw = binary.AppendUvarint(raw, uint64(len(entries)))
	previous := uint64(0)
	for _, e := range entries {
		digits := e.ID[len(wire.JobIDPrefix):]
		if width > maxNumericDigits {
			raw = append(raw, digits...)
			continue
		}
		n, _ := strconv.ParseUint(digits, 10, 64) // a valid id has only digits after its prefix
		raw = binary.AppendUvarint(raw, n-previous)
		previous = n
	}
	return raw
}

// decoder decodes the output of encodeEntries. It records whether any read has failed, so that
// callers check for errors once.
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

// readString reads a string of n bytes.
func (d *decoder) readString(n int) string {
	if n < 0 || n > len(d.buf) {
		d.failed, d.buf = true, nil
		return ""
	}
	s := string(d.buf[:n])
	d.buf = d.buf[n:]
	return s
}

// readGroup reads a group whose first id has the position first in the block; more is false at the
// end of the groups and after a failure.
func (d *decoder) readGroup(first int) (g idGroup, more bool) {
	width := int(d.readUvarint())
	if width == 0 || d.failed {
		return idGroup{}, false
	}
	n := d.readUvarint()
	// Each id takes at least one byte. Checking this keeps a damaged count from causing a large
	// allocation.
	if n > uint64(len(d.buf)) || width > wire.MaxJobIDDigits {
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
	previous := uint64(0)
	for i := range g.numbers {
		previous += d.readUvarint()
		g.numbers[i] = previous
	}
	return g, true
}

// readGroups reads all groups of a block and returns the number of their ids.
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
