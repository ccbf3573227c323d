package jobblock

import (
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Format is the newest format of a block that this version reads.
const Format = 1

// What can be wrong with a block.
var (
	// ErrNewer means that a later version of amberdeal wrote it.
	ErrNewer = errors.New("written by a newer version")
	// ErrDamaged means that it is not what was written.
	ErrDamaged = errors.New("damaged")
)

// Record is a block as it is stored.
type Record struct {
	Format   int    `cbor:"format"`
	From     string `cbor:"from,omitempty"` // the first key that the block covers
	Count    int    `cbor:"count"`
	Checksum string `cbor:"sum"` // xxhash64 of the packed bytes, in hex
	Data     string `cbor:"data"`
}

const (
	// recordOverheadBytes bounds what a record takes beside From and Data.
	recordOverheadBytes = 90
	// MaxJobs bounds the jobs of a block: ids may be so regular that very many take hardly
	// any bytes, and a look-up decodes all of them.
	MaxJobs = 8192
)

// Bytes bounds what a record takes as the state service counts it.
func (r *Record) Bytes() int { return recordOverheadBytes + len(r.From) + len(r.Data) }

// Fits reports whether a record may be a value of at most limit bytes.
func (r *Record) Fits(limit int) bool { return r.Bytes() <= limit && r.Count <= MaxJobs }

// Pack encodes a block of sorted entries that covers the keys from the given one on.
func Pack(from string, entries []Entry) Record {
	packed := deflate(encodeEntries(entries))
	return Record{
		Format:   Format,
		From:     from,
		Count:    len(entries),
		Checksum: checksum(packed),
		Data:     base64.RawURLEncoding.EncodeToString(packed),
	}
}

func checksum(b []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(b)) }

// Split packs sorted entries into blocks that fit the limit, with room to grow in each. They
// cover all keys from the given one on: each begins at its own From, and ends where the next
// one begins.
func Split(from string, entries []Entry, limit int) []Record {
	if r := Pack(from, entries); r.Fits(limit) || len(entries) < 2 {
		return []Record{r}
	}
	half := len(entries) / 2
	left := Split(from, entries[:half], limit)
	return append(left, Split(SortKey(entries[half].ID), entries[half:], limit)...)
}

// Unpack decodes a record, and checks that all of it is as it was written. The error is an
// ErrNewer or an ErrDamaged.
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

// decode reads the packed bytes of the record, whose checksum was compared.
func (r *Record) decode(packed []byte) (*Block, error) {
	raw, err := inflate(packed)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	dec := &decoder{buf: raw}
	b := &Block{From: r.From}
	count := b.readGroups(dec)
	if dec.failed || count != r.Count {
		return nil, fmt.Errorf("%w: %d ids, recorded %d", ErrDamaged, count, r.Count)
	}
	b.outcomes = make([]outcome, count)
	for i := range b.outcomes {
		b.outcomes[i] = outcome(min(dec.readUvarint(), maxOutcome))
	}
	if dec.failed || len(dec.buf) > 0 {
		return nil, fmt.Errorf("%w: it is cut, or goes on", ErrDamaged)
	}
	return b, nil
}
