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

// runWithFullCloud runs a test with some clients of a simulated cloud that has no free machines and accepts 6
// calls per second.
func runWithFullCloud(t *testing.T, count int, test func(ctx context.Context, c []*Client)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		net := simulator.NewNetwork()
		cloud := &simulator.Cloud{Types: []wire.MachineType{{Name: "g4", Zones: []string{"a"}}}, RPS: 6, CapacityByOffer: map[simulator.Offer]int{}, Rand: rand.New(rand.NewPCG(1, 1))}
		go net.Host("10.2.0.2").Listen(ctx, addr, 0, cloud.Serve())
		synctest.Wait()
		var clients []*Client
		for i := range count {
			clients = append(clients, New(net.Host(fmt.Sprintf("10.0.0.%d", i+1)), addr, 6*0.85))
		}
		test(ctx, clients)
		stop()
		net.Close()
		synctest.Wait()
	})
}

// scaleOutContinuously keeps requesting machines of a type without free capacity, as fast as the client
// allows, and counts the calls that the cloud accepted and those that it rejected because of its rate limit.
func scaleOutContinuously(ctx context.Context, c *Client, accepted, rejected *atomic.Int64) {
	for c.WaitForScaleOut(ctx) == nil {
		go func() {
			if _, err := c.ScaleOut(ctx, wire.ScaleOutRequest{RequestID: "r", Type: "g4", Zone: "a", Count: 50}); errors.Is(err, ErrNoCapacity) {
				accepted.Add(1)
			} else {
				rejected.Add(1)
			}
		}()
	}
}

// TestReleasesNotDelayedByScaleOuts checks that releases and lists are not delayed by any number of pending
// scale-out requests.
func TestReleasesNotDelayedByScaleOuts(t *testing.T) {
	runWithFullCloud(t, 1, func(ctx context.Context, clients []*Client) {
		var accepted, rejected atomic.Int64
		for range 20 {
			go scaleOutContinuously(ctx, clients[0], &accepted, &rejected)
		}
		time.Sleep(10 * time.Second)
		for range 20 {
			start := time.Now()
			if err := clients[0].Release(ctx, []string{"n-1"}); err != nil {
				t.Error(err)
			}
			if _, err := clients[0].List(ctx); err != nil {
				t.Error(err)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("a release and a list took %v", took)
			}
			time.Sleep(time.Second)
		}
	})
}

// TestLeadersShareRateLimit checks that five controllers that scale out at the same time adapt to the cloud's
// rate limit, which applies to all of them together: few calls are rejected, and the limit is used well.
func TestLeadersShareRateLimit(t *testing.T) {
	runWithFullCloud(t, 5, func(ctx context.Context, clients []*Client) {
		var accepted, rejected atomic.Int64
		for _, client := range clients {
			go scaleOutContinuously(ctx, client, &accepted, &rejected)
		}
		time.Sleep(2 * time.Minute)
		if acceptedCalls, rejectedCalls := accepted.Load(), rejected.Load(); rejectedCalls*5 > acceptedCalls || acceptedCalls < 120*3 {
			t.Errorf("%d calls were accepted and %d rejected in two minutes", acceptedCalls, rejectedCalls)
		}
	})
}
