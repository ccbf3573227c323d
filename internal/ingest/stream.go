package ingest

import (
	"context"
	"encoding/gob"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/worker"
	"amberdeal.example/amberdeal/wire"
)

// stream is an open way to a holder. Its queue is the edge's, under the edge's lock.
type stream struct {
	leader         string
	conn           net.Conn
	queue          []*pendingHeartbeat
	wake           chan struct{}
	inFlight       chan []*pendingHeartbeat // batches that are not answered yet
	openCalls      int                      // that are being made for the holder
	callHeartbeats []item                   // what came of them since the last batch
	failedCalls    []string
	runningCalls   sync.WaitGroup // of the calls
	// proven: the holder has answered a batch, so that it is worth waiting for.
	proven bool
}

// pendingHeartbeat is a report whose worker waits.
type pendingHeartbeat struct {
	heartbeat *wire.Heartbeat
	since     time.Time
	answer    chan worker.HeartbeatResult // closed without one where none came in time
}

var errLeaderChanged = errors.New("another controller holds the fleet")

func (e *Uplink) runStream(ctx context.Context, leader string) error {
	dial, cancel := context.WithTimeout(ctx, 2*time.Second)
	conn, enc, err := e.OpenStream(dial, leader, StreamKind)
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close()
	s := &stream{leader: leader, conn: conn, wake: make(chan struct{}, 1), inFlight: make(chan []*pendingHeartbeat, maxInFlight)}
	e.mu.Lock()
	e.stream = s
	e.mu.Unlock()
	defer e.closeStream(s)
	defer s.runningCalls.Wait()
	g, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	g.Go(func() error { return e.watchLeader(ctx, s) })
	g.Go(func() error { return e.sendBatches(ctx, s, enc) })
	g.Go(func() error { return e.receiveReplies(ctx, s, gob.NewDecoder(conn)) })
	return g.Wait()
}

// watchLeader ends a stream as soon as another controller holds the fleet, also while the one
// that held it stands still and takes nothing.
func (e *Uplink) watchLeader(ctx context.Context, s *stream) error {
	tick := time.NewTicker(leaderCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if e.Leader() != s.leader {
				return errLeaderChanged
			}
		}
	}
}

// sendBatches passes batches on, some of them before the first is answered: a holder that
// decides, or has little of a processor, answers late and not at all less.
func (e *Uplink) sendBatches(ctx context.Context, s *stream, enc *gob.Encoder) error {
	codec := newDeltaCodec()
	for number := uint64(1); ctx.Err() == nil; number++ {
		heartbeats, now := e.nextHeartbeats(s), time.Now()
		b := e.newBatch(s)
		b.Number = number
		for _, w := range heartbeats {
			b.Items = append(b.Items, codec.compress(now, pack(w.heartbeat)))
		}
		select {
		case s.inFlight <- heartbeats:
		case <-ctx.Done():
			e.abandon(heartbeats)
			return nil
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		if err := enc.Encode(b); err != nil {
			return err
		}
		store.Backoff(ctx, batchInterval)
		t := time.NewTimer(keepAliveInterval)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// receiveReplies gives out the answers, which come in the order of the batches.
func (e *Uplink) receiveReplies(ctx context.Context, s *stream, dec *gob.Decoder) error {
	for number := uint64(1); ; number++ {
		select {
		case <-ctx.Done():
			return nil
		case heartbeats := <-s.inFlight:
			var r reply
			_ = s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
			err := dec.Decode(&r)
			if err == nil && (len(r.Answers) != len(heartbeats) || r.Number != 0 && r.Number != number) {
				err = errors.New("not an answer to each report")
			}
			if err != nil {
				e.abandon(heartbeats)
				return err
			}
			for i, w := range heartbeats {
				w.answer <- r.Answers[i].verdict()
			}
			e.mu.Lock()
			s.proven = true
			s.openCalls += len(r.Calls)
			e.mu.Unlock()
			for _, c := range r.Calls {
				s.runningCalls.Add(1)
				go e.makeFencingCall(ctx, s, c)
			}
		}
	}
}

// makeFencingCall makes a call for the holder and keeps what came of it for the next batch.
func (e *Uplink) makeFencingCall(ctx context.Context, s *stream, c leader.FencingCall) {
	defer s.runningCalls.Done()
	r := e.FencingCall(ctx, c)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.openCalls--
	if r != nil && r.Machine == c.Machine {
		s.callHeartbeats = append(s.callHeartbeats, pack(r))
	} else {
		s.failedCalls = append(s.failedCalls, c.Machine)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// newBatch begins a batch with what came of calls, and the room for more.
func (e *Uplink) newBatch(s *stream) batch {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := batch{Heard: s.callHeartbeats, Vain: s.failedCalls}
	s.callHeartbeats, s.failedCalls = nil, nil
	if e.FencingCall != nil {
		b.Room = max(0, e.Throttle.Window()-s.openCalls)
	}
	return b
}

// nextHeartbeats gives the reports to pass on next. Those that have waited for too long are no
// longer waited for by their workers.
func (e *Uplink) nextHeartbeats(s *stream) []*pendingHeartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*pendingHeartbeat
	n := 0
	for ; n < len(s.queue) && len(out) < maxBatch; n++ {
		if w := s.queue[n]; time.Since(w.since) < answerTimeout {
			out = append(out, w)
		} else {
			e.unanswered++
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

func (e *Uplink) abandon(heartbeats []*pendingHeartbeat) {
	for _, w := range heartbeats {
		close(w.answer)
	}
	e.mu.Lock()
	e.unanswered += uint64(len(heartbeats))
	e.mu.Unlock()
}

func (e *Uplink) closeStream(s *stream) {
	e.mu.Lock()
	if e.stream == s {
		e.stream = nil
		if s.proven {
			e.brokenAt = time.Now()
		}
	}
	rest := s.queue
	s.queue = nil
	e.mu.Unlock()
	e.abandon(rest)
	for len(s.inFlight) > 0 {
		e.abandon(<-s.inFlight)
	}
}
