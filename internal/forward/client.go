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

// Limits of forwarding. The time that a user still waits after answerTimeout is left for handling the
// request on this controller.
const (
	dialTimeout       = 500 * time.Millisecond  // for opening a stream
	sendTimeout       = 300 * time.Millisecond  // for writing a request to the connection
	answerTimeout     = 2500 * time.Millisecond // for its answer, including the time for opening a stream and sending
	avoidAfterFailure = 3 * time.Second         // for which a peer is avoided after it did not answer
	maxOutstanding    = 300                     // requests to one peer that wait for an answer
)

// errStreamEnded is returned if a stream ends before a request is answered.
var errStreamEnded = errors.New("stream to the writer ended")

// errBusy is returned if maxOutstanding requests to a peer already wait for answers.
var errBusy = errors.New("too many forwarded requests outstanding")

// Client forwards requests to the peers that write jobs, on one stream to each.
type Client struct {
	// OpenStream opens a stream to a peer.
	OpenStream func(ctx context.Context, peer, kind string) (net.Conn, *gob.Encoder, error)
	// Writer returns the name of the peer that writes a job, or an empty string if this controller does.
	// avoid reports whether a peer should not be chosen.
	Writer func(job string, avoid func(name string) bool) string
	Log    *slog.Logger

	mu       sync.Mutex
	streams  map[string]*stream
	failedAt map[string]time.Time // when each peer last failed to answer
	counts   Counts
	closed   bool
}

// Counts counts the forwarded requests and those of them without a known outcome.
type Counts struct {
	Forwarded  uint64
	Unanswered uint64 // forwarded requests whose outcome did not arrive in time
}

// Counts returns the current counts.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Submit forwards a job to its writer. If handled is false, the caller must submit the job on this
// controller: no peer writes it, the writer does not understand the request, or the outcome is unknown.
func (c *Client) Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, handled bool, err error) {
	return c.forward(ctx, request{Verb: Submit, ID: job.ID, Job: wire.Encode(job)})
}

// Cancel forwards a cancellation to the writer of the job. handled has the same meaning as for Submit.
func (c *Client) Cancel(ctx context.Context, id string) (rec store.JobRecord, handled bool, err error) {
	rec, _, handled, err = c.forward(ctx, request{Verb: Cancel, ID: id})
	return rec, handled, err
}

// forward sends a request to the writer of its job and waits for the outcome.
func (c *Client) forward(ctx context.Context, r request) (rec store.JobRecord, created, handled bool, err error) {
	to := c.Writer(r.ID, c.recentlyFailed)
	if to == "" || ctx.Err() != nil {
		return rec, false, false, nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	a, err := c.roundTrip(waitCtx, to, r)
	if err != nil {
		if ctx.Err() == nil { // otherwise the user has disconnected, and the peer is not at fault
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

// recentlyFailed reports whether a peer has failed to answer within the last avoidAfterFailure.
func (c *Client) recentlyFailed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.failedAt[name]) < avoidAfterFailure
}

// recordFailure counts a request without an answer, and has the peer avoided for avoidAfterFailure
// unless it is only busy.
func (c *Client) recordFailure(to, job string, err error) {
	c.Log.Debug("forwarding failed", "job", job, "peer", to, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Unanswered++
	if errors.Is(err, errBusy) {
		return // the peer is overloaded, not unreachable
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
	pending, err := s.send(r)
	if err != nil {
		return nil, err
	}
	defer s.forget(pending)
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.done:
		return nil, errStreamEnded
	case a := <-pending.answer:
		return a, nil
	}
}

// streamTo returns an open stream to a peer, and opens one if necessary.
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
		go c.runStream(context.WithoutCancel(ctx), to, s) // the stream outlives this request
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

// runStream opens a stream and delivers its answers until it ends. Run closes it on shutdown.
func (c *Client) runStream(ctx context.Context, to string, s *stream) {
	defer s.end()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, enc, err := c.OpenStream(dialCtx, to, StreamKind)
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

// Run waits until the context ends, and then closes all streams. Nothing is forwarded afterwards.
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
