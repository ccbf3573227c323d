package jobblock

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

// deflaters and inflaters are pools, because compressors and decompressors are expensive to create.
// The zstd of the library is not an option: it passes its coders over its own channels, which tests
// on a fake clock (synctest) can't share.
var (
	deflaters = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestCompression)
		if err != nil {
			panic(err) // NewWriter fails only for an invalid level
		}
		return w
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// deflate compresses an encoded block.
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

// maxUnpackedBytes bounds the decompressed size of a block. It is far more than MaxJobs jobs take.
const maxUnpackedBytes = 4 << 20

// inflate decompresses a block. It fails if the result is larger than maxUnpackedBytes.
func inflate(packed []byte) ([]byte, error) {
	r := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("reset inflater: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("inflate: %w", err)
	}
	if len(raw) > maxUnpackedBytes {
		return nil, errors.New("inflate: decompressed block is too large")
	}
	return raw, nil
}
