// Package store keeps amberdeal's state in the state service, a consensus-backed
// key-value store with compare-and-swap transactions, leases and watches.
//
// Client makes the calls, within the share of the fleet's request limits that its
// controller may use. The record types are the values stored under each kind of key.
// View is an in-memory copy of all of them but the archive; Follower keeps it up to date
// and provides read barriers. Ledger is the write-ahead ledger of one shard, from which
// the shard's next leader recovers.
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

// Client calls the state service. The service limits requests and changes for all
// controllers together, and each controller keeps to its Allowance of them. Allowances
// that overlap for a moment, while the leader changes, only cost a refused request.
type Client struct {
	addr         string
	caller       *transport.Caller
	readLimiter  *rate.Limiter // all requests
	writeLimiter *rate.Limiter // changes, of which a transaction may have several
	rps          float64       // limit of requests per second, of all controllers
	writeRPS     float64       // limit of changes per second, of all controllers
	log          *slog.Logger
	calls        callCounters
}

// maxResponseBytes bounds a response. A page of keys takes half a MiB; a watch response
// above the bound is reported as ErrCompacted, so that the keys are listed instead.
const maxResponseBytes = 8 << 20

// callTimeout bounds an ordinary call. Responses mostly come within 10 ms, but a
// service that takes 2 s for each must still be usable: giving up sooner would turn
// its slowness into an outage.
const callTimeout = 2500 * time.Millisecond

// listTimeout bounds the read of a page of keys, which is the largest response.
const listTimeout = 4 * time.Second

// HTTP statuses of the state service.
const (
	statusOK              = 200
	statusBadRequest      = 400
	statusNotFound        = 404
	statusConflict        = 409
	statusGone            = 410 // a watch begins before the oldest revision that is kept
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// NewClient returns a client of the state service at addr that keeps to an allowance of
// the fleet's limits, which are given in requests and changes per second.
func NewClient(net transport.Network, addr string, rps, writeRPS float64, allowed Allowance, log *slog.Logger) *Client {
	c := &Client{
		addr:         addr,
		caller:       &transport.Caller{MaxBody: maxResponseBytes, Dial: net.Dial},
		readLimiter:  rate.NewLimiter(0, 1),
		writeLimiter: rate.NewLimiter(0, 1),
		rps:          rps,
		writeRPS:     writeRPS,
		log:          log,
	}
	c.Allow(allowed)
	return c
}

// call sends one request and counts it by its purpose.
func (c *Client) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (*httpwire.Response, error) {
	purpose := purposeOf(ctx)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.calls.add(purpose, func(s *CallStats) { s.Requests++ })
	resp, err := c.caller.Call(ctx, c.addr, method, path, body)
	if err != nil {
		c.calls.add(purpose, func(s *CallStats) { s.Unanswered++ })
		return nil, fmt.Errorf("%s %s: %w: %w", method, path, ErrUnknownOutcome, err)
	}
	c.calls.add(purpose, func(s *CallStats) { s.Bytes += uint64(len(body) + len(resp.Body)) })
	if resp.Status == statusTooManyRequests || resp.Status == statusUnavailable {
		c.calls.add(purpose, func(s *CallStats) { s.Refused++ })
		return nil, fmt.Errorf("%s %s: %w: status %d", method, path, ErrRefused, resp.Status)
	}
	return resp, nil
}

// decode reads a response body; a malformed one counts as no response.
func decode(resp *httpwire.Response, v any) error {
	if err := wire.Decode(resp.Body, v); err != nil {
		return fmt.Errorf("%w: malformed answer, status %d: %w", ErrUnknownOutcome, resp.Status, err)
	}
	return nil
}

// unexpectedStatus is the error for a status that the call does not know.
func unexpectedStatus(attempted string, resp *httpwire.Response) error {
	return fmt.Errorf("%s: %w: status %d", attempted, ErrUnknownOutcome, resp.Status)
}

// waitToRead waits until the limits allow a request.
func (c *Client) waitToRead(ctx context.Context) error {
	if err := c.readLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait for the limit of requests: %w: %w", ErrRefused, err)
	}
	return nil
}

// waitToWrite waits until the limits allow a number of changes. What exceeds a burst is
// taken in advance: the changes after it wait for it.
func (c *Client) waitToWrite(ctx context.Context, changes int) error {
	n := min(changes, c.writeLimiter.Burst())
	if n <= 0 {
		return nil
	}
	if err := c.writeLimiter.WaitN(ctx, n); err != nil {
		return fmt.Errorf("wait for the limit of changes: %w: %w", ErrRefused, err)
	}
	if rest := changes - n; rest > 0 {
		c.writeLimiter.ReserveN(time.Now(), min(rest, c.writeLimiter.Burst()))
	}
	return nil
}

// Txn commits a transaction and returns its revision. A transaction that was not
// committed gives a *ConflictError, ErrLeaseNotFound or ErrRefused; after
// ErrUnknownOutcome it may have been, or may still be.
func (c *Client) Txn(ctx context.Context, t wire.Txn) (uint64, error) {
	return c.TxnBeforeSend(ctx, t, func() {})
}

// TxnBeforeSend is Txn with a function that is called once the limits allow the
// transaction, just before it is sent.
func (c *Client) TxnBeforeSend(ctx context.Context, t wire.Txn, beforeSend func()) (uint64, error) {
	if err := c.waitToRead(ctx); err != nil {
		return 0, err
	}
	if err := c.waitToWrite(ctx, len(t.Then)); err != nil {
		return 0, err
	}
	if t.If == nil { // the service takes empty lists, and no absent ones
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
	revision, err := txnOutcome(resp)
	if errors.Is(err, errMalformed) {
		c.log.Error("state service rejected a transaction as malformed", "err", err, "changes", len(t.Then), "conditions", len(t.If))
	}
	return revision, err
}

// txnOutcome reads the response to a transaction.
func txnOutcome(resp *httpwire.Response) (uint64, error) {
	var r wire.TxnResult
	switch resp.Status {
	case statusOK:
		err := decode(resp, &r)
		return r.Revision, err
	case statusConflict:
		if err := decode(resp, &r); err != nil {
			return 0, err
		}
		return 0, &ConflictError{r.Failed}
	case statusBadRequest:
		var f wire.Failure
		_ = decode(resp, &f) // without a readable reason it is malformed too
		if f.Error == ErrLeaseNotFound.Error() {
			return 0, ErrLeaseNotFound
		}
		return 0, fmt.Errorf("%w: %w: %s", ErrRefused, errMalformed, f.Error)
	}
	return 0, unexpectedStatus("commit transaction", resp)
}

// List reads one page of the keys with a prefix that follow the key after, at most limit
// of them; 0 asks for as many as a page may hold.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error) {
	if limit == 0 {
		limit = wire.MaxItems
	}
	if err := c.waitToRead(ctx); err != nil {
		return nil, err
	}
	resp, err := c.call(ctx, "GET", wire.KeysPath(prefix, after, limit), nil, listTimeout)
	if err != nil {
		return nil, err
	}
	if resp.Status != statusOK {
		return nil, unexpectedStatus("list keys", resp)
	}
	var l wire.KeyValueList
	return &l, decode(resp, &l)
}

// Changes returns the changes of keys with a prefix after a revision. It waits for some,
// at most as long as wait; ErrCompacted means that the keys have to be listed again.
func (c *Client) Changes(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.WatchResponse, error) {
	if err := c.waitToRead(ctx); err != nil {
		return nil, err
	}
	resp, err := c.call(ctx, "GET", wire.WatchPath(prefix, from, wait), nil, wait+callTimeout)
	var fault *httpwire.Error
	switch {
	case errors.As(err, &fault): // too many for a response, and the next one would hold even more
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	case err != nil:
		return nil, err
	}
	switch resp.Status {
	case statusOK:
		var ch wire.WatchResponse
		return &ch, decode(resp, &ch)
	case statusGone:
		return nil, ErrCompacted
	}
	return nil, unexpectedStatus("read changes", resp)
}

// GrantLease creates a lease with a time to live. Lease calls go before all others, so
// that no leader loses its lease to its own load: they are charged to the allowance but
// never wait for it.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.readLimiter.Reserve()
	resp, err := c.call(ctx, "POST", wire.PathLeases, wire.Encode(wire.LeaseGrantRequest{TTLms: ttl.Milliseconds()}), callTimeout)
	if err != nil {
		return 0, err
	}
	if resp.Status != statusOK {
		return 0, unexpectedStatus("grant lease", resp)
	}
	var id wire.LeaseGrantResponse
	err = decode(resp, &id)
	return id.Lease, err
}

// RenewLease gives a lease its full time to live again; ErrLeaseNotFound means that it
// has expired.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	c.readLimiter.Reserve()
	resp, err := c.call(ctx, "POST", wire.RenewPath(lease), nil, callTimeout)
	switch {
	case err != nil:
		return err
	case resp.Status == statusNotFound:
		return ErrLeaseNotFound
	case resp.Status != statusOK:
		return unexpectedStatus("renew lease", resp)
	}
	return nil
}

// RevokeLease ends a lease, and deletes the keys attached to it, at once.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	c.readLimiter.Reserve()
	_, err := c.call(ctx, "DELETE", wire.LeasePath(lease), nil, callTimeout)
	return err
}
