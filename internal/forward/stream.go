package forward

import (
	"encoding/gob"
	"net"
	"sync"
	"time"
)

// stream is a connection to a peer on which several requests may be outstanding.
type stream struct {
	opened, done chan struct{} // closed when the stream has been opened, and when it has ended
	conn         net.Conn
	out          chan request

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]*pendingRequest
}

// pendingRequest is a request that has not been answered yet.
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

// end marks the stream as ended, which wakes all goroutines that wait on it.
func (s *stream) end() { close(s.done) }

// send assigns the next number to a request and queues it for sending. It returns errBusy if too many
// requests are outstanding.
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
	p := &pendingRequest{r.Number, make(chan *answer, 1)}
	s.pending[p.number] = p
	return p, nil
}

// sendAll sends the queued requests until the stream ends. It closes the connection if the peer does
// not take a request within sendTimeout.
func (s *stream) sendAll(enc *gob.Encoder) {
	for {
		select {
		case <-s.done:
			return
		case r := <-s.out:
			_ = s.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			if err := enc.Encode(r); err != nil {
				s.conn.Close() // a partly sent request can't be followed by another
				return
			}
		}
	}
}

// forget drops a pending request; an answer that arrives later is ignored.
func (s *stream) forget(p *pendingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, p.number)
}

// deliver passes an answer to the request that waits for it, and drops it if there is none.
func (s *stream) deliver(a *answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pending[a.Number]; p != nil {
		delete(s.pending, a.Number)
		p.answer <- a
	}
}
