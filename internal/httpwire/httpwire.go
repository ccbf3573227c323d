// Package httpwire parses and writes HTTP/1.1 requests and responses. Heads and bodies
// are bounded, and a message that two parsers could understand differently is rejected,
// so that no proxy in between can be made to see other requests than this package does.
package httpwire

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Bounds of a message's head.
const (
	maxLine    = 8 << 10 // bytes of a line
	maxHeaders = 64      // also of a chunked body's trailers
)

// Error is a malformed or oversized message, with the status to answer it with.
type Error struct {
	Status int
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

func errorf(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

// Request is a request that has been read completely.
type Request struct {
	Method, Path, Query string
	Close               bool
	Body                []byte
}

// Response is a response that has been read or is to be written.
type Response struct {
	Status      int
	Body        []byte
	ContentType string // of the body; empty means CBOR
	RetryAfter  time.Duration
	Close       bool
}

// readLine reads a line that ends with CRLF or LF.
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
	s := strings.TrimSuffix(strings.TrimSuffix(string(out), "\n"), "\r")
	if strings.ContainsAny(s, "\r\x00") {
		return "", errorf(400, "control character in the head")
	}
	return s, nil
}

// head holds what a message's headers say about the rest of it.
type head struct {
	length     int64 // of the body; -1 if it is not given
	chunked    bool
	close      bool
	expect     bool
	retryAfter time.Duration
}

// readHeaders reads headers up to the empty line that ends them.
func readHeaders(r *bufio.Reader) (head, error) {
	h := head{length: -1}
	for n := 0; ; n++ {
		s, err := readLine(r)
		if err != nil {
			return h, err
		}
		if s == "" {
			break
		}
		if n == maxHeaders {
			return h, errorf(431, "too many headers")
		}
		name, value, ok := strings.Cut(s, ":")
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

// set takes in one header; its name is in lower case.
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
		for _, word := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(word), "close") {
				h.close = true
			}
		}
	case "expect":
		h.expect = true
	case "retry-after":
		if s, err := strconv.ParseUint(value, 10, 16); err == nil {
			h.retryAfter = time.Duration(s) * time.Second
		}
	}
	return nil
}

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

// ReadRequest reads one request with a body of at most limit bytes. The error is io.EOF if
// the peer closed the connection between requests, and an *Error if the request must be
// answered with a status.
func ReadRequest(r *bufio.Reader, limit int64) (*Request, error) {
	s, err := readLine(r)
	if err != nil {
		return nil, err
	}
	method, rest, ok := strings.Cut(s, " ")
	target, proto, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || method == "" || !strings.HasPrefix(target, "/") || strings.Contains(proto, " ") {
		return nil, errorf(400, "malformed request line")
	}
	if proto != "HTTP/1.1" && proto != "HTTP/1.0" {
		return nil, errorf(505, "not HTTP/1.1")
	}
	h, err := readHeaders(r)
	if err != nil {
		return nil, err
	}
	if h.expect {
		return nil, errorf(417, "expectations are not met here")
	}
	b, err := readBody(r, h, limit)
	if err != nil {
		return nil, err
	}
	path, query, _ := strings.Cut(target, "?")
	return &Request{method, path, query, h.close || proto == "HTTP/1.0", b}, nil
}

// AppendRequest appends a request to out. A body is announced as CBOR.
func AppendRequest(out []byte, host, method, target string, body []byte) []byte {
	out = fmt.Appendf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if body != nil {
		out = append(out, "Content-Type: application/cbor\r\n"...)
	}
	if body != nil || method == "POST" {
		out = fmt.Appendf(out, "Content-Length: %d\r\n", len(body))
	}
	out = append(out, "\r\n"...)
	return append(out, body...)
}

// ReadResponse reads one response with a body of at most limit bytes. The error is an
// *Error if the response is malformed or too large.
func ReadResponse(r *bufio.Reader, limit int64) (*Response, error) {
	s, err := readLine(r)
	if err != nil {
		return nil, err
	}
	proto, rest, _ := strings.Cut(s, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(proto, "HTTP/1.") || status < 200 || status > 599 {
		return nil, errorf(502, "malformed status line")
	}
	h, err := readHeaders(r)
	if err != nil {
		return nil, err
	}
	resp := &Response{Status: status, RetryAfter: h.retryAfter, Close: h.close}
	if status == 204 || status == 304 {
		return resp, nil
	}
	if !h.chunked && h.length < 0 { // the body ends where the peer closes the connection
		resp.Close = true
		resp.Body, err = io.ReadAll(io.LimitReader(r, limit+1))
		if err == nil && int64(len(resp.Body)) > limit {
			err = errorf(502, "body larger than %d bytes", limit)
		}
		return resp, err
	}
	resp.Body, err = readBody(r, h, limit)
	return resp, err
}

// reasonPhrases of the statuses that are sent.
var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 410: "Gone", 413: "Content Too Large", 417: "Expectation Failed", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported",
}

// AppendResponse appends a response to out.
func AppendResponse(out []byte, r *Response) []byte {
	out = fmt.Appendf(out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", r.Status, reasonPhrases[r.Status], len(r.Body))
	if len(r.Body) > 0 {
		out = fmt.Appendf(out, "Content-Type: %s\r\n", cmp.Or(r.ContentType, "application/cbor"))
	}
	if r.RetryAfter > 0 {
		out = fmt.Appendf(out, "Retry-After: %d\r\n", int((r.RetryAfter+time.Second-1)/time.Second))
	}
	if r.Close {
		out = append(out, "Connection: close\r\n"...)
	}
	out = append(out, "\r\n"...)
	return append(out, r.Body...)
}
