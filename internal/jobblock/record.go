package jobblock

import (
	"encoding/base64"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Format is the format of the blocks that this version writes, and the newest one that it reads.
const Format = 1

// Errors of Record.Unpack.
var (
	// ErrNewer means that a newer version of amberdeal wrote the block.
	ErrNewer = errors.New("written by a newer version")
	// ErrDamaged means that the block differs from what was written.
	ErrDamaged = errors.New("damaged")
)

// Record is the stored form of a block.
type Record struct {
	Format   int    `cbor:"format"`
	From     string `cbor:"from,omitempty"` // first sort key that the block covers
	Count    int    `cbor:"count"`
	Checksum string `cbor:"sum"`  // hexadecimal xxhash64 of the compressed bytes
	Data     string `cbor:"data"` // compressed bytes in unpadded URL-safe base64
}

const (
	// recordOverheadBytes is an upper bound for the encoded size of a record without From and Data.
	recordOverheadBytes = 90
	// MaxJobs bounds the jobs of a block. Regular ids compress so well that the limit in bytes
	// would admit very many, and a lookup decodes all of them.
	MaxJobs = 8192
)

// Bytes returns an upper bound for the size of a record as the state service counts it.
func (r *Record) Bytes() int { return recordOverheadBytes + len(r.From) + len(r.Data) }

// Fits reports whether a record fits in a value of limit bytes and has at most MaxJobs jobs.
func (r *Record) Fits(limit int) bool { return r.Bytes() <= limit && r.Count <= MaxJobs }

// Pack encodes sorted entries as a block that covers the sort keys from the given one on.
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

// Split packs sorted entries into blocks that fit the limit. Entries that don't fit in one block
// are halved, which leaves room to grow in each block. Together the blocks cover all sort keys from
// the given one on: each begins at its From and ends where the next one begins.
func Split(from string, entries []Entry, limit int) []Record {
	if r := Pack(from, entries); r.Fits(limit) || len(entries) < 2 {
		return []Record{r}
	}
	half := len(entries) / 2
	left := Split(from, entries[:half], limit)
	return append(left, Split(SortKey(entries[half].ID), entries[half:], limit)...)
}

// Unpack decodes a record and verifies that it is intact. The error wraps ErrNewer or ErrDamaged.
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

// decode decodes the compressed bytes of the record after their checksum has been verified.
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
		return nil, fmt.Errorf("%w: data is truncated or follows the last job", ErrDamaged)
	}
	return b, nil
}
