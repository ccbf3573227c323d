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

// Bounds of forwarding.
const (
	dialTimeout       = 500 * time.Millisecond  // for a stream to be opened
	sendTimeout       = 300 * time.Millisecond  // for a request to be taken by the network
	answerTimeout     = 2500 * time.Millisecond // for its answer; what is left of a user's patience is for doing it here
	avoidAfterFailure = 3 * time.Second         // a sibling that did not answer
	maxOutstanding    = 300                     // requests to one sibling that are not answered
)

// errBroken means that a stream ended before a request was answered.
var errBroken = errors.New("the stream to the writer ended")

// errBusy means that too many requests wait for a sibling's answers.
var errBusy = errors.New("too many requests are forwarded")

// Client forwards requests to siblings.
type Client struct {
	// OpenStream opens a stream to a sibling.
	OpenStream func(ctx context.Context, sibling, kind string) (net.Conn, *gob.Encoder, error)
	// Writer names who writes a job, if that is a sibling; avoid tells whom not to take.
	Writer func(job string, avoid func(name string) bool) string
	Log    *slog.Logger

	mu       sync.Mutex
	streams  map[string]*stream
	failedAt map[string]time.Time
	counts   Counts
	closed   bool
}

// Counts counts what was forwarded.
type Counts struct {
	Forwarded  uint64 // requests
	Unanswered uint64 // of them, those whose outcome was not told in time
}

// Counts gives the counts so far.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Submit has the writer of a job accept it. Told is false where it is to be done here: nobody else
// writes it, or the outcome is not known.
func (c *Client) Submit(ctx context.Context, job *wire.Job) (rec store.JobRecord, created, handled bool, err error) {
	return c.forward(ctx, request{Verb: Submit, ID: job.ID, Job: wire.Encode(job)})
}

// Cancel has the writer of a job cancel it, likewise.
func (c *Client) Cancel(ctx context.Context, id string) (rec store.JobRecord, handled bool, err error) {
	rec, _, handled, err = c.forward(ctx, request{Verb: Cancel, ID: id})
	return rec, handled, err
}

func (c *Client) forward(ctx context.Context, r request) (rec store.JobRecord, created, handled bool, err error) {
	to := c.Writer(r.ID, c.recentlyFailed)
	if to == "" || ctx.Err() != nil {
		return rec, false, false, nil
	}
	wait, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	a, err := c.roundTrip(wait, to, r)
	if err != nil {
		if ctx.Err() == nil { // or its user has gone
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

// recentlyFailed reports whether a sibling did not answer lately.
func (c *Client) recentlyFailed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.failedAt[name]) < avoidAfterFailure
}

func (c *Client) recordFailure(to, job string, err error) {
	c.Log.Debug("request not forwarded", "job", job, "to", to, "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Unanswered++
	if errors.Is(err, errBusy) {
		return // it answers as fast as it can
	}
	if c.failedAt == nil {
		c.failedAt = make(map[string]time.Time)
	}
	c.failedAt[to] = time.Now()
}

// roundTrip sends a request and waits for its answer.
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
		return nil, errBroken
	case a := <-wait.answer:
		return a, nil
	}
}

// streamTo gives the stream to a sibling, which it opens if there is none.
func (c *Client) streamTo(ctx context.Context, to string) (*stream, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errBroken
	}
	c.counts.Forwarded++
	if c.streams == nil {
		c.streams = make(map[string]*stream)
	}
	s := c.streams[to]
	if s == nil || s.ended() {
		s = newStream()
		c.streams[to] = s
		go c.runStream(to, s)
	}
	c.mu.Unlock()
	select {
	case <-s.opened:
		return s, nil
	case <-s.done:
		return nil, errBroken
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runStream opens a stream and takes its answers until it ends.
func (c *Client) runStream(to string, s *stream) {
	defer s.end()
	dial, cancel := context.WithTimeout(context.Background(), dialTimeout)
	conn, enc, err := c.OpenStream(dial, to, StreamKind)
	cancel()
	if err != nil {
		c.Log.Debug("no stream to a writer", "to", to, "error", err)
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

// Run ends all streams when the context ends; nothing is forwarded after that.
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
