package transport

import (
	"context"
	"sync/atomic"
)

// ConnLimit counts the connections that a listener has open, so that whoever can come again
// may be asked to before nobody finds one.
type ConnLimit struct {
	Max int // connections that may be open

	open atomic.Int64
}

// Serve counts the connections that are served.
func (r *ConnLimit) Serve(serve ServeConn) ServeConn {
	return func(ctx context.Context, c Stream) {
		r.open.Add(1)
		defer r.open.Add(-1)
		serve(ctx, c)
	}
}

// Open tells how many connections are open.
func (r *ConnLimit) Open() int { return int(r.open.Load()) }

// Scarce reports whether less than a third of the connections is left.
func (r *ConnLimit) Scarce() bool { return r.Open()*3 > r.Max*2 }

// Full reports whether next to none is left: whoever can come again must, whether a machine or
// a user, or connections that are kept for seldom use shut all others out for ever.
func (r *ConnLimit) Full() bool { return r.Open()*10 > r.Max*9 }
