// Package httpwire parses and writes HTTP/1.1 requests and responses. Heads and bodies
// are bounded, and a message that two parsers could understand differently is rejected,
// so that no proxy in between can be made to see other requests than this package does.
package httpwire

import "fmt"

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
