package forward

import (
	"context"
	"encoding/gob"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Bounds of forwarding. What is left of a user's patience after answerTimeout is for doing the
// request here.
const (
	dialTimeout       = 500 * time.Millisecond  // for a stream to be opened
	sendTimeout       = 300 * time.Millisecond  // for a request to be taken by the network
	answerTimeout     = 2500 * time.Millisecond // for its answer
	avoidAfterFailure = 3 * time.Second         // for which a peer that did not answer is avoided
	maxOutstanding    = 300                     // requests to one peer without an answer
)

// errBroken means that a stream ended before the request was answered.
var errStreamEnded = errors.New("stream to the writer ended")

// errBusy means that too many requests wait for one peer's answers.
var errBusy = errors.New("too many forwarded requests wait")

// Client forwards requests to the peers that write for all, on one stream to each.
type Client struct {
	// OpenStream opens a stream to a peer.
	OpenStream func(ctx context.Context, peer, kind string) (net.Conn, *gob.Encoder, error)
	// Writer names the peer that writes a job, empty where this controller does; avoid reports which
	// peers not to take.
	Writer func(job string, avoid func(name string) bool) string
	Log    *slog.Logger

	mu       sync.Mutex
	streams  map[string]*stream
	failedAt map[string]time.Time // by peer, when it last did not answer
	counts   Counts
	closed   bool
}

// Counts are the requests that were forwarded, and those of them without an outcome.
type Counts struct {
	Forwarded  uint64 // requests
	Unanswered uint64 // of them, those whose outcome was not told in time
}

// Counts returns the counts so far.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Submit has the writer of a job accept it. handled is false where it is to be done here: no peer
// writes the job, or the outcome is not known.
func (c *Client) Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, handled bool, err error) {
	return c.forward(ctx, request{Verb: Submit, ID: job.ID, Job: wire.Encode(job)})
}

// Cancel has the writer of a job cancel it; handled is as for Submit.
func (c *Client) Cancel(ctx context.Context, id string) (rec store.JobRecord, handled bool, err error) {
	rec, _, handled, err = c.forward(ctx, request{Verb: Cancel, ID: id})
	return rec, handled, err
}

// forward sends a request to the job's writer and waits for the outcome.
func (c *Client) forward(ctx context.Context, r request) (rec store.JobRecord, created, handled bool, err error) {
	to := c.Writer(r.ID, c.recentlyFailed)
	if to == "" || ctx.Err() != nil {
		return rec, false, false, nil
	}
	wait, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	a, err := c.roundTrip(wait, to, r)
	if err != nil {
		if ctx.Err() == nil { // else the user has gone
			c.recordFailure(to, r.ID, err)
		}
		return rec, false, false, nil
	}
	if a.Failure == failedNotUnderstood {
		return rec, false, false, nil
	}
	rec, created, err = a.outcome()
	return rec, created, true, err
}

// recentlyFailed reports whether a peer did not answer a short while ago.
func (c *Client) recentlyFailed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.failedAt[name]) < avoidAfterFailure
}

// recordFailure notes that a peer did not answer, so that it is avoided for a while.
func (c *Client) recordFailure(to, job string, err error) {
	c.Log.Debug("forwarding failed", "job", job, "peer", to, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Unanswered++
	if errors.Is(err, errBusy) {
		return // the peer answers as fast as it can
	}
	if c.failedAt == nil {
		c.failedAt = make(map[string]time.Time)
	}
	c.failedAt[to] = time.Now()
}

// roundTrip sends a request to a peer and waits for its answer.
func (c *Client) roundTrip(ctx context.Context, to string, r request) (*answer, error) {
	s, err := c.streamTo(ctx, to)
	if err != nil {
		return nil, err
	}
	wait, err := s.send(r)
	if err != nil {
		return nil, err
	}
	defer s.forget(wait)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.done:
		return nil, errStreamEnded
	case a := <-wait.answer:
		return a, nil
	}
}

// streamTo returns the stream to a peer, and opens it if there is none.
func (c *Client) streamTo(ctx context.Context, to string) (*stream, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errStreamEnded
	}
	c.counts.Forwarded++
	if c.streams == nil {
		c.streams = make(map[string]*stream)
	}
	s := c.streams[to]
	if s == nil || s.ended() {
		s = newStream()
		c.streams[to] = s
		go c.runStream(context.WithoutCancel(ctx), to, s) // it serves later requests too
	}
	c.mu.Unlock()
	select {
	case <-s.opened:
		return s, nil
	case <-s.done:
		return nil, errStreamEnded
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runStream opens a stream and takes its answers until it ends. Run ends it at the latest.
func (c *Client) runStream(ctx context.Context, to string, s *stream) {
	defer s.end()
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, enc, err := c.OpenStream(dial, to, StreamKind)
	cancel()
	if err != nil {
		c.Log.Debug("connecting to a writer failed", "peer", to, "err", err)
		return
	}
	defer conn.Close()
	c.mu.Lock()
	closed := c.closed
	s.conn = conn
	close(s.opened)
	c.mu.Unlock()
	if closed {
		return
	}
	go s.sendAll(enc)
	dec := gob.NewDecoder(conn)
	for {
		a := new(answer)
		if err := dec.Decode(a); err != nil {
			return
		}
		s.deliver(a)
	}
}

// Run waits until the context ends, and then ends all streams; nothing is forwarded after that.
func (c *Client) Run(ctx context.Context) error {
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, s := range c.streams {
		select {
		case <-s.opened:
			s.conn.Close()
		default:
		}
	}
	return nil
}
