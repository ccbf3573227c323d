package simulator

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
	if w.isMute() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := w.net.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &earOut{conn, ear{w: w}}
	w.mu.Lock()
	w.out[c] = true
	w.mu.Unlock()
	return c, nil
}

// Mute has a machine reach no controller, or ends that: what it opens leads nowhere, and what
// was open is gone. Calls to it get through. Faults that meet each count.
func (w *Worker) Mute(mute bool) {
	w.mu.Lock()
	var gone []*earOut
	if mute {
		w.mute++
		for c := range w.out {
			gone = append(gone, c)
		}
	} else {
		w.mute--
	}
	w.mu.Unlock()
	for _, c := range gone {
		c.Close()
	}
}

func (w *Worker) isMute() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mute > 0
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

func (e *earOut) Close() error {
	e.w.mu.Lock()
	delete(e.w.out, e)
	e.w.mu.Unlock()
	return e.Conn.Close()
}

func (e *earOut) Read(p []byte) (int, error) { return e.read(e.Conn, p) }

type earIn struct {
	transport.Stream
	ear
}

func (e *earIn) Read(p []byte) (int, error) { return e.read(e.Stream, p) }

// Echo has copies of some of the workers' reports arrive again: from 2 s to well over a lease
// later, at the same controller or another, also when their machine is gone; or once a new leader
// has acted, there. Nobody reads the answer.
type Echo struct {
	Dial  func(ctx context.Context, addr string) (net.Conn, error)
	Nodes []string // addresses of the controllers
	Most  time.Duration
	Rand  *rand.Rand

	mu    sync.Mutex
	share float64
	keep  float64 // share of which copies are kept for the next leader
	came  int
	anew  int    // of them, those that were kept for a leader
	term  uint64 // of the last leader that acted
	kept  []keptReport
}

// keptReport is a copy of a report whose worker had seen a term.
type keptReport struct {
	body []byte
	term uint64
}

// mostKept bounds the copies that are kept, the newest of them.
const mostKept = 2000

// ForNext sets of which share of the reports a copy is kept from now on until a new leader has
// acted, apart from those that Share has come back.
func (e *Echo) ForNext(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keep = share
}

// acts tells that a worker has taken an answer of a controller with a term. The first of a new
// leader has the copies of reports from before come to it.
func (e *Echo) acts(at string, term uint64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if term <= e.term {
		return
	}
	e.term = term
	var rest []keptReport
	for _, k := range e.kept {
		if k.term >= term {
			rest = append(rest, k)
			continue
		}
		e.deliver(at, k.body, time.Duration(e.Rand.Int64N(int64(nextWithin))), &e.anew)
	}
	e.kept = rest
}

// nextWithin is how soon copies that were kept come to the next leader.
const nextWithin = 500 * time.Millisecond

// Share sets of which share of the reports a copy is to arrive from now on.
func (e *Echo) Share(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share = share
}

// CameAnew tells how many were delivered to a leader that had just acted.
func (e *Echo) CameAnew() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.anew
}

// Came tells how many copies were delivered.
func (e *Echo) Came() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.came
}

// sent takes in a report that goes to a controller.
func (e *Echo) sent(to string, body []byte, term uint64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.keep > 0 && e.Rand.Float64() < e.keep {
		e.kept = append(e.kept, keptReport{body, term})
		e.kept = e.kept[max(0, len(e.kept)-mostKept):]
	}
	if e.share <= 0 || e.Rand.Float64() >= e.share {
		return
	}
	const least = 2 * time.Second
	late := least + time.Duration(e.Rand.Int64N(int64(max(e.Most-least, time.Second))))
	if e.Rand.IntN(2) == 0 {
		to = e.Nodes[e.Rand.IntN(len(e.Nodes))]
	}
	e.deliver(to, body, late, nil)
}

// deliver has a copy arrive a while later, and counts it, also where that is asked for.
func (e *Echo) deliver(to string, body []byte, late time.Duration, also *int) {
	time.AfterFunc(late, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		caller := &transport.Caller{Limit: 8 << 20, Dial: e.Dial}
		if _, err := caller.Call(ctx, to, "POST", wire.PathReport, body); err == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.came++; also != nil {
				*also++
			}
		}
	})
}
