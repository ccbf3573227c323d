package transport

import (
	"context"
	"sync/atomic"
)

// ConnLimit counts a listener's open connections against a limit, so that clients that can
// reconnect can be told to close theirs before the limit is reached and locks out others.
type ConnLimit struct {
	Max int // maximum number of open connections

	open atomic.Int64
}

// Serve wraps serve so that each connection counts as open while it is served.
func (l *ConnLimit) Serve(serve ServeConn) ServeConn {
	return func(ctx context.Context, c Stream) {
		l.open.Add(1)
		defer l.open.Add(-1)
		serve(ctx, c)
	}
}

// Open returns the number of open connections.
func (l *ConnLimit) Open() int { return int(l.open.Load()) }

// Scarce reports whether less than a third of the connections are free.
func (l *ConnLimit) Scarce() bool { return l.Open()*3 > l.Max*2 }

// Full reports whether less than a tenth of the connections are free. Every client that can
// reconnect, machine or user, must then close its connection: connections kept open for
// occasional use would otherwise lock out all other clients permanently.
func (l *ConnLimit) Full() bool { return l.Open()*10 > l.Max*9 }
