// Package cloud calls the cloud that rents out machines.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// ErrNoCapacity means that the cloud has no such machine to give.
var ErrNoCapacity = errors.New("no capacity")

// Client calls the cloud within its share of the limit.
type Client struct {
	addr            string
	caller          *transport.Caller
	rps             float64
	limiter         *rate.Limiter // of all calls
	scaleOutLimiter *rate.Limiter // of these
}

// scaleOutShare is the part of the calls that rentals may take: in shortage they take all
// they can, and the list would be old and machines be paid for that were given up.
const scaleOutShare = 0.6

// New gives a client that keeps to the limit of so many calls a second.
func New(net transport.Network, addr string, rps float64) *Client {
	return &Client{addr: addr, caller: &transport.Caller{MaxBody: 4 << 20, Dial: net.Dial}, rps: rps,
		limiter:         rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		scaleOutLimiter: rate.NewLimiter(rate.Limit(rps*scaleOutShare), max(1, int(rps*scaleOutShare)))}
}

// The limit is the cloud's, for all controllers. Where several hold parts and call at
// once, it refuses some: each then calls half as often, and comes back bit by bit.
const (
	minRateShare = 0.125
	rateIncrease = 0.02 // for each call that is taken
)

// adjustRate takes in whether the cloud took a call.
func (c *Client) adjustRate(taken bool) {
	rps := float64(c.limiter.Limit())
	if rps = min(c.rps, rps+c.rps*rateIncrease); !taken {
		rps = max(c.rps*minRateShare, rps/2)
	}
	c.limiter.SetLimit(rate.Limit(rps))
	c.scaleOutLimiter.SetLimit(rate.Limit(rps * scaleOutShare))
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, err
	}
	return c.send(ctx, method, path, body)
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	resp, err := c.caller.Call(ctx, c.addr, method, path, body)
	if err != nil {
		return nil, err
	}
	c.adjustRate(resp.Status != 429)
	if resp.Status == 200 {
		return resp.Body, nil
	}
	var f wire.Failure
	if resp.Status == 503 && wire.Decode(resp.Body, &f) == nil && f.Error == ErrNoCapacity.Error() {
		return nil, ErrNoCapacity
	}
	return nil, fmt.Errorf("cloud answers %d %s", resp.Status, f.Error)
}

// MachineTypes reads the machine types with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	b, err := c.call(ctx, "GET", wire.PathTypes, nil)
	if err != nil {
		return nil, err
	}
	return wire.DecodeTypes(b)
}

// WaitForScaleOut waits until a rental may be sent. Which one is chosen only then.
func (c *Client) WaitForScaleOut(ctx context.Context) error {
	if err := c.scaleOutLimiter.Wait(ctx); err != nil {
		return err
	}
	return c.limiter.Wait(ctx)
}

// ScaleOut asks for machines and gives their names. Its turn has come.
func (c *Client) ScaleOut(ctx context.Context, r wire.ScaleOutRequest) ([]string, error) {
	b, err := c.send(ctx, "POST", wire.PathRentals, wire.Encode(r))
	if err != nil {
		return nil, err
	}
	var names wire.MachineNames
	return names.Machines, wire.Decode(b, &names)
}

// Release returns machines. Once it has succeeded they are gone, with
// everything on them.
func (c *Client) Release(ctx context.Context, names []string) error {
	_, err := c.call(ctx, "POST", wire.PathRelease, wire.Encode(wire.MachineNames{Machines: names}))
	return err
}

// List reads the whole list of machines.
func (c *Client) List(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	for after := ""; ; {
		b, err := c.call(ctx, "GET", wire.MachineListPath(after), nil)
		if err != nil {
			return nil, err
		}
		var page wire.MachineList
		if err := wire.Decode(b, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].ID
	}
}
