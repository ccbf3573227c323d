package httpwire

import (
	"bufio"
	"fmt"
	"strings"
)

// Request is a request that has been read completely. Close tells whether the connection is to be closed after the
// response.
type Request struct {
	Method, Path, Query string
	Close               bool
	Body                []byte
}

// ReadRequest reads a request with a body of at most limit bytes. The error is io.EOF if the
// peer closed the connection between requests, and an *Error if the request must be rejected
// with an HTTP status.
func ReadRequest(r *bufio.Reader, limit int64) (*Request, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	method, rest, hasTarget := strings.Cut(line, " ")
	target, proto, hasProto := strings.Cut(rest, " ")
	if !hasTarget || !hasProto || method == "" || !strings.HasPrefix(target, "/") || strings.Contains(proto, " ") {
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
	body, err := readBody(r, h, limit)
	if err != nil {
		return nil, err
	}
	path, query, _ := strings.Cut(target, "?")
	return &Request{method, path, query, h.close || proto == "HTTP/1.0", body}, nil
}

// AppendRequest appends a request to out. The content type of a body is CBOR.
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
