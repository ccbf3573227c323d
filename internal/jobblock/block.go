// Package archive holds the compact form in which jobs that are over are kept
// for ever: blocks of ids in order, each with its final stage and size.
//
// A block is text in one value of the state service. Ids are written as
// differences, sizes with the stage as their last bit, all of it deflated and
// under a checksum: some two to three bytes a job. Blocks that follow one
// another divide all ids among them; the order of ids is that of Key.
package jobblock

import (
	"bytes"
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/flate"

	"amberdeal.example/amberdeal/wire"
)

// Format is the newest form of a block that is understood here.
const Format = 1

// What can be wrong with a block.
var (
	// ErrNewer means that a later version of amberdeal wrote it.
	ErrNewer = errors.New("written by a newer version")
	// ErrDamaged means that it is not what was written.
	ErrDamaged = errors.New("damaged")
)

// Entry is a job that is over.
type Entry struct {
	ID    string
	Stage wire.Stage // Done or Cancelled
	Tasks int
}

// SortKey orders ids: by length, then by number. It is text, so that the state
// service's order of keys is the same.
func SortKey(id string) string {
	digits := strings.TrimPrefix(id, wire.JobPrefix)
	return fmt.Sprintf("%02d%s", len(digits), digits)
}

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

// Block is a decoded record.
type Block struct {
	From     string
	groups   []idGroup
	outcomes []uint32 // by position: the tasks, and whether it was cancelled in the last bit
}

// idGroup is a run of ids of one length.
type idGroup struct {
	width int
	first int      // position of its first id
	ids   []uint64 // up to maxPacked digits
	texts []string // longer ones
}

// maxNumericDigits is how many digits surely fit a number.
const maxNumericDigits = 18

func (g *idGroup) len() int { return len(g.ids) + len(g.texts) }

// deflaters and inflaters are costly to make, and used one at a time. (The
// library's zstd hands its coders out over channels of its own, which tests on a
// fake clock must not share.)
var (
	deflaters = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestCompression)
		if err != nil {
			panic(err) // only a wrong level above can do this
		}
		return w
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

func deflate(raw []byte) []byte {
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	_, err := w.Write(raw)
	if err := errors.Join(err, w.Close()); err != nil {
		panic(err) // writing to memory does not fail
	}
	return out.Bytes()
}

// maxUnpackedBytes bounds what a block may unpack to.
const maxUnpackedBytes = 4 << 20

func inflate(packed []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, err
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err == nil && len(raw) > maxUnpackedBytes {
		err = errors.New("too large")
	}
	return raw, err
}

// Sort puts entries in order and leaves out repeated ones. The first of two
// that differ stays; the id of the other is given back, because a final answer
// that changed is a fault that must be seen.
func Sort(entries []Entry) (sorted []Entry, conflicting []string) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(len(a.ID), len(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	out := entries[:0]
	for _, e := range entries {
		if n := len(out); n > 0 && out[n-1].ID == e.ID {
			if out[n-1].Stage != e.Stage {
				conflicting = append(conflicting, e.ID)
			}
			continue
		}
		out = append(out, e)
	}
	return out, conflicting
}

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

// Len is how many jobs the block holds.
func (b *Block) Len() int { return len(b.outcomes) }

// Find looks an id up.
func (b *Block) Find(id string) (Entry, bool) {
	digits := strings.TrimPrefix(id, wire.JobPrefix)
	for i := range b.groups {
		g := &b.groups[i]
		if g.width != len(digits) {
			continue
		}
		at, found := 0, false
		if g.width > maxNumericDigits {
			at, found = slices.BinarySearch(g.texts, digits)
		} else if n, err := strconv.ParseUint(digits, 10, 64); err == nil {
			at, found = slices.BinarySearch(g.ids, n)
		}
		if found {
			return b.entry(id, g.first+at), true
		}
	}
	return Entry{}, false
}

func (b *Block) entry(id string, at int) Entry {
	e := Entry{id, wire.Done, int(b.outcomes[at] >> 1)}
	if b.outcomes[at]&1 == 1 {
		e.Stage = wire.Cancelled
	}
	return e
}

// Entries lists all jobs in order.
func (b *Block) Entries() []Entry {
	out := make([]Entry, 0, b.Len())
	for _, g := range b.groups {
		for _, n := range g.ids {
			out = append(out, b.entry(wire.JobPrefix+zeroPad(n, g.width), len(out)))
		}
		for _, text := range g.texts {
			out = append(out, b.entry(wire.JobPrefix+text, len(out)))
		}
	}
	return out
}

func zeroPad(n uint64, width int) string {
	s := strconv.FormatUint(n, 10)
	return strings.Repeat("0", max(0, width-len(s))) + s
}
