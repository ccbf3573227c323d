package httpwire

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"
)

// readLine reads a line that ends with CRLF or LF and returns it without the line ending. The error is io.EOF if
// the input ends before the line, and io.ErrUnexpectedEOF if it ends within the line.
func readLine(r *bufio.Reader) (string, error) {
	var out []byte
	for {
		part, err := r.ReadSlice('\n')
		out = append(out, part...)
		if len(out) > maxLine {
			return "", errorf(431, "line too long")
		}
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(out) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
	}
	line := strings.TrimSuffix(strings.TrimSuffix(string(out), "\n"), "\r")
	if strings.ContainsAny(line, "\r\x00") {
		return "", errorf(400, "control character in the head")
	}
	return line, nil
}

// head holds the headers of a message that tell how to read and handle the message.
type head struct {
	length     int64 // Content-Length; -1 if it is missing
	chunked    bool
	close      bool
	expect     bool // whether there is an Expect header
	retryAfter time.Duration
}

// readHeaders reads headers up to and including the empty line that ends them.
func readHeaders(r *bufio.Reader) (head, error) {
	h := head{length: -1}
	for n := 0; ; n++ {
		line, err := readLine(r)
		if err != nil {
			return h, err
		}
		if line == "" {
			break
		}
		if n == maxHeaders {
			return h, errorf(431, "too many headers")
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return h, errorf(400, "malformed header")
		}
		if err := h.set(strings.ToLower(name), strings.Trim(value, " \t")); err != nil {
			return h, err
		}
	}
	if h.chunked && h.length >= 0 {
		return h, errorf(400, "both a length and chunks")
	}
	return h, nil
}

// set applies a header; name is in lower case. Headers without a meaning for this package are ignored.
func (h *head) set(name, value string) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 62)
		if err != nil || value[0] == '+' || h.length >= 0 && h.length != int64(n) {
			return errorf(400, "bad or conflicting content-length")
		}
		h.length = int64(n)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked {
			return errorf(501, "transfer encoding not supported")
		}
		h.chunked = true
	case "connection":
		for _, option := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				h.close = true
			}
		}
	case "expect":
		h.expect = true
	case "retry-after":
		if seconds, err := strconv.ParseUint(value, 10, 16); err == nil {
			h.retryAfter = time.Duration(seconds) * time.Second
		}
	}
	return nil
}
