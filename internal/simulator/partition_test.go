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

// TestInboundLoss checks a machine that receives nothing: its heartbeats arrive, its lease expires although
// they are answered, and a direct call has no effect and gets no answer. When the fault ends, the machine
// works again. Replayed heartbeats arrive at both controllers with their original content.
func TestInboundLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, recorder := NewNetwork(), &recordingController{heartbeats: map[string][]wire.Heartbeat{}}
		ctx, stop := context.WithCancel(t.Context())
		controllers := map[string]string{"c-0": "10.0.0.1:8080", "c-1": "10.0.0.2:8080"}
		replayer := &HeartbeatReplayer{Dial: network.Host("10.4.0.1").Dial, MaxDelay: time.Minute, Rand: rand.New(rand.NewPCG(1, 1))}
		for name, addr := range controllers {
			go network.Host(HostOf(addr)).Listen(ctx, addr, 0, recorder.serve(name))
			replayer.Controllers = append(replayer.Controllers, addr)
		}
		time.Sleep(time.Second)
		worker := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: network.Host("10.1.0.1"), TakeDown: func() {},
			Runtime: NewTaskRuntime(NewChecker(time.Minute, nil), time.Minute, time.Second), Controllers: controllers, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second, Replayer: replayer})
		callDirectly := func() (int, error) {
			ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			resp, err := (&transport.Client{MaxBody: 1 << 20, Dial: network.Host("10.0.0.1").Dial}).Call(ctx, "10.1.0.1:9000", "POST", wire.PathCommands,
				wire.Encode(wire.CommandRequest{FencingToken: 7, Incarnation: 1, Commands: []wire.Command{}}))
			if err != nil {
				return 0, err
			}
			return resp.Status, nil
		}
		time.Sleep(15 * time.Second)
		if got := recorder.takeHeartbeats(); worker.ExpiredLeases() > 0 || len(got["c-0"]) < 5 || len(got["c-1"]) > 0 {
			t.Errorf("%d incarnations ended, %v", worker.ExpiredLeases(), got)
		}
		checkPartitioned(t, worker, recorder, callDirectly)
		worker.DropInbound(false)
		time.Sleep(25 * time.Second)
		if status, err := callDirectly(); status != 409 || worker.ExpiredLeases() > 2 { // a call with the previous incarnation is refused
			t.Errorf("answered %d, %v, %d incarnations ended", status, err, worker.ExpiredLeases())
		}
		checkReplays(t, worker, recorder, replayer)
		stop()
		network.Close()
		time.Sleep(time.Minute)
	})
}

// checkPartitioned starts DropInbound on a machine and checks that its heartbeats reach both controllers, that
// its lease expires, and that direct calls to it are lost.
func checkPartitioned(t *testing.T, worker *Worker, recorder *recordingController, callDirectly func() (int, error)) {
	worker.DropInbound(true)
	time.Sleep(15 * time.Second)
	if status, err := callDirectly(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a direct command was answered %d, %v", status, err)
	}
	time.Sleep(15 * time.Second)
	got := recorder.takeHeartbeats()
	if worker.ExpiredLeases() != 1 || len(got["c-0"]) < 2 || len(got["c-1"]) < 2 {
		t.Errorf("%d incarnations ended, %v", worker.ExpiredLeases(), got)
	}
	for _, heartbeats := range got {
		for _, heartbeat := range heartbeats {
			if heartbeat.FencingToken != 1 {
				t.Errorf("a lost command was received: %+v", heartbeat)
			}
		}
	}
}

// checkReplays checks that copies of heartbeats reach both controllers, even after the machine was killed.
func checkReplays(t *testing.T, worker *Worker, recorder *recordingController, replayer *HeartbeatReplayer) {
	before := worker.ExpiredLeases()
	replayer.SetShare(1)
	time.Sleep(10 * time.Second)
	replayer.SetShare(0)
	recorder.takeHeartbeats()
	time.Sleep(5 * time.Second)
	worker.Kill()
	time.Sleep(time.Minute) // copies arrive although the machine was killed
	got := recorder.takeHeartbeats()
	last := map[string]bool{}
	for controller, heartbeats := range got {
		for _, heartbeat := range heartbeats {
			last[controller] = last[controller] || heartbeat.Incarnation == uint64(before)+1
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
		network, recorder := NewNetwork(), &recordingController{heartbeats: map[string][]wire.Heartbeat{}}
		ctx, stop := context.WithCancel(t.Context())
		go network.Host("10.0.0.1").Listen(ctx, "10.0.0.1:8080", 0, recorder.serve("c-0"))
		worker := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: network.Host("10.1.0.1"), TakeDown: func() {},
			Runtime: NewTaskRuntime(NewChecker(time.Minute, nil), time.Minute, time.Second), Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second})
		time.Sleep(5 * time.Second)
		if got := recorder.takeHeartbeats()["c-0"]; len(got) < 2 {
			t.Errorf("%d heartbeats", len(got))
		}
		worker.BlockOutbound(true)
		time.Sleep(15 * time.Second)
		call, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		resp, err := (&transport.Client{MaxBody: 1 << 20, Dial: network.Host("10.0.0.1").Dial}).Call(call, "10.1.0.1:9000", "POST", wire.PathCommands, wire.Encode(wire.CommandRequest{FencingToken: 7, Incarnation: 1}))
		if err != nil || resp.Status != 200 {
			t.Errorf("a direct command: %v, %v", resp, err)
		}
		time.Sleep(6 * time.Second)
		if got := recorder.takeHeartbeats()["c-0"]; len(got) > 0 || worker.ExpiredLeases() != 1 {
			t.Errorf("%d heartbeats came, %d incarnations ended", len(got), worker.ExpiredLeases())
		}
		worker.BlockOutbound(false)
		time.Sleep(10 * time.Second)
		if got := recorder.takeHeartbeats()["c-0"]; len(got) < 2 {
			t.Errorf("%d heartbeats once its outbound traffic is not blocked", len(got))
		}
		worker.Kill()
		stop()
		network.Close()
		time.Sleep(time.Minute)
	})
}
