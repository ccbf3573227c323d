package httpwire

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// readBody reads the body that the headers announce. A body of more than limit bytes is an error.
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
	body := make([]byte, h.length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// readChunks reads a chunked body and discards its trailers. A body of more than limit bytes is an error.
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
		start := len(out)
		out = append(out, make([]byte, n)...)
		if _, err := io.ReadFull(r, out[start:]); err != nil {
			return nil, err
		}
		if line, err := readLine(r); err != nil || line != "" {
			return nil, errorf(400, "chunk without its end")
		}
	}
}

// readChunkSize reads the line with the size of the next chunk. Chunk extensions are ignored.
func readChunkSize(r *bufio.Reader) (int64, error) {
	line, err := readLine(r)
	if err != nil {
		return 0, err
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return 0, errorf(400, "bad chunk size")
	}
	return int64(n), nil
}

// skipTrailers reads up to and including the empty line that ends a chunked body.
func skipTrailers(r *bufio.Reader) error {
	for n := 0; ; n++ {
		line, err := readLine(r)
		if err != nil || line == "" {
			return err
		}
		if n == maxHeaders {
			return errorf(431, "too many trailers")
		}
	}
}
