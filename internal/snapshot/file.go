// Package snapshot exports the whole state of the state service, at one revision, to a file,
// and imports it into an empty state service.
//
// A file begins with a line that names its format. The rest is a zstd stream of frames, each
// a length, a CBOR value and its checksum: a header, the keys in order, and a trailer that
// counts them. A file that is cut or changed anywhere is refused, with the key after which
// that was found.
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

// Format is the newest format of a file that this version reads.
const Format = 1

// fileMagic begins the first line of a file.
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
	StateFormat int    `cbor:"state"` // format of the state, 0 for format 1, which has no marker
	Revision    uint64 `cbor:"revision"`
	TakenAtUnix int64  `cbor:"taken"` // s since 1970
}

// TakenAt returns when the state was exported.
func (h Header) TakenAt() time.Time { return time.Unix(h.TakenAtUnix, 0).UTC() }

// frame is a key of a file. The trailer is a frame without a key that counts the others.
type frame struct {
	Key     string   `cbor:"k,omitempty"`
	Value   wire.Raw `cbor:"v,omitempty"`
	Version uint64   `cbor:"n,omitempty"`
	Count   int      `cbor:"count,omitempty"`
	Sum     uint64   `cbor:"sum,omitempty"`
}

const (
	// maxFrameBytes bounds a frame: far more than any value may take.
	maxFrameBytes = 1 << 20
	// checksumBytes is what the checksum after each frame takes.
	checksumBytes = 8
)

// Write writes a state to a file.
func Write(w io.Writer, h Header, items []wire.KeyValue) error { return write(w, h, items, true) }

// write writes a file, which is not whole without its trailer.
func write(w io.Writer, h Header, items []wire.KeyValue, trailer bool) error {
	if _, err := fmt.Fprintf(w, "%s%d\n", fileMagic, Format); err != nil {
		return fmt.Errorf("write the first line: %w", err)
	}
	z, err := zstd.NewWriter(w)
	if err != nil {
		return fmt.Errorf("begin the compressed part: %w", err)
	}
	out := &frameWriter{w: z, sum: xxhash.New()}
	if err := out.put(h); err != nil {
		return fmt.Errorf("write the header: %w", err)
	}
	for _, item := range items {
		if err := out.put(frame{Key: item.Key, Value: item.Value, Version: item.Version}); err != nil {
			return fmt.Errorf("write %s: %w", item.Key, err)
		}
	}
	if trailer {
		if err := out.put(frame{Count: len(items), Sum: out.sum.Sum64()}); err != nil {
			return fmt.Errorf("write the trailer: %w", err)
		}
	}
	if err := z.Close(); err != nil {
		return fmt.Errorf("end the compressed part: %w", err)
	}
	return nil
}

// frameWriter writes frames, and keeps the checksum of all of them.
type frameWriter struct {
	w   io.Writer
	sum *xxhash.Digest
}

func (f *frameWriter) put(v any) error {
	body := wire.Encode(v)
	out := binary.AppendUvarint(nil, uint64(len(body)))
	out = append(out, body...)
	out = binary.LittleEndian.AppendUint64(out, xxhash.Sum64(body))
	_, _ = f.sum.Write(body) // a hash does not fail
	_, err := f.w.Write(out)
	return err
}

// Read reads a file to its end; nothing is returned of one that is not whole. The sum tells
// one file from another.
func Read(r io.Reader) (h Header, items []wire.KeyValue, sum string, err error) {
	in := bufio.NewReader(r)
	if err := readFirstLine(in); err != nil {
		return h, nil, "", err
	}
	z, err := zstd.NewReader(in)
	if err != nil {
		return h, nil, "", fmt.Errorf("begin the compressed part: %w", err)
	}
	defer z.Close()
	f := &frameReader{r: bufio.NewReader(z), sum: xxhash.New()}
	if err := f.next(&h); err != nil {
		return h, nil, "", fmt.Errorf("%w: in the header: %w", ErrDamaged, err)
	}
	items, trailer, err := f.items()
	if err != nil {
		return h, nil, "", err
	}
	return h, items, fmt.Sprintf("%016x", trailer.Sum), nil
}

// readFirstLine checks that the file is an export whose format this version reads.
func readFirstLine(in *bufio.Reader) error {
	line, err := in.ReadString('\n')
	version, isExport := strings.CutPrefix(strings.TrimSuffix(line, "\n"), fileMagic)
	if err != nil || !isExport {
		return ErrNotExport
	}
	var format int
	if _, err := fmt.Sscan(version, &format); err != nil {
		return ErrNotExport
	}
	if format > Format {
		return fmt.Errorf("%w: format %d, at most %d is understood", ErrNewer, format, Format)
	}
	return nil
}

// frameReader reads frames, and keeps the checksum of all of them.
type frameReader struct {
	r   *bufio.Reader
	sum *xxhash.Digest
}

// items reads the keys and the trailer, after which nothing may follow.
func (f *frameReader) items() (items []wire.KeyValue, trailer frame, err error) {
	for last := "the header"; ; {
		before := f.sum.Sum64()
		var fr frame
		if err := f.next(&fr); err != nil {
			return nil, fr, fmt.Errorf("%w: after %s (%d keys): %w", ErrDamaged, last, len(items), err)
		}
		if fr.Key != "" {
			items = append(items, wire.KeyValue{Key: fr.Key, Value: fr.Value, Version: fr.Version})
			last = fr.Key
			continue
		}
		if fr.Count != len(items) || fr.Sum != before {
			return nil, fr, fmt.Errorf("%w: %d keys, the trailer counts %d", ErrDamaged, len(items), fr.Count)
		}
		if n, err := io.Copy(io.Discard, f.r); err != nil || n > 0 {
			return nil, fr, fmt.Errorf("%w: something follows the trailer", ErrDamaged)
		}
		return items, fr, nil
	}
}

// next reads a frame.
func (f *frameReader) next(v any) error {
	n, err := binary.ReadUvarint(f.r)
	if err != nil {
		return err
	}
	if n > maxFrameBytes {
		return fmt.Errorf("a frame of %d bytes", n)
	}
	body := make([]byte, n+checksumBytes)
	if _, err := io.ReadFull(f.r, body); err != nil {
		return err
	}
	if xxhash.Sum64(body[:n]) != binary.LittleEndian.Uint64(body[n:]) {
		return errors.New("checksum")
	}
	_, _ = f.sum.Write(body[:n]) // a hash does not fail
	return wire.DecodeValue(body[:n], v)
}
