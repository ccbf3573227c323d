// Package cloud calls the cloud that rents out machines. All calls of a client keep to its share of
// the cloud's rate limit, and slow down when the cloud refuses some.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// ErrNoCapacity means that the cloud has no such machine to give.
var ErrNoCapacity = errors.New("no capacity")

const (
	// callTimeout bounds a call, once its turn has come.
	callTimeout = 4 * time.Second
	// maxResponseBytes bounds the answer to a call, a page of machines.
	maxResponseBytes = 4 << 20
)

// Client calls the cloud within its share of the rate limit.
type Client struct {
	addr            string
	caller          *transport.Caller
	maxRate         float64       // calls a second
	limiter         *rate.Limiter // of all calls
	scaleOutLimiter *rate.Limiter // of those that ask for machines
}

// scaleOutShare is the part of the calls that may ask for machines: in shortage they would take all
// of them, and the list would be old and machines be paid for that were given up.
const scaleOutShare = 0.6

// New gives a client that keeps to a limit of so many calls a second.
func New(net transport.Network, addr string, maxRate float64) *Client {
	limiter := func(perSecond float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return &Client{
		addr:            addr,
		caller:          &transport.Caller{MaxBody: maxResponseBytes, Dial: net.Dial},
		maxRate:         maxRate,
		limiter:         limiter(maxRate),
		scaleOutLimiter: limiter(maxRate * scaleOutShare),
	}
}

// The limit is the cloud's, for all controllers. Where several lead shards and call at once, it
// refuses some calls: each controller then halves its rate, and raises it bit by bit.
const (
	minRateShare = 0.125 // of maxRate
	rateIncrease = 0.02  // of maxRate, for each call that is taken
)

// adjustRate takes in whether the cloud took a call.
func (c *Client) adjustRate(taken bool) {
	perSecond := min(c.maxRate, float64(c.limiter.Limit())+c.maxRate*rateIncrease)
	if !taken {
		perSecond = max(c.maxRate*minRateShare, perSecond/2)
	}
	c.limiter.SetLimit(rate.Limit(perSecond))
	c.scaleOutLimiter.SetLimit(rate.Limit(perSecond * scaleOutShare))
}

// call waits for its turn and sends a request.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, err
	}
	return c.send(ctx, method, path, body)
}

// send sends a request at once.
func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.caller.Call(ctx, c.addr, method, path, body)
	if err != nil {
		return nil, err
	}
	c.adjustRate(resp.Status != http.StatusTooManyRequests)
	if resp.Status == http.StatusOK {
		return resp.Body, nil
	}
	var f wire.Failure
	if err := wire.Decode(resp.Body, &f); err == nil && resp.Status == http.StatusServiceUnavailable && f.Error == ErrNoCapacity.Error() {
		return nil, ErrNoCapacity
	}
	return nil, fmt.Errorf("status %d %s", resp.Status, f.Error)
}

// MachineTypes reads the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	body, err := c.call(ctx, http.MethodGet, wire.PathTypes, nil)
	if err != nil {
		return nil, fmt.Errorf("read machine types: %w", err)
	}
	types, err := wire.DecodeTypes(body)
	if err != nil {
		return nil, fmt.Errorf("read machine types: %w", err)
	}
	return types, nil
}

// WaitForScaleOut waits until ScaleOut may be called. What to ask for is best chosen only then.
func (c *Client) WaitForScaleOut(ctx context.Context) error {
	if err := c.scaleOutLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait to scale out: %w", err)
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait to scale out: %w", err)
	}
	return nil
}

// ScaleOut asks for machines and gives their IDs. Its turn must have come, see WaitForScaleOut.
func (c *Client) ScaleOut(ctx context.Context, req wire.ScaleOutRequest) ([]string, error) {
	body, err := c.send(ctx, http.MethodPost, wire.PathRentals, wire.Encode(req))
	if err != nil {
		return nil, fmt.Errorf("scale out %s: %w", req.RequestID, err)
	}
	var names wire.MachineNames
	if err := wire.Decode(body, &names); err != nil {
		return names.Machines, fmt.Errorf("scale out %s: %w", req.RequestID, err)
	}
	return names.Machines, nil
}

// Release returns machines. Once it has succeeded they are gone, with everything on them.
func (c *Client) Release(ctx context.Context, ids []string) error {
	if _, err := c.call(ctx, http.MethodPost, wire.PathRelease, wire.Encode(wire.MachineNames{Machines: ids})); err != nil {
		return fmt.Errorf("release %d machines: %w", len(ids), err)
	}
	return nil
}

// List reads the whole list of machines, page by page.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		body, err := c.call(ctx, http.MethodGet, wire.MachineListPath(after), nil)
		if err != nil {
			return nil, fmt.Errorf("list machines after %q: %w", after, err)
		}
		var page wire.MachineList
		if err := wire.Decode(body, &page); err != nil {
			return nil, fmt.Errorf("list machines after %q: %w", after, err)
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}
