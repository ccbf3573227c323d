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
		w.inboundFaults++
	} else {
		w.inboundFaults--
	}
}

// receivesInbound reports whether what comes in now is heard.
func (w *Worker) receivesInbound() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inboundFaults == 0
}

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

// Mute has a machine reach no controller, or ends that: what it opens leads nowhere, and what
// was open is gone. Calls to it get through. Faults that meet each count.
func (w *Worker) Mute(mute bool) {
	w.mu.Lock()
	var gone []*dialedLink
	if mute {
		w.outboundFaults++
		for c := range w.dialed {
			gone = append(gone, c)
		}
	} else {
		w.outboundFaults--
	}
	w.mu.Unlock()
	for _, c := range gone {
		c.Close()
	}
}

func (w *Worker) outboundBlocked() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outboundFaults > 0
}

// link is a machine's end of a connection, on which what comes while it is deaf is lost, with all
// that follows: without it a stream makes no sense.
type link struct {
	worker *Worker
	lost   bool
}

func (e *link) read(from io.Reader, p []byte) (int, error) {
	for {
		n, err := from.Read(p)
		if e.lost = e.lost || !e.worker.receivesInbound(); !e.lost || err != nil {
			return n, err
		}
	}
}

// dialedLink and earIn are those of connections that the machine has opened, and that it took.
type dialedLink struct {
	net.Conn
	link
}

func (e *dialedLink) Close() error {
	e.worker.mu.Lock()
	delete(e.worker.dialed, e)
	e.worker.mu.Unlock()
	return e.Conn.Close()
}

func (e *dialedLink) Read(p []byte) (int, error) { return e.read(e.Conn, p) }

type acceptedLink struct {
	transport.Stream
	link
}

func (e *acceptedLink) Read(p []byte) (int, error) { return e.read(e.Stream, p) }

// HeartbeatReplayer has copies of some of the workers' reports arrive again: from 2 s to well over a lease
// later, at the same controller or another, also when their machine is gone; or once a new leader
// has acted, there. Nobody reads the answer.
type HeartbeatReplayer struct {
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Controllers []string // addresses of the controllers
	MaxDelay    time.Duration
	Rand        *rand.Rand

	mu                   sync.Mutex
	share                float64
	keepShare            float64 // share of which copies are kept for the next leader
	delivered            int
	deliveredToNewLeader int    // of them, those that were kept for a leader
	token                uint64 // of the last leader that acted
	kept                 []keptHeartbeat
}

// keptHeartbeat is a copy of a report whose worker had seen a term.
type keptHeartbeat struct {
	body  []byte
	token uint64
}

// maxKept bounds the copies that are kept, the newest of them.
const maxKept = 2000

// KeepForNextLeader sets of which share of the reports a copy is kept from now on until a new leader has
// acted, apart from those that Share has come back.
func (e *HeartbeatReplayer) KeepForNextLeader(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keepShare = share
}

// leaderAnswered tells that a worker has taken an answer of a controller with a term. The first of a new
// leader has the copies of reports from before come to it.
func (e *HeartbeatReplayer) leaderAnswered(at string, term uint64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if term <= e.token {
		return
	}
	e.token = term
	var rest []keptHeartbeat
	for _, k := range e.kept {
		if k.token >= term {
			rest = append(rest, k)
			continue
		}
		e.replay(at, k.body, time.Duration(e.Rand.Int64N(int64(newLeaderDelay))), &e.deliveredToNewLeader)
	}
	e.kept = rest
}

// newLeaderDelay is how soon copies that were kept come to the next leader.
const newLeaderDelay = 500 * time.Millisecond

// SetShare sets of which share of the reports a copy is to arrive from now on.
func (e *HeartbeatReplayer) SetShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.share = share
}

// DeliveredToNewLeader tells how many were delivered to a leader that had just acted.
func (e *HeartbeatReplayer) DeliveredToNewLeader() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deliveredToNewLeader
}

// Delivered tells how many copies were delivered.
func (e *HeartbeatReplayer) Delivered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.delivered
}

// heartbeatSent takes in a report that goes to a controller.
func (e *HeartbeatReplayer) heartbeatSent(to string, body []byte, term uint64) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.keepShare > 0 && e.Rand.Float64() < e.keepShare {
		e.kept = append(e.kept, keptHeartbeat{body, term})
		e.kept = e.kept[max(0, len(e.kept)-maxKept):]
	}
	if e.share <= 0 || e.Rand.Float64() >= e.share {
		return
	}
	const least = 2 * time.Second
	late := least + time.Duration(e.Rand.Int64N(int64(max(e.MaxDelay-least, time.Second))))
	if e.Rand.IntN(2) == 0 {
		to = e.Controllers[e.Rand.IntN(len(e.Controllers))]
	}
	e.replay(to, body, late, nil)
}

// replay has a copy arrive a while later, and counts it, also where that is asked for.
func (e *HeartbeatReplayer) replay(to string, body []byte, late time.Duration, also *int) {
	time.AfterFunc(late, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		caller := &transport.Caller{MaxBody: 8 << 20, Dial: e.Dial}
		if _, err := caller.Call(ctx, to, "POST", wire.PathHeartbeat, body); err == nil {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.delivered++; also != nil {
				*also++
			}
		}
	})
}
