package ingest

import (
	"context"
	"encoding/gob"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// Edge passes reports to the holder.
type Edge struct {
	// Holder names the controller to pass reports to, empty for none.
	Holder func() string
	// Open opens a stream to a sibling.
	Open func(ctx context.Context, sibling, kind string) (net.Conn, *gob.Encoder, error)
	// Call makes a call for the holder; nil makes none.
	Call func(ctx context.Context, c leader.Raise) *wire.Report
	Pace *throttle.Pace // of these calls
	Log  *slog.Logger

	mu     sync.Mutex
	stream *stream
	holder string    // that was last named
	since  time.Time // when it first was
	broke  time.Time // when a way that was open last broke
	passed uint64
	lost   uint64
}

// stream is an open way to a holder. Its queue is the edge's, under the edge's lock.
type stream struct {
	holder string
	conn   net.Conn
	queue  []*waiting
	wake   chan struct{}
	sent   chan []*waiting // batches that are not answered yet
	calls  int             // that are being made for the holder
	heard  []item          // what came of them since the last batch
	vain   []string
	making sync.WaitGroup // of the calls
	// proven: the holder has answered a batch, so that it is worth waiting for.
	proven bool
}

// waiting is a report whose worker waits.
type waiting struct {
	report *wire.Report
	since  time.Time
	answer chan worker.Verdict // closed without one where none came in time
}

// Counts are what an edge has done.
type Counts struct{ Passed, Lost uint64 }

// Counts tells how many reports were passed on, and how many of them had no answer.
func (e *Edge) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Counts{e.passed, e.lost}
}

// Passes names the holder that reports are passed to at the moment, empty for none.
func (e *Edge) Passes() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stream != nil && e.stream.proven {
		return e.stream.holder
	}
	return ""
}

// lately is for how long a way to the holder that has broken is expected to open again.
const lately = 5 * time.Second

// Lately reports whether a way to a holder is expected to open soon: one has broken a
// short while ago, or the holder is new.
func (e *Edge) Lately() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.broke) < lately || time.Since(e.since) < lately
}

// Pass gives a report to the holder and waits for what it says. ok is false where
// there is no way to it; where it has said nothing in time, the verdict is empty.
func (e *Edge) Pass(ctx context.Context, r *wire.Report) (v worker.Verdict, ok bool) {
	e.mu.Lock()
	s := e.stream
	if s == nil || !s.proven || s.holder != e.Holder() {
		e.mu.Unlock()
		return worker.Verdict{}, false
	}
	w := &waiting{r, time.Now(), make(chan worker.Verdict, 1)}
	s.queue = append(s.queue, w)
	e.passed++
	e.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	late := time.NewTimer(patience + patience/8)
	defer late.Stop()
	select {
	case v = <-w.answer:
	case <-late.C: // its worker does not wait any longer
	case <-ctx.Done():
	}
	return v, true
}

// Run keeps a stream to whoever holds the fleet until the context ends.
func (e *Edge) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		var err error
		holder := e.Holder()
		e.mu.Lock()
		if holder != e.holder {
			e.holder, e.since = holder, time.Now()
		}
		e.mu.Unlock()
		if holder != "" {
			if err = e.serve(ctx, holder); err != nil && ctx.Err() == nil {
				e.Log.Debug("stream of reports ended", "holder", holder, "error", err)
			}
		}
		if !errors.Is(err, errHolder) {
			store.Pause(ctx, redial)
		}
	}
	return nil
}

var errHolder = errors.New("another controller holds the fleet")

func (e *Edge) serve(ctx context.Context, holder string) error {
	dial, cancel := context.WithTimeout(ctx, 2*time.Second)
	conn, enc, err := e.Open(dial, holder, Kind)
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close()
	s := &stream{holder: holder, conn: conn, wake: make(chan struct{}, 1), sent: make(chan []*waiting, maxSent)}
	e.mu.Lock()
	e.stream = s
	e.mu.Unlock()
	defer e.drop(s)
	defer s.making.Wait()
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	g.Go(func() error { return e.watch(ctx, s) })
	g.Go(func() error { return e.send(ctx, s, enc) })
	g.Go(func() error { return e.receive(ctx, s, gob.NewDecoder(conn)) })
	return g.Wait()
}

// watch ends a stream as soon as another controller holds the fleet, also while the one
// that held it stands still and takes nothing.
func (e *Edge) watch(ctx context.Context, s *stream) error {
	tick := time.NewTicker(holderGap)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if e.Holder() != s.holder {
				return errHolder
			}
		}
	}
}

// send passes batches on, some of them before the first is answered: a holder that
// decides, or has little of a processor, answers late and not at all less.
func (e *Edge) send(ctx context.Context, s *stream, enc *gob.Encoder) error {
	memory := newMemory()
	for number := uint64(1); ctx.Err() == nil; number++ {
		reports, now := e.take(s), time.Now()
		b := e.calledFor(s)
		b.Number = number
		for _, w := range reports {
			b.Items = append(b.Items, memory.shrink(now, pack(w.report)))
		}
		select {
		case s.sent <- reports:
		case <-ctx.Done():
			e.fail(reports)
			return nil
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(stuck))
		if err := enc.Encode(b); err != nil {
			return err
		}
		store.Pause(ctx, batchGap)
		t := time.NewTimer(keepAlive)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// receive gives out the answers, which come in the order of the batches.
func (e *Edge) receive(ctx context.Context, s *stream, dec *gob.Decoder) error {
	for number := uint64(1); ; number++ {
		select {
		case <-ctx.Done():
			return nil
		case reports := <-s.sent:
			var r reply
			_ = s.conn.SetReadDeadline(time.Now().Add(stuck))
			err := dec.Decode(&r)
			if err == nil && (len(r.Answers) != len(reports) || r.Number != 0 && r.Number != number) {
				err = errors.New("not an answer to each report")
			}
			if err != nil {
				e.fail(reports)
				return err
			}
			for i, w := range reports {
				w.answer <- r.Answers[i].verdict()
			}
			e.mu.Lock()
			s.proven = true
			s.calls += len(r.Calls)
			e.mu.Unlock()
			for _, c := range r.Calls {
				s.making.Add(1)
				go e.call(ctx, s, c)
			}
		}
	}
}

// call makes a call for the holder and keeps what came of it for the next batch.
func (e *Edge) call(ctx context.Context, s *stream, c leader.Raise) {
	defer s.making.Done()
	r := e.Call(ctx, c)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.calls--
	if r != nil && r.Machine == c.Machine {
		s.heard = append(s.heard, pack(r))
	} else {
		s.vain = append(s.vain, c.Machine)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// calledFor begins a batch with what came of calls, and the room for more.
func (e *Edge) calledFor(s *stream) batch {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := batch{Heard: s.heard, Vain: s.vain}
	s.heard, s.vain = nil, nil
	if e.Call != nil {
		b.Room = max(0, e.Pace.Window()-s.calls)
	}
	return b
}

// take gives the reports to pass on next. Those that have waited for too long are no
// longer waited for by their workers.
func (e *Edge) take(s *stream) []*waiting {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*waiting
	n := 0
	for ; n < len(s.queue) && len(out) < maxBatch; n++ {
		if w := s.queue[n]; time.Since(w.since) < patience {
			out = append(out, w)
		} else {
			e.lost++
			close(w.answer)
		}
	}
	s.queue = s.queue[n:]
	if len(s.queue) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return out
}

func (e *Edge) fail(reports []*waiting) {
	for _, w := range reports {
		close(w.answer)
	}
	e.mu.Lock()
	e.lost += uint64(len(reports))
	e.mu.Unlock()
}

func (e *Edge) drop(s *stream) {
	e.mu.Lock()
	if e.stream == s {
		e.stream = nil
		if s.proven {
			e.broke = time.Now()
		}
	}
	rest := s.queue
	s.queue = nil
	e.mu.Unlock()
	e.fail(rest)
	for len(s.sent) > 0 {
		e.fail(<-s.sent)
	}
}
