package httpwire

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// readBody reads what the head announced, at most limit bytes.
func readBody(r *bufio.Reader, h head, limit int64) ([]byte, error) {
	if h.chunked {
		return readChunks(r, limit)
	}
	if h.length > limit {
		return nil, errorf(413, "body larger than %d bytes", limit)
	}
	if h.length <= 0 {
		return nil, nil
	}
	b := make([]byte, h.length)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	return b, nil
}

// readChunks reads a chunked body of at most limit bytes, and drops its trailers.
func readChunks(r *bufio.Reader, limit int64) ([]byte, error) {
	var out []byte
	for {
		n, err := readChunkSize(r)
		if err != nil {
			return nil, err
		}
		if int64(len(out))+n > limit {
			return nil, errorf(413, "body larger than %d bytes", limit)
		}
		if n == 0 {
			if err := skipTrailers(r); err != nil {
				return nil, err
			}
			return out, nil
		}
		at := len(out)
		out = append(out, make([]byte, n)...)
		if _, err := io.ReadFull(r, out[at:]); err != nil {
			return nil, err
		}
		if s, err := readLine(r); err != nil || s != "" {
			return nil, errorf(400, "chunk without its end")
		}
	}
}

// readChunkSize reads the line before a chunk. Chunk extensions are ignored.
func readChunkSize(r *bufio.Reader) (int64, error) {
	s, err := readLine(r)
	if err != nil {
		return 0, err
	}
	size, _, _ := strings.Cut(s, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return 0, errorf(400, "bad chunk size")
	}
	return int64(n), nil
}

// skipTrailers reads up to the empty line that ends a chunked body.
func skipTrailers(r *bufio.Reader) error {
	for n := 0; ; n++ {
		s, err := readLine(r)
		if err != nil || s == "" {
			return err
		}
		if n == maxHeaders {
			return errorf(431, "too many trailers")
		}
	}
}
