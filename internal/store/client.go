// Package store works with the state service: its calls under the fleet's
// limits, the records that amberdeal keeps there, and a view that follows them.
package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Client calls the state service. Each controller takes its share of the
// limits, which hold for all controllers together. Of the changes, whoever holds the fleet gets
// half, by parts, and the rest is for acceptance, shared evenly or as package writers says.
// Shares that overlap while a holder changes only cost a refusal.
type Client struct {
	addr         string
	caller       *transport.Caller
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	rps          float64
	writeRPS     float64
	log          *slog.Logger
	calls        callCounters
}

// maxResponseBytes bounds an answer: a page of keys takes half a MiB, and where changes take more than
// this the keys are read in less.
const maxResponseBytes = 8 << 20

// NewClient gives a client that keeps to an allowance.
func NewClient(net transport.Network, addr string, rps, writeRPS float64, allowed Allowance, log *slog.Logger) *Client {
	c := &Client{addr: addr, caller: &transport.Caller{MaxBody: maxResponseBytes, Dial: net.Dial}, readLimiter: rate.NewLimiter(0, 1), writeLimiter: rate.NewLimiter(0, 1),
		rps: rps, writeRPS: writeRPS, log: log}
	c.Allow(allowed)
	return c
}

// callTimeout bounds an ordinary call. Answers mostly come within 10 ms, but a
// service that takes 2 s for each must still be of use: giving up sooner makes
// an outage of its slowness.
const callTimeout = 2500 * time.Millisecond

func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration) (*httpwire.Response, error) {
	purpose := purposeOf(ctx)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	c.calls.add(purpose, func(s *CallStats) { s.Requests++ })
	resp, err := c.caller.Call(ctx, c.addr, method, path, body)
	if err != nil {
		c.calls.add(purpose, func(s *CallStats) { s.Unanswered++ })
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	c.calls.add(purpose, func(s *CallStats) { s.Bytes += uint64(len(body) + len(resp.Body)) })
	if resp.Status == 429 || resp.Status == 503 {
		c.calls.add(purpose, func(s *CallStats) { s.Refused++ })
		return nil, fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	}
	return resp, nil
}

// decode reads an answer; a malformed one counts as none.
func decode(resp *httpwire.Response, v any) error {
	if err := wire.Decode(resp.Body, v); err != nil {
		return fmt.Errorf("%w: malformed answer, status %d: %w", ErrUnknownOutcome, resp.Status, err)
	}
	return nil
}

// Txn commits a transaction and gives its revision. What came of it is in the
// error: *ConflictError, ErrNoLease, ErrRefused or ErrUnknown.
func (c *Client) Txn(ctx context.Context, t wire.Txn) (uint64, error) {
	return c.TxnBeforeSend(ctx, t, func() {})
}

// TxnBeforeSend is Txn; sending is called once the limits allow the transaction, before it is sent.
func (c *Client) TxnBeforeSend(ctx context.Context, t wire.Txn, beforeSend func()) (uint64, error) {
	if err := c.readLimiter.Wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if n := min(len(t.Then), c.writeLimiter.Burst()); n > 0 {
		if err := c.writeLimiter.WaitN(ctx, n); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		if rest := len(t.Then) - n; rest > 0 { // more than a burst: owe the rest
			c.writeLimiter.ReserveN(time.Now(), min(rest, c.writeLimiter.Burst()))
		}
	}
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	if t.Then == nil {
		t.Then = []wire.Operation{}
	}
	c.calls.add(purposeOf(ctx), func(s *CallStats) { s.Changes += uint64(len(t.Then)) })
	beforeSend()
	resp, err := c.call(ctx, "POST", wire.PathTxn, wire.Encode(t), callTimeout)
	if err != nil {
		return 0, err
	}
	var r wire.TxnResult
	switch resp.Status {
	case 200:
		err := decode(resp, &r)
		return r.Revision, err
	case 409:
		if err := decode(resp, &r); err != nil {
			return 0, err
		}
		return 0, &ConflictError{r.Failed}
	case 400:
		var f wire.Failure
		_ = decode(resp, &f)
		if f.Error == ErrLeaseNotFound.Error() {
			return 0, ErrLeaseNotFound
		}
		c.log.Error("state service calls a transaction malformed", "error", f.Error, "changes", len(t.Then), "conditions", len(t.If))
		return 0, fmt.Errorf("%w: %s", ErrRefused, f.Error)
	}
	return 0, fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.Status)
}

// List reads a page of keys, of at most limit; 0 stands for as many as there may
// be.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error) {
	if limit == 0 {
		limit = wire.MaxItems
	}
	if err := c.readLimiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	resp, err := c.call(ctx, "GET", wire.KeysPath(prefix, after, limit), nil, 4*time.Second)
	if err != nil {
		return nil, err
	}
	var l wire.KeyValueList
	if resp.Status != 200 {
		return nil, fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.Status)
	}
	return &l, decode(resp, &l)
}

// Changes waits for changes after a revision, at most for wait.
func (c *Client) Changes(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.WatchResponse, error) {
	if err := c.readLimiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	resp, err := c.call(ctx, "GET", wire.WatchPath(prefix, from, wait), nil, wait+callTimeout)
	var fault *httpwire.Error
	switch {
	case errors.As(err, &fault): // too many, and there would only be more of them next time
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	case err != nil:
		return nil, err
	}
	switch resp.Status {
	case 200:
		var ch wire.WatchResponse
		return &ch, decode(resp, &ch)
	case 410:
		return nil, ErrCompacted
	}
	return nil, fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.Status)
}

// GrantLease takes a new lease. Lease calls go before all others: they are charged
// to the share but never wait for it.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.readLimiter.Reserve()
	resp, err := c.call(ctx, "POST", wire.PathLeases, wire.Encode(wire.LeaseGrantRequest{TTLms: ttl.Milliseconds()}), callTimeout)
	if err != nil {
		return 0, err
	}
	var id wire.LeaseGrantResponse
	if resp.Status != 200 {
		return 0, fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.Status)
	}
	return id.Lease, decode(resp, &id)
}

// RenewLease gives a lease its full time again.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	c.readLimiter.Reserve()
	resp, err := c.call(ctx, "POST", wire.RenewPath(lease), nil, callTimeout)
	switch {
	case err != nil:
		return err
	case resp.Status == 404:
		return ErrLeaseNotFound
	case resp.Status != 200:
		return fmt.Errorf("%w: status %d", ErrUnknownOutcome, resp.Status)
	}
	return nil
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	c.readLimiter.Reserve()
	_, err := c.call(ctx, "DELETE", wire.LeasePath(lease), nil, callTimeout)
	return err
}
