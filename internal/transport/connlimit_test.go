package transport

import (
	"context"
	"testing"
)

// TestConnLimit checks that connections count while they are served, and that the limit is reported as scarce and
// then as full before it is reached.
func TestConnLimit(t *testing.T) {
	l := &ConnLimit{Max: 30}
	var nested func(n int)
	nested = func(n int) {
		if n == 0 {
			return
		}
		l.Serve(func(context.Context, Stream) {
			if open := l.Open(); l.Scarce() != (open > 20) || l.Full() != (open > 27) {
				t.Errorf("%d of 30 open: scarce %v, full %v", open, l.Scarce(), l.Full())
			}
			nested(n - 1)
		})(t.Context(), nil)
	}
	nested(30)
	if l.Open() != 0 {
		t.Errorf("%d connections open after all are closed", l.Open())
	}
}
