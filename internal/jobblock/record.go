package jobblock

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"amberdeal.example/amberdeal/wire"
)

// Record is a block as it is stored.
type Record struct {
	Format   int    `cbor:"format"`
	From     string `cbor:"from,omitempty"` // the first key that the block covers
	Count    int    `cbor:"count"`
	Checksum string `cbor:"sum"` // of the packed bytes, xxhash64 in hex
	Data     string `cbor:"data"`
}

// Bytes is what a record takes in the form in which the state service counts.
func (r *Record) Bytes() int { return 90 + len(r.From) + len(r.Data) }

// MaxJobs bounds the jobs of a block, whose ids may be so regular that next to
// nothing holds very many: a look-up decodes all of them.
const MaxJobs = 8192

// Fits reports whether a record may stand in a value of limit bytes.
func (r *Record) Fits(limit int) bool { return r.Bytes() <= limit && r.Count <= MaxJobs }

// Pack makes a block of sorted entries.
func Pack(from string, entries []Entry) Record {
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
		end := uint64(e.Tasks) << 1
		if e.Stage == wire.Cancelled {
			end |= 1
		}
		raw = binary.AppendUvarint(raw, end)
	}
	packed := deflate(raw)
	return Record{Format: Format, From: from, Count: len(entries), Checksum: checksum(packed), Data: base64.RawURLEncoding.EncodeToString(packed)}
}

func checksum(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }

func encodeGroup(raw []byte, width int, entries []Entry) []byte {
	raw = binary.AppendUvarint(raw, uint64(width))
	raw = binary.AppendUvarint(raw, uint64(len(entries)))
	last := uint64(0)
	for _, e := range entries {
		digits := e.ID[len(wire.JobPrefix):]
		if width > maxNumericDigits {
			raw = append(raw, digits...)
			continue
		}
		n, _ := strconv.ParseUint(digits, 10, 64)
		raw = binary.AppendUvarint(raw, n-last)
		last = n
	}
	return raw
}

// Split packs sorted entries into as few blocks as fit the limit, with room to
// grow in each. The blocks cover all keys from the given one on; each begins
// at its own From, and ends where the next begins.
func Split(from string, entries []Entry, limit int) []Record {
	if r := Pack(from, entries); r.Fits(limit) || len(entries) < 2 {
		return []Record{r}
	}
	half := len(entries) / 2
	left := Split(from, entries[:half], limit)
	return append(left, Split(SortKey(entries[half].ID), entries[half:], limit)...)
}

// decoder takes packed bytes apart; it remembers that it met something wrong.
type decoder struct {
	buf []byte
	bad bool
}

func (r *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(r.buf)
	if size <= 0 {
		r.bad, r.buf = true, nil
		return 0
	}
	r.buf = r.buf[size:]
	return n
}

func (r *decoder) text(n int) string {
	if n < 0 || n > len(r.buf) {
		r.bad, r.buf = true, nil
		return ""
	}
	s := string(r.buf[:n])
	r.buf = r.buf[n:]
	return s
}

// Unpack reads a record, and checks that all of it is as it was written.
func (r *Record) Unpack() (*Block, error) {
	if r.Format > Format {
		return nil, fmt.Errorf("%w: format %d, at most %d is understood", ErrNewer, r.Format, Format)
	}
	packed, err := base64.RawURLEncoding.DecodeString(r.Data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if got := checksum(packed); got != r.Checksum {
		return nil, fmt.Errorf("%w: checksum %s, recorded %s", ErrDamaged, got, r.Checksum)
	}
	return r.decode(packed)
}

// decode reads the packed bytes, whose checksum holds.
func (r *Record) decode(packed []byte) (*Block, error) {
	raw, err := inflate(packed)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	in := &decoder{buf: raw}
	b := &Block{From: r.From}
	count := 0
	for !in.bad {
		g, more := in.group(count)
		if !more {
			break
		}
		count += g.len()
		b.groups = append(b.groups, g)
	}
	if in.bad || count != r.Count {
		return nil, fmt.Errorf("%w: %d ids, recorded %d", ErrDamaged, count, r.Count)
	}
	b.outcomes = make([]uint32, count)
	for i := range b.outcomes {
		b.outcomes[i] = uint32(min(in.uvarint(), wire.MaxTasks<<1|1))
	}
	if in.bad || len(in.buf) > 0 {
		return nil, fmt.Errorf("%w: it is cut, or goes on", ErrDamaged)
	}
	return b, nil
}

func (r *decoder) group(first int) (idGroup, bool) {
	width := int(r.uvarint())
	if width == 0 || r.bad {
		return idGroup{}, false
	}
	n := r.uvarint()
	if n > uint64(len(r.buf)) || width > wire.MaxDigits {
		r.bad = true
		return idGroup{}, false
	}
	g := idGroup{width: width, first: first}
	if width > maxNumericDigits {
		for range n {
			g.texts = append(g.texts, r.text(width))
		}
		return g, true
	}
	g.ids = make([]uint64, n)
	last := uint64(0)
	for i := range g.ids {
		last += r.uvarint()
		g.ids[i] = last
	}
	return g, true
}
