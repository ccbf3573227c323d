// Package httpwire parses and writes HTTP/1.1 requests and responses. The sizes of headers and
// bodies are limited. A message that two parsers could interpret differently is rejected, which
// prevents request smuggling through proxies.
package httpwire

import "fmt"

// Limits of the start line and the headers of a message.
const (
	maxLine    = 8 << 10 // bytes per line
	maxHeaders = 64      // also limits the trailers of a chunked body
)

// Error reports a malformed or oversized message, with the HTTP status for the response to it.
type Error struct {
	Status int
	Reason string
}

// Error implements the error interface.
func (e *Error) Error() string { return e.Reason }

func errorf(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}
