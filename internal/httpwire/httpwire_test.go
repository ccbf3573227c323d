package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// requestTests are requests with their expected body, or with the status that they are rejected with.
var requestTests = []struct {
	name, text string
	status     int // 0 if the request is accepted
	body       string
}{
	{"plain", "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", 0, ""},
	{"bare line feeds", "POST /x HTTP/1.1\nContent-Length: 2\n\nok", 0, "ok"},
	{"chunks", "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;e=1\r\nc\r\n0\r\nT: 1\r\n\r\n", 0, "abc"},
	{"the same length twice", "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na", 0, "a"},
	{"conflicting lengths", "POST /x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400, ""},
	{"length and chunks", "POST /x HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, ""},
	{"negative length", "POST /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, ""},
	{"signed length", "POST /x HTTP/1.1\r\nContent-Length: +1\r\n\r\na", 400, ""},
	{"body too large", "POST /x HTTP/1.1\r\nContent-Length: 65\r\n\r\n", 413, ""},
	{"chunks too large", "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n", 413, ""},
	{"bad chunk size", "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, ""},
	{"other encoding", "POST /x HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501, ""},
	{"no target", "GET\r\n\r\n", 400, ""},
	{"other protocol", "GET / HTTP/2.0\r\n\r\n", 505, ""},
	{"space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400, ""},
	{"long line", "GET /" + strings.Repeat("a", maxLine) + " HTTP/1.1\r\n\r\n", 431, ""},
	{"many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", maxHeaders+1) + "\r\n", 431, ""},
	{"carriage return inside", "GET / HTTP/1.1\r\nA: b\rc\r\n\r\n", 400, ""},
	{"Expect header", "POST /x HTTP/1.1\r\nExpect: 100-continue\r\n\r\n", 417, ""},
}

// TestReadRequest checks which requests are accepted and with which status the others are rejected.
func TestReadRequest(t *testing.T) {
	for _, c := range requestTests {
		// The result must not depend on how the input is split into reads.
		for _, r := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
			req, err := ReadRequest(bufio.NewReaderSize(r, 16), 64)
			var parseErr *Error
			switch {
			case c.status == 0 && (err != nil || string(req.Body) != c.body):
				t.Errorf("%s: %v, %v", c.name, req, err)
			case c.status != 0 && (!errors.As(err, &parseErr) || parseErr.Status != c.status):
				t.Errorf("%s: %v, want status %d", c.name, err, c.status)
			}
		}
	}
}

// TestRoundTrip checks that requests and responses are parsed as they were written.
func TestRoundTrip(t *testing.T) {
	text := AppendRequest(nil, "10.0.0.1:80", "POST", "/hello?a=b", []byte("body"))
	req, err := ReadRequest(bufio.NewReader(bytes.NewReader(text)), 64)
	if err != nil || req.Path != "/hello" || req.Query != "a=b" || string(req.Body) != "body" || req.Close {
		t.Errorf("request: %+v, %v", req, err)
	}
	text = AppendResponse(nil, &Response{Status: 503, Body: []byte("b"), RetryAfter: 1500e6, Close: true})
	resp, err := ReadResponse(bufio.NewReader(bytes.NewReader(text)), 64)
	if err != nil || resp.Status != 503 || string(resp.Body) != "b" || resp.RetryAfter != 2e9 || !resp.Close {
		t.Errorf("response: %+v, %v", resp, err)
	}
}

// FuzzRead checks that both parsers keep to their limits with any input.
func FuzzRead(f *testing.F) {
	for _, c := range requestTests {
		f.Add([]byte(c.text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nuntil the end"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := ReadRequest(bufio.NewReader(bytes.NewReader(b)), 64); err == nil && (len(r.Body) > 64 || r.Path == "") {
			t.Errorf("%+v", r)
		}
		if r, err := ReadResponse(bufio.NewReader(bytes.NewReader(b)), 64); err == nil && (len(r.Body) > 64 || r.Status < 200) {
			t.Errorf("%+v", r)
		}
	})
}
