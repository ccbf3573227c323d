// Package snapshot exports the whole state of the state service, at one revision, to a file, and
// imports such a file into an empty state service.
//
// The first line of a file has the format of the file. The rest is a zstd stream of frames: a
// header, the keys in order, and a trailer that counts them. Each frame is a length, a CBOR value
// and the checksum of the value. A truncated or damaged file is rejected; the error has the last
// key before the damage.
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

// Format is the format of the files that this version writes, and the newest one that it reads.
const Format = 1

// fileMagic begins the first line of a file.
const fileMagic = "amberdeal-state "

// Errors of Read.
var (
	// ErrNotExport means that the file is not an export.
	ErrNotExport = errors.New("not an amberdeal state export")
	// ErrNewer means that a newer version of amberdeal wrote the file.
	ErrNewer = errors.New("exported by a newer version")
	// ErrDamaged means that the file differs from what was written.
	ErrDamaged = errors.New("damaged or truncated")
)

// Header describes the content of a file.
type Header struct {
	StateFormat int    `cbor:"state"`    // format of the state; 0 for format 1, which has no format record
	Revision    uint64 `cbor:"revision"` // revision of the state service at the export
	TakenAtUnix int64  `cbor:"taken"`    // time of the export in seconds since 1970
}

// TakenAt returns the time of the export.
func (h Header) TakenAt() time.Time { return time.Unix(h.TakenAtUnix, 0).UTC() }

// frame is a key with its value and version, or the trailer. The trailer has no key, but the number
// of keys and the checksum of the header and all keys.
type frame struct {
	Key     string   `cbor:"k,omitempty"`
	Value   wire.Raw `cbor:"v,omitempty"`
	Version uint64   `cbor:"n,omitempty"`
	Count   int      `cbor:"count,omitempty"`
	Sum     uint64   `cbor:"sum,omitempty"`
}

const (
	// maxFrameBytes bounds the size of a frame. It is far more than the largest value may take.
	maxFrameBytes = 1 << 20
	// checksumBytes is the size of the checksum after each frame.
	checksumBytes = 8
)

// Write writes the items of a state as an export file.
func Write(w io.Writer, h Header, items []wire.KeyValue) error { return write(w, h, items, true) }

// write writes an export file. Tests omit the trailer to write an incomplete file.
func write(w io.Writer, h Header, items []wire.KeyValue, trailer bool) error {
	if _, err := fmt.Fprintf(w, "%s%d\n", fileMagic, Format); err != nil {
		return fmt.Errorf("write the format line: %w", err)
	}
	z, err := zstd.NewWriter(w)
	if err != nil {
		return fmt.Errorf("create the zstd writer: %w", err)
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
		return fmt.Errorf("close the zstd stream: %w", err)
	}
	return nil
}

// frameWriter writes frames and maintains a checksum of all their values.
type frameWriter struct {
	w   io.Writer
	sum *xxhash.Digest
}

func (f *frameWriter) put(v any) error {
	body := wire.Encode(v)
	out := binary.AppendUvarint(nil, uint64(len(body)))
	out = append(out, body...)
	out = binary.LittleEndian.AppendUint64(out, xxhash.Sum64(body))
	_, _ = f.sum.Write(body) // writing to a hash never fails
	_, err := f.w.Write(out)
	return err
}

// Read reads an export file to its end. It returns no items if the file is incomplete. The returned
// sum identifies the content of the file.
func Read(r io.Reader) (h Header, items []wire.KeyValue, sum string, err error) {
	in := bufio.NewReader(r)
	if err := readFirstLine(in); err != nil {
		return h, nil, "", err
	}
	z, err := zstd.NewReader(in)
	if err != nil {
		return h, nil, "", fmt.Errorf("create the zstd reader: %w", err)
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

// readFirstLine checks that the file is an export in a format that this version reads.
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

// frameReader reads frames and maintains a checksum of all their values.
type frameReader struct {
	r   *bufio.Reader
	sum *xxhash.Digest
}

// items reads the keys and the trailer, and checks that no data follows the trailer.
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
			return nil, fr, fmt.Errorf("%w: data follows the trailer", ErrDamaged)
		}
		return items, fr, nil
	}
}

// next reads a frame, verifies its checksum and decodes its value into v.
func (f *frameReader) next(v any) error {
	n, err := binary.ReadUvarint(f.r)
	if err != nil {
		return err
	}
	if n > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes is too large", n)
	}
	body := make([]byte, n+checksumBytes)
	if _, err := io.ReadFull(f.r, body); err != nil {
		return err
	}
	if xxhash.Sum64(body[:n]) != binary.LittleEndian.Uint64(body[n:]) {
		return errors.New("checksum mismatch")
	}
	_, _ = f.sum.Write(body[:n]) // writing to a hash never fails
	return wire.DecodeValue(body[:n], v)
}
