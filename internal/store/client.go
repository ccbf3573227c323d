// Package store persists amberdeal's state in the state service, a consensus-backed
// key-value store with compare-and-swap transactions, leases and watches.
//
// Client calls the service within its controller's share of the request limits, which apply to
// all controllers together. The record types are the values stored under each kind of key.
// View is an in-memory copy of all records except the archive; Follower keeps it up to date
// and provides read barriers. Ledger is the write-ahead ledger of one shard, from which
// the shard's next leader recovers.
package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Client calls the state service. The service limits the rates of requests and changes of all
// controllers together, and each controller stays within its Allowance. Allowances may overlap
// briefly while leadership changes; the only cost is a refused request.
type Client struct {
	addr           string
	caller         *transport.Client
	requestLimiter *rate.Limiter // limits all requests, reads and writes
	changeLimiter  *rate.Limiter // limits changes, of which a transaction may contain several
	rps            float64       // limit of requests per second, shared by all controllers
	writeRPS       float64       // limit of changes per second, shared by all controllers
	log            *slog.Logger
	calls          callCounters
	malformed      atomic.Uint64 // transactions that the service called malformed
}

// MalformedTxns returns how many transactions the service called malformed.
func (c *Client) MalformedTxns() uint64 { return c.malformed.Load() }

// maxResponseBytes limits the size of a response. A page of keys takes half a MiB. A watch
// response above the limit is reported as ErrCompacted, so that the keys are listed instead.
const maxResponseBytes = 8 << 20

// callTimeout is the timeout of ordinary calls. Most responses arrive within 10 ms, but a
// service that takes 2 s for each call must remain usable: a shorter timeout would turn a
// slow service into an outage.
const callTimeout = 2500 * time.Millisecond

// listTimeout is the timeout for reading a page of keys, which is the largest response.
const listTimeout = 4 * time.Second

// HTTP status codes returned by the state service.
const (
	statusOK              = 200
	statusBadRequest      = 400
	statusNotFound        = 404
	statusConflict        = 409
	statusGone            = 410 // the watch starts before the oldest revision that is kept
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// NewClient returns a client for the state service at addr. rps and writeRPS are the limits of
// requests and changes per second for all controllers together; the client stays within the
// allowed share of them.
func NewClient(net transport.Network, addr string, rps, writeRPS float64, allowed Allowance, log *slog.Logger) *Client {
	c := &Client{
		addr:           addr,
		caller:         &transport.Client{MaxBody: maxResponseBytes, Dial: net.Dial},
		requestLimiter: rate.NewLimiter(0, 1),
		changeLimiter:  rate.NewLimiter(0, 1),
		rps:            rps,
		writeRPS:       writeRPS,
		log:            log,
	}
	c.SetAllowance(allowed)
	return c
}

// call sends one request and counts it under the purpose of the context.
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

// decode decodes a response body into v. A malformed body gives ErrUnknownOutcome, like a
// missing response.
func decode(resp *httpwire.Response, v any) error {
	if err := wire.Decode(resp.Body, v); err != nil {
		return fmt.Errorf("%w: malformed answer, status %d: %w", ErrUnknownOutcome, resp.Status, err)
	}
	return nil
}

// unexpectedStatus returns an error for a status code that the operation does not handle.
func unexpectedStatus(operation string, resp *httpwire.Response) error {
	return fmt.Errorf("%s: %w: status %d", operation, ErrUnknownOutcome, resp.Status)
}

// waitForRequest blocks until the rate limit allows one request.
func (c *Client) waitForRequest(ctx context.Context) error {
	if err := c.requestLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait for the limit of requests: %w: %w", ErrRefused, err)
	}
	return nil
}

// waitForChanges blocks until the rate limit allows the given number of changes. Changes beyond
// one burst are reserved in advance, so that later changes wait for them.
func (c *Client) waitForChanges(ctx context.Context, changes int) error {
	n := min(changes, c.changeLimiter.Burst())
	if n <= 0 {
		return nil
	}
	if err := c.changeLimiter.WaitN(ctx, n); err != nil {
		return fmt.Errorf("wait for the limit of changes: %w: %w", ErrRefused, err)
	}
	if excess := changes - n; excess > 0 {
		c.changeLimiter.ReserveN(time.Now(), min(excess, c.changeLimiter.Burst()))
	}
	return nil
}

// Txn commits a transaction and returns its revision. The errors *ConflictError,
// ErrLeaseNotFound and ErrRefused mean that the transaction was not committed; after
// ErrUnknownOutcome it may have been committed, or may still be.
func (c *Client) Txn(ctx context.Context, t wire.Txn) (uint64, error) {
	return c.TxnBeforeSend(ctx, t, func() {})
}

// TxnBeforeSend is like Txn, but calls beforeSend just before the transaction is sent, once the
// rate limits allow it.
func (c *Client) TxnBeforeSend(ctx context.Context, t wire.Txn, beforeSend func()) (uint64, error) {
	if err := c.waitForRequest(ctx); err != nil {
		return 0, err
	}
	if err := c.waitForChanges(ctx, len(t.Then)); err != nil {
		return 0, err
	}
	if t.If == nil { // the service accepts empty lists but rejects missing ones
		t.If = []wire.Condition{}
	}
	if t.Then == nil {
		t.Then = []wire.Operation{}
	}
	c.calls.add(purposeOf(ctx), func(s *CallStats) { s.Changes += uint64(len(t.Then)) })
	beforeSend()
	body := wire.Encode(t)
	resp, err := c.call(ctx, "POST", wire.PathTxn, body, callTimeout)
	if err != nil {
		return 0, err
	}
	revision, err := txnOutcome(resp)
	if errors.Is(err, ErrMalformedTxn) {
		c.malformed.Add(1)
		c.log.Error("state service rejected a transaction as malformed", "err", err, "bytes", len(body), "changes", len(t.Then), "conditions", len(t.If))
	}
	return revision, err
}

// txnOutcome converts the response to a transaction into its revision or an error.
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
		var failure wire.Failure
		_ = decode(resp, &failure) // without a readable reason, the transaction counts as malformed
		if failure.Error == ErrLeaseNotFound.Error() {
			return 0, ErrLeaseNotFound
		}
		return 0, fmt.Errorf("%w: %w: %s", ErrRefused, ErrMalformedTxn, failure.Error)
	}
	return 0, unexpectedStatus("commit transaction", resp)
}

// List reads one page of the keys with a prefix that sort after the key given by after. The page
// has at most limit keys; a limit of 0 requests the largest possible page.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (*wire.KeyValueList, error) {
	if limit == 0 {
		limit = wire.MaxKeysPerPage
	}
	if err := c.waitForRequest(ctx); err != nil {
		return nil, err
	}
	resp, err := c.call(ctx, "GET", wire.KeysPath(prefix, after, limit), nil, listTimeout)
	if err != nil {
		return nil, err
	}
	if resp.Status != statusOK {
		return nil, unexpectedStatus("list keys", resp)
	}
	var list wire.KeyValueList
	return &list, decode(resp, &list)
}

// Changes returns the changes, after revision from, of keys with a prefix. If there are none yet,
// it waits for some, at most for the duration wait. ErrCompacted means that the keys have to be
// listed again.
func (c *Client) Changes(ctx context.Context, prefix string, from uint64, wait time.Duration) (*wire.WatchResponse, error) {
	if err := c.waitForRequest(ctx); err != nil {
		return nil, err
	}
	resp, err := c.call(ctx, "GET", wire.WatchPath(prefix, from, wait), nil, wait+callTimeout)
	var httpErr *httpwire.Error
	switch {
	case errors.As(err, &httpErr): // too many changes for one response; a retry would get even more
		return nil, fmt.Errorf("%w: %w", ErrCompacted, err)
	case err != nil:
		return nil, err
	}
	switch resp.Status {
	case statusOK:
		var changes wire.WatchResponse
		return &changes, decode(resp, &changes)
	case statusGone:
		return nil, ErrCompacted
	}
	return nil, unexpectedStatus("read changes", resp)
}

// GrantLease creates a lease with a time to live and returns its ID. Lease calls take priority
// over all others, so that no leader loses its lease because of its own load: they are charged
// to the allowance but never wait for it.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.requestLimiter.Reserve()
	resp, err := c.call(ctx, "POST", wire.PathLeases, wire.Encode(wire.LeaseGrantRequest{TTLms: ttl.Milliseconds()}), callTimeout)
	if err != nil {
		return 0, err
	}
	if resp.Status != statusOK {
		return 0, unexpectedStatus("grant lease", resp)
	}
	var granted wire.LeaseGrantResponse
	err = decode(resp, &granted)
	return granted.Lease, err
}

// RenewLease resets a lease to its full time to live. ErrLeaseNotFound means that the lease has
// expired.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	c.requestLimiter.Reserve()
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

// RevokeLease ends a lease immediately and deletes the keys attached to it.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	c.requestLimiter.Reserve()
	_, err := c.call(ctx, "DELETE", wire.LeasePath(lease), nil, callTimeout)
	return err
}
