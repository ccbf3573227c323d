package forward

import (
	"encoding/gob"
	"net"
	"sync"
	"time"
)

// stream is a connection to a peer, on which several requests may wait for their answers.
type stream struct {
	opened, done chan struct{} // closed once it is open, and once it has ended
	conn         net.Conn
	out          chan request

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]*pendingRequest
}

// pendingRequest is a request that is not answered yet.
type pendingRequest struct {
	number uint64
	answer chan *answer
}

func newStream() *stream {
	return &stream{opened: make(chan struct{}), done: make(chan struct{}), out: make(chan request, maxOutstanding), pending: make(map[uint64]*pendingRequest)}
}

// ended reports whether the stream has ended.
func (s *stream) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// end ends the stream for all that wait on it.
func (s *stream) end() { close(s.done) }

// send queues a request to be sent, and numbers it.
func (s *stream) send(r request) (*pendingRequest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxOutstanding {
		return nil, errBusy
	}
	r.Number = s.lastNumber + 1
	select {
	case s.out <- r:
	default:
		return nil, errBusy
	}
	s.lastNumber = r.Number
	w := &pendingRequest{r.Number, make(chan *answer, 1)}
	s.pending[w.number] = w
	return w, nil
}

// sendAll sends the queued requests until the stream ends. A peer that takes nothing more ends it.
func (s *stream) sendAll(enc *gob.Encoder) {
	for {
		select {
		case <-s.done:
			return
		case r := <-s.out:
			_ = s.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if err := enc.Encode(r); err != nil {
				s.conn.Close() // part of a request can't be followed by another
				return
			}
		}
	}
}

// forget stops waiting for an answer.
func (s *stream) forget(w *pendingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, w.number)
}

// deliver hands an answer to the request that waits for it; without one it is dropped.
func (s *stream) deliver(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.pending[a.Number]; w != nil {
		delete(s.pending, a.Number)
		w.answer <- a
	}
}
