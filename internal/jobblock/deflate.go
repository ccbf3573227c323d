package jobblock

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

// deflaters and inflaters are expensive to create, and reused by one caller at a time.
// (The library's zstd passes its coders over channels of its own, which tests on a fake
// clock cannot share.)
var (
	deflaters = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.BestCompression)
		if err != nil {
			panic(err) // the level is a valid one
		}
		return w
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

// deflate compresses a block.
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

// maxUnpackedBytes bounds what a block may unpack to: far more than MaxJobs jobs take.
const maxUnpackedBytes = 4 << 20

// inflate decompresses a block. It refuses one that unpacks to more than maxUnpackedBytes.
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
		return nil, errors.New("inflate: too large")
	}
	return raw, nil
}
