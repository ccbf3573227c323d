// Package cloud is a client of the API of the cloud that rents out machines. A client keeps all its
// calls within its share of the cloud's rate limit, and slows down when the cloud rejects calls.
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

// ErrNoCapacity means that the cloud has no free machine of the requested type and zone. Its text is also
// the reason in the cloud's response.
var ErrNoCapacity = errors.New("no capacity")

const (
	// callTimeout bounds a call, not counting the time that it waits for the rate limiter.
	callTimeout = 4 * time.Second
	// maxResponseBytes bounds the response to a call; the largest is a page of the machine list.
	maxResponseBytes = 4 << 20
)

// Client calls the cloud within its share of the rate limit.
type Client struct {
	addr            string
	caller          *transport.Client
	maxRate         float64       // calls per second
	limiter         *rate.Limiter // for all calls
	scaleOutLimiter *rate.Limiter // for scale-out requests, which also count towards limiter
}

// scaleOutShare is the share of the calls that may be scale-out requests. During a shortage of machines these
// would otherwise use up the rate limit: the machine list would become stale, and machines that are no longer
// needed would be released late and cost money in the meantime.
const scaleOutShare = 0.6

// New returns a client that makes at most maxRate calls per second to the cloud at addr.
func New(network transport.Network, addr string, maxRate float64) *Client {
	limiter := func(perSecond float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
	return &Client{
		addr:            addr,
		caller:          &transport.Client{MaxBody: maxResponseBytes, Dial: network.Dial},
		maxRate:         maxRate,
		limiter:         limiter(maxRate),
		scaleOutLimiter: limiter(maxRate * scaleOutShare),
	}
}

// The cloud's rate limit applies to all controllers together. If several of them lead shards and call at the
// same time, the cloud rejects some calls. Each controller then halves its rate at every rejected call and raises
// it gradually with every accepted one.
const (
	minRateShare = 0.125 // of maxRate, the lowest rate
	rateIncrease = 0.02  // of maxRate, for each accepted call
)

// adjustRate raises or lowers the rate of calls, depending on whether the cloud accepted the last one.
func (c *Client) adjustRate(accepted bool) {
	perSecond := min(c.maxRate, float64(c.limiter.Limit())+c.maxRate*rateIncrease)
	if !accepted {
		perSecond = max(c.maxRate*minRateShare, perSecond/2)
	}
	c.limiter.SetLimit(rate.Limit(perSecond))
	c.scaleOutLimiter.SetLimit(rate.Limit(perSecond * scaleOutShare))
}

// call waits for the rate limiter and sends a request.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, err
	}
	return c.send(ctx, method, path, body)
}

// send sends a request without waiting for the rate limiter.
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
	var failure wire.Failure
	if err := wire.Decode(resp.Body, &failure); err == nil && resp.Status == http.StatusServiceUnavailable && failure.Error == ErrNoCapacity.Error() {
		return nil, ErrNoCapacity
	}
	return nil, fmt.Errorf("status %d %s", resp.Status, failure.Error)
}

// MachineTypes returns the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	body, err := c.call(ctx, http.MethodGet, wire.PathMachineTypes, nil)
	if err != nil {
		return nil, fmt.Errorf("read machine types: %w", err)
	}
	types, err := wire.DecodeTypes(body)
	if err != nil {
		return nil, fmt.Errorf("read machine types: %w", err)
	}
	return types, nil
}

// WaitForScaleOut waits until the rate limit allows one call of ScaleOut. Callers should decide only
// afterwards which machines to request, so that the decision is up to date.
func (c *Client) WaitForScaleOut(ctx context.Context) error {
	if err := c.scaleOutLimiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait to scale out: %w", err)
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("wait to scale out: %w", err)
	}
	return nil
}

// ScaleOut requests machines and returns their IDs. It must be called after WaitForScaleOut, since it does not
// wait for the rate limiter itself.
func (c *Client) ScaleOut(ctx context.Context, req wire.ScaleOutRequest) ([]string, error) {
	body, err := c.send(ctx, http.MethodPost, wire.PathRentals, wire.Encode(req))
	if err != nil {
		return nil, fmt.Errorf("scale out %s: %w", req.RequestID, err)
	}
	var names wire.MachineIDs
	if err := wire.Decode(body, &names); err != nil {
		return names.Machines, fmt.Errorf("scale out %s: %w", req.RequestID, err)
	}
	return names.Machines, nil
}

// Release returns machines to the cloud. If it succeeds, the machines and everything on them are gone.
func (c *Client) Release(ctx context.Context, ids []string) error {
	if _, err := c.call(ctx, http.MethodPost, wire.PathRelease, wire.Encode(wire.MachineIDs{Machines: ids})); err != nil {
		return fmt.Errorf("release %d machines: %w", len(ids), err)
	}
	return nil
}

// List returns the complete list of rented machines, which it reads page by page.
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
