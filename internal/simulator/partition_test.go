package simulator

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// TestInboundLoss checks a machine that receives nothing: its heartbeats arrive, its lease expires
// although they are answered, and a direct call has no effect and gets no answer; afterwards it
// continues. Copies of heartbeats arrive at both controllers with their original content.
func TestInboundLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a := NewNetwork(), &recordingController{heartbeats: map[string][]wire.Heartbeat{}}
		ctx, stop := context.WithCancel(t.Context())
		nodes := map[string]string{"c-0": "10.0.0.1:8080", "c-1": "10.0.0.2:8080"}
		replayer := &HeartbeatReplayer{Dial: n.Host("10.4.0.1").Dial, MaxDelay: time.Minute, Rand: rand.New(rand.NewPCG(1, 1))}
		for name, addr := range nodes {
			go n.Host(HostOf(addr)).Listen(ctx, addr, 0, a.serve(name))
			replayer.Controllers = append(replayer.Controllers, addr)
		}
		time.Sleep(time.Second)
		w := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: n.Host("10.1.0.1"), TakeDown: func() {},
			Runtime: NewTaskRuntime(NewChecker(time.Minute, nil), time.Minute, time.Second), Controllers: nodes, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second, Replayer: replayer})
		direct := func() (int, error) {
			ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			resp, err := (&transport.Caller{MaxBody: 1 << 20, Dial: n.Host("10.0.0.1").Dial}).Call(ctx, "10.1.0.1:9000", "POST", wire.PathCommands,
				wire.Encode(wire.CommandRequest{FencingToken: 7, Incarnation: 1, Commands: []wire.Command{}}))
			if err != nil {
				return 0, err
			}
			return resp.Status, nil
		}
		time.Sleep(15 * time.Second)
		if got := a.takeHeartbeats(); w.ExpiredLeases() > 0 || len(got["c-0"]) < 5 || len(got["c-1"]) > 0 {
			t.Errorf("%d incarnations ended, %v", w.ExpiredLeases(), got)
		}
		checkPartitioned(t, w, a, direct)
		w.DropInbound(false)
		time.Sleep(25 * time.Second)
		if status, err := direct(); status != 409 || w.ExpiredLeases() > 2 { // the incarnation is another
			t.Errorf("answered %d, %v, %d incarnations ended", status, err, w.ExpiredLeases())
		}
		checkReplays(t, w, a, replayer)
		stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}

// checkPartitioned has a machine receive nothing: its heartbeats reach both controllers, its lease
// expires, and direct calls to it are lost.
func checkPartitioned(t *testing.T, w *Worker, a *recordingController, direct func() (int, error)) {
	w.DropInbound(true)
	time.Sleep(15 * time.Second)
	if status, err := direct(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a direct command was answered %d, %v", status, err)
	}
	time.Sleep(15 * time.Second)
	got := a.takeHeartbeats()
	if w.ExpiredLeases() != 1 || len(got["c-0"]) < 2 || len(got["c-1"]) < 2 {
		t.Errorf("%d incarnations ended, %v", w.ExpiredLeases(), got)
	}
	for _, heartbeats := range got {
		for _, r := range heartbeats {
			if r.FencingToken != 1 {
				t.Errorf("it has received: %+v", r)
			}
		}
	}
}

// checkReplays has heartbeats replayed: copies reach both controllers, also after the machine's end.
func checkReplays(t *testing.T, w *Worker, a *recordingController, replayer *HeartbeatReplayer) {
	before := w.ExpiredLeases()
	replayer.SetShare(1)
	time.Sleep(10 * time.Second)
	replayer.SetShare(0)
	a.takeHeartbeats()
	time.Sleep(5 * time.Second)
	w.Kill()
	time.Sleep(time.Minute) // copies arrive though it is gone
	got := a.takeHeartbeats()
	last := map[string]bool{}
	for node, heartbeats := range got {
		for _, r := range heartbeats {
			last[node] = last[node] || r.Incarnation == uint64(before)+1
		}
	}
	if replayer.Delivered() < 4 || !last["c-0"] || !last["c-1"] {
		t.Errorf("%d copies, %v", replayer.Delivered(), got)
	}
}

// TestOutboundBlock checks that the heartbeats of a machine whose outbound connections are blocked
// reach nobody while direct calls reach it, and that it sends heartbeats again afterwards.
func TestOutboundBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a := NewNetwork(), &recordingController{heartbeats: map[string][]wire.Heartbeat{}}
		ctx, stop := context.WithCancel(t.Context())
		go n.Host("10.0.0.1").Listen(ctx, "10.0.0.1:8080", 0, a.serve("c-0"))
		w := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: n.Host("10.1.0.1"), TakeDown: func() {},
			Runtime: NewTaskRuntime(NewChecker(time.Minute, nil), time.Minute, time.Second), Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second})
		time.Sleep(5 * time.Second)
		if got := a.takeHeartbeats()["c-0"]; len(got) < 2 {
			t.Errorf("%d heartbeats", len(got))
		}
		w.BlockOutbound(true)
		time.Sleep(15 * time.Second)
		call, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		resp, err := (&transport.Caller{MaxBody: 1 << 20, Dial: n.Host("10.0.0.1").Dial}).Call(call, "10.1.0.1:9000", "POST", wire.PathCommands, wire.Encode(wire.CommandRequest{FencingToken: 7, Incarnation: 1}))
		if err != nil || resp.Status != 200 {
			t.Errorf("a direct command: %v, %v", resp, err)
		}
		time.Sleep(6 * time.Second)
		if got := a.takeHeartbeats()["c-0"]; len(got) > 0 || w.ExpiredLeases() != 1 {
			t.Errorf("%d heartbeats came, %d incarnations ended", len(got), w.ExpiredLeases())
		}
		w.BlockOutbound(false)
		time.Sleep(10 * time.Second)
		if got := a.takeHeartbeats()["c-0"]; len(got) < 2 {
			t.Errorf("%d heartbeats once its outbound traffic is not blocked", len(got))
		}
		w.Kill()
		stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}
