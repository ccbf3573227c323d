// Package snapshot takes the whole state out of the state service, at one
// revision, into a file, and puts it back into an empty one.
//
// A file begins with a line that names its format. The rest is a zstd stream of
// frames, each a length, a CBOR value and its checksum: a header, the keys in
// order, and a trailer that counts them. What is cut or changed anywhere is
// refused, with the key after which it was found.
package snapshot

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"amberdeal.example/amberdeal/wire"
)

// Format is the newest form of a file that is understood here.
const Format = 1

const fileMagic = "amberdeal-state "

// What can be wrong with a file.
var (
	// ErrNotExport means that it is not an export.
	ErrNotExport = errors.New("not an export of amberdeal")
	// ErrNewer means that a later version wrote it.
	ErrNewer = errors.New("exported by a newer version")
	// ErrDamaged means that it is not what was written.
	ErrDamaged = errors.New("damaged or cut")
)

// Header says what a file holds.
type Header struct {
	StateFormat int    `cbor:"state"` // the form of the state, 0 for none
	Revision    uint64 `cbor:"revision"`
	TakenAtUnix int64  `cbor:"taken"` // s since 1970
}

// TakenAt is when the state was taken.
func (h Header) TakenAt() time.Time { return time.Unix(h.TakenAtUnix, 0).UTC() }

// frame is one value of a file; a trailer has no key and counts them.
type frame struct {
	Key     string   `cbor:"k,omitempty"`
	Value   wire.Raw `cbor:"v,omitempty"`
	Version uint64   `cbor:"n,omitempty"`
	Count   int      `cbor:"count,omitempty"`
	Sum     uint64   `cbor:"sum,omitempty"`
}

// maxFrame bounds a frame: far more than any value may take.
const maxFrame = 1 << 20

// Write writes a state into a file.
func Write(w io.Writer, h Header, items []wire.KeyValue) error { return write(w, h, items, true) }

func write(w io.Writer, h Header, items []wire.KeyValue, whole bool) error {
	if _, err := fmt.Fprintf(w, "%s%d\n", fileMagic, Format); err != nil {
		return err
	}
	z, err := zstd.NewWriter(w)
	if err != nil {
		return err
	}
	sum := xxhash.New()
	put := func(v any) error {
		body := wire.Encode(v)
		out := binary.AppendUvarint(nil, uint64(len(body)))
		out = append(out, body...)
		out = binary.LittleEndian.AppendUint64(out, xxhash.Sum64(body))
		_, _ = sum.Write(body)
		_, err := z.Write(out)
		return err
	}
	if err := put(h); err != nil {
		return err
	}
	for _, it := range items {
		if err := put(frame{Key: it.Key, Value: it.Value, Version: it.Version}); err != nil {
			return err
		}
	}
	if whole {
		if err := put(frame{Count: len(items), Sum: sum.Sum64()}); err != nil {
			return err
		}
	}
	return z.Close()
}

// Read reads a file to its end. Nothing is given of one that is not whole. The
// sum tells one file from another.
func Read(r io.Reader) (h Header, items []wire.KeyValue, sum string, err error) {
	in := bufio.NewReader(r)
	line, err := in.ReadString('\n')
	version, ours := strings.CutPrefix(strings.TrimSuffix(line, "\n"), fileMagic)
	var format int
	if _, serr := fmt.Sscan(version, &format); err != nil || !ours || serr != nil {
		return h, nil, "", ErrNotExport
	}
	if format > Format {
		return h, nil, "", fmt.Errorf("%w: format %d, at most %d is understood", ErrNewer, format, Format)
	}
	z, err := zstd.NewReader(in)
	if err != nil {
		return h, nil, "", err
	}
	defer z.Close()
	f := &frameReader{r: bufio.NewReader(z), sum: xxhash.New()}
	if err := f.next(&h); err != nil {
		return h, nil, "", fmt.Errorf("%w: in the header: %w", ErrDamaged, err)
	}
	for last := "the header"; ; {
		before := f.sum.Sum64()
		var fr frame
		if err := f.next(&fr); err != nil {
			return h, nil, "", fmt.Errorf("%w: after %s (%d keys): %w", ErrDamaged, last, len(items), err)
		}
		if fr.Key == "" {
			if fr.Count != len(items) || fr.Sum != before {
				return h, nil, "", fmt.Errorf("%w: %d keys, the trailer counts %d", ErrDamaged, len(items), fr.Count)
			}
			if n, err := io.Copy(io.Discard, f.r); err != nil || n > 0 {
				return h, nil, "", fmt.Errorf("%w: something follows the trailer", ErrDamaged)
			}
			return h, items, fmt.Sprintf("%016x", fr.Sum), nil
		}
		items = append(items, wire.KeyValue{Key: fr.Key, Value: fr.Value, Version: fr.Version})
		last = fr.Key
	}
}

// frameReader reads frames and sums them up.
type frameReader struct {
	r   *bufio.Reader
	sum *xxhash.Digest
}

func (f *frameReader) next(v any) error {
	n, err := binary.ReadUvarint(f.r)
	if err != nil {
		return err
	}
	if n > maxFrame {
		return fmt.Errorf("a frame of %d bytes", n)
	}
	body := make([]byte, n+8)
	if _, err := io.ReadFull(f.r, body); err != nil {
		return err
	}
	if xxhash.Sum64(body[:n]) != binary.LittleEndian.Uint64(body[n:]) {
		return errors.New("checksum")
	}
	_, _ = f.sum.Write(body[:n])
	return wire.DecodeValue(body[:n], v)
}
