package jobblock

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

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
