package simulator

import (
	"context"
	"io"
	"net"

	"amberdeal.example/amberdeal/internal/transport"
)

// DropInbound starts or ends an asymmetric partition in which the worker's heartbeats arrive at the
// controllers, while answers and direct calls to the worker are lost. Overlapping faults are counted.
func (w *Worker) DropInbound(drop bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if drop {
		w.inboundFaults++
	} else {
		w.inboundFaults--
	}
}

// receivesInbound reports whether the worker receives what is sent to it.
func (w *Worker) receivesInbound() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inboundFaults == 0
}

// dialLink opens a connection that is subject to the worker's inbound and outbound faults. While outbound
// connections are blocked it waits until the context ends.
func (w *Worker) dialLink(ctx context.Context, addr string) (net.Conn, error) {
	if w.outboundBlocked() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := w.net.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &dialedLink{conn, link{worker: w}}
	w.mu.Lock()
	w.dialed[c] = true
	w.mu.Unlock()
	return c, nil
}

// BlockOutbound starts or ends an asymmetric partition in which the worker can reach no controller: its
// open connections are closed, new dials time out, and direct calls still arrive. Overlapping faults are
// counted.
func (w *Worker) BlockOutbound(block bool) {
	w.mu.Lock()
	var closed []*dialedLink
	if block {
		w.outboundFaults++
		for c := range w.dialed {
			closed = append(closed, c)
		}
	} else {
		w.outboundFaults--
	}
	w.mu.Unlock()
	for _, c := range closed {
		_ = c.Close()
	}
}

// outboundBlocked reports whether the worker can open no connections.
func (w *Worker) outboundBlocked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outboundFaults > 0
}

// link is the machine's end of a connection. Once anything sent to the machine was lost, everything that
// follows is lost too, since a stream with a gap cannot be parsed.
type link struct {
	worker *Worker
	lost   bool
}

// read reads from a connection and discards what is lost.
func (l *link) read(from io.Reader, p []byte) (int, error) {
	for {
		n, err := from.Read(p)
		if l.lost = l.lost || !l.worker.receivesInbound(); !l.lost || err != nil {
			return n, err
		}
	}
}

// dialedLink is a connection that the machine has opened.
type dialedLink struct {
	net.Conn
	link
}

func (l *dialedLink) Close() error {
	l.worker.mu.Lock()
	delete(l.worker.dialed, l)
	l.worker.mu.Unlock()
	return l.Conn.Close()
}

func (l *dialedLink) Read(p []byte) (int, error) { return l.read(l.Conn, p) }

// acceptedLink is a connection that the machine has accepted.
type acceptedLink struct {
	transport.Stream
	link
}

func (l *acceptedLink) Read(p []byte) (int, error) { return l.read(l.Stream, p) }
