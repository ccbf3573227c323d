package cloud

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

const addr = "10.2.0.2:8443"

// runWithFullCloud runs against a cloud that is full and takes 6 calls a second.
func runWithFullCloud(t *testing.T, clients int, do func(ctx context.Context, c []*Client)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		net := simulator.NewNetwork()
		cloud := &simulator.Cloud{Types: []wire.MachineType{{Name: "g4", Zones: []string{"a"}}}, RPS: 6, CapacityByOffer: map[simulator.Offer]int{}, Rand: rand.New(rand.NewPCG(1, 1))}
		go net.Host("10.2.0.2").Listen(ctx, addr, 0, cloud.Serve())
		synctest.Wait()
		var all []*Client
		for i := range clients {
			all = append(all, New(net.Host(fmt.Sprintf("10.0.0.%d", i+1)), addr, 6*0.85))
		}
		do(ctx, all)
		stop()
		net.Close()
		synctest.Wait()
	})
}

// scaleOutContinuously keeps asking for machines that there are none of, as fast as it may, and counts
// the calls that the cloud took and those that it did not.
func scaleOutContinuously(ctx context.Context, c *Client, taken, refused *atomic.Int64) {
	for c.WaitForScaleOut(ctx) == nil {
		go func() {
			if _, err := c.ScaleOut(ctx, wire.ScaleOutRequest{RequestID: "r", Type: "g4", Zone: "a", Count: 50}); errors.Is(err, ErrNoCapacity) {
				taken.Add(1)
			} else {
				refused.Add(1)
			}
		}()
	}
}

// TestReleasesNotDelayedByScaleOuts: a release and a list wait for no scale-out, however many want to be
// sent.
func TestReleasesNotDelayedByScaleOuts(t *testing.T) {
	runWithFullCloud(t, 1, func(ctx context.Context, c []*Client) {
		var taken, refused atomic.Int64
		for range 20 {
			go scaleOutContinuously(ctx, c[0], &taken, &refused)
		}
		time.Sleep(10 * time.Second)
		for range 20 {
			begun := time.Now()
			if err := c[0].Release(ctx, []string{"n-1"}); err != nil {
				t.Error(err)
			}
			if _, err := c[0].List(ctx); err != nil {
				t.Error(err)
			}
			if took := time.Since(begun); took > time.Second {
				t.Errorf("a release and a list took %v", took)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestLeadersShareRateLimit: the limit is for all controllers. Where five scale out at once, few of
// their calls are refused, and what the cloud takes is used.
func TestLeadersShareRateLimit(t *testing.T) {
	runWithFullCloud(t, 5, func(ctx context.Context, c []*Client) {
		var taken, refused atomic.Int64
		for _, one := range c {
			go scaleOutContinuously(ctx, one, &taken, &refused)
		}
		time.Sleep(2 * time.Minute)
		if n, in := taken.Load(), refused.Load(); in*5 > n || n < 120*3 {
			t.Errorf("%d calls were taken and %d refused in two minutes", n, in)
		}
	})
}
