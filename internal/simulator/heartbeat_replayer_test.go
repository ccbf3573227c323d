package simulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// TestReplayToNextLeader checks that copies of heartbeats are kept as long as the same leader acts, and
// are delivered to the next leader as soon as it acts.
func TestReplayToNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork()
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		var oldCopies int
		token := uint64(1)
		go n.Host("10.0.0.1").Listen(ctx, "10.0.0.1:8080", 0, serveHTTP(func(_, _ string, _ map[string]string, body []byte) (int, any) {
			var r wire.Heartbeat
			_ = wire.Decode(body, &r)
			mu.Lock()
			defer mu.Unlock()
			if r.FencingToken == 1 && token == 2 {
				oldCopies++
			}
			return 200, wire.HeartbeatResponse{FencingToken: token, Commands: []wire.Command{}}
		}))
		time.Sleep(time.Second)
		replayer := &HeartbeatReplayer{Dial: n.Host("10.4.0.1").Dial, Controllers: []string{"10.0.0.1:8080"}, MaxDelay: time.Minute, Rand: rand.New(rand.NewPCG(1, 1))}
		w := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: n.Host("10.1.0.1"), TakeDown: func() {}, Replayer: replayer,
			Runtime: NewTaskRuntime(NewChecker(time.Minute, nil), time.Minute, time.Second), Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second})
		time.Sleep(5 * time.Second)
		replayer.KeepForNextLeader(1)
		time.Sleep(time.Minute)
		replayer.KeepForNextLeader(0)
		if replayer.Delivered() > 0 {
			t.Error("copies were delivered while the same leader acted")
		}
		mu.Lock()
		token = 2
		mu.Unlock()
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if replayer.Delivered() < 25 || oldCopies < replayer.Delivered() {
			t.Errorf("%d copies were delivered, %d of them with the earlier fencing token", replayer.Delivered(), oldCopies)
		}
		w.Kill()
		stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}
