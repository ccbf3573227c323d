package standin

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Deaf has a machine hear nothing, or ends that: its reports arrive, and the answers to them and
// what is sent straight to it are lost. Faults that meet each count.
func (w *Worker) Deaf(deaf bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if deaf {
		w.deaf++
	} else {
		w.deaf--
	}
}

// hears reports whether what comes in now is heard.
func (w *Worker) hears() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.deaf == 0
}

func (w *Worker) dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := w.net.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &earOut{conn, ear{w: w}}, nil
}

// ear is a machine's end of a connection, on which what comes while it is deaf is lost, with all
// that follows: without it a stream makes no sense.
type ear struct {
	w    *Worker
	lost bool
}

func (e *ear) read(from io.Reader, p []byte) (int, error) {
	for {
		n, err := from.Read(p)
		if e.lost = e.lost || !e.w.hears(); !e.lost || err != nil {
			return n, err
		}
	}
}

// earOut and earIn are those of connections that the machine has opened, and that it took.
type earOut struct {
	net.Conn
	ear
}

func (e *earOut) Read(p []byte) (int, error) { return e.read(e.Conn, p) }

type earIn struct {
	transport.Stream
	ear
}

func (e *earIn) Read(p []byte) (int, error) { return e.read(e.Stream, p) }

// Echo has copies of some of the workers' reports arrive again: from 2 s to well over a lease
// later, at the same controller or another, also when their machine is gone. Nobody reads the
// answer.
type Echo struct {
	Dial  func(ctx context.Context, addr string) (net.Conn, error)
	Nodes []string // addresses of the controllers
	Most  time.Duration
	Rand  *rand.Rand

	mu    sync.Mutex
	share float64
	keep  float64
	kept  [][]byte
	came  int
}

// Share sets of which share of the reports a copy is to arrive from now on.
func (e *Echo) Share(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share = share
}

// Keep sets of which share of the reports a copy is kept from now on, until Release.
func (e *Echo) Keep(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keep = share
}

// Release delivers what was kept to a controller, and tells how many copies came.
func (e *Echo) Release(to string) (came int) {
	e.mu.Lock()
	kept := e.kept
	e.kept = nil
	e.mu.Unlock()
	for _, body := range kept {
		if e.deliver(to, body) {
			came++
		}
	}
	return came
}

// deliver has a copy arrive.
func (e *Echo) deliver(to string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	caller := &transport.Caller{Limit: 8 << 20, Dial: e.Dial}
	_, err := caller.Call(ctx, to, "POST", wire.PathReport, body)
	return err == nil
}

// Came tells how many copies were delivered.
func (e *Echo) Came() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.came
}

// sent takes in a report that goes to a controller.
func (e *Echo) sent(to string, body []byte) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.keep > 0 && e.Rand.Float64() < e.keep {
		e.kept = append(e.kept, body)
	}
	if e.share <= 0 || e.Rand.Float64() >= e.share {
		return
	}
	const least = 2 * time.Second
	late := least + time.Duration(e.Rand.Int64N(int64(max(e.Most-least, time.Second))))
	if e.Rand.IntN(2) == 0 {
		to = e.Nodes[e.Rand.IntN(len(e.Nodes))]
	}
	time.AfterFunc(late, func() {
		if e.deliver(to, body) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.came++
		}
	})
}
