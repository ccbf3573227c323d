package httpwire

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Response is a response that has been read completely or is to be written. Close tells whether the connection is
// to be closed after it.
type Response struct {
	Status      int
	Body        []byte
	ContentType string // of the body; empty means CBOR
	RetryAfter  time.Duration
	Close       bool
}

// ReadResponse reads a response with a body of at most limit bytes. The error is an *Error if
// the response is malformed or too large.
func ReadResponse(r *bufio.Reader, limit int64) (*Response, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	proto, rest, _ := strings.Cut(line, " ")
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
	if !h.chunked && h.length < 0 { // the body extends to the end of the connection
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

// reasonPhrases holds the reason phrases of the statuses that this project sends.
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
