package simulator

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// recordingController is two controllers that answer every report, and keep it.
type recordingController struct {
	mu  sync.Mutex
	got map[string][]wire.Heartbeat
}

func (a *recordingController) serve(node string) transport.ServeConn {
	return serveHTTP(func(_, _ string, _ map[string]string, body []byte) (int, any) {
		var r wire.Heartbeat
		_ = wire.Decode(body, &r)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.got[node] = append(a.got[node], r)
		return 200, wire.HeartbeatResponse{FencingToken: 1, Commands: []wire.Command{}}
	})
}

func (a *recordingController) take() (out map[string][]wire.Heartbeat) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out, a.got = a.got, map[string][]wire.Heartbeat{}
	return out
}

// TestInboundLoss checks a machine that receives nothing: its heartbeats arrive, its lease expires
// although they are answered, and a direct call has no effect and gets no answer; afterwards it
// continues. Copies of heartbeats arrive at both controllers with their original content.
func TestInboundLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a := NewNetwork(), &recordingController{got: map[string][]wire.Heartbeat{}}
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
		if got := a.take(); w.ExpiredLeases() > 0 || len(got["c-0"]) < 5 || len(got["c-1"]) > 0 {
			t.Errorf("%d sessions lost, %v", w.ExpiredLeases(), got)
		}
		checkPartitioned(t, w, a, direct)
		w.DropInbound(false)
		time.Sleep(25 * time.Second)
		if status, err := direct(); status != 409 || w.ExpiredLeases() > 2 { // the incarnation is another
			t.Errorf("answered %d, %v, %d sessions lost", status, err, w.ExpiredLeases())
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
	got := a.take()
	if w.ExpiredLeases() != 1 || len(got["c-0"]) < 2 || len(got["c-1"]) < 2 {
		t.Errorf("%d sessions lost, %v", w.ExpiredLeases(), got)
	}
	for _, heartbeats := range got {
		for _, r := range heartbeats {
			if r.FencingToken != 1 {
				t.Errorf("it has heard: %+v", r)
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
	a.take()
	time.Sleep(5 * time.Second)
	w.Kill()
	time.Sleep(time.Minute) // copies arrive though it is gone
	got := a.take()
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
		n, a := NewNetwork(), &recordingController{got: map[string][]wire.Heartbeat{}}
		ctx, stop := context.WithCancel(t.Context())
		go n.Host("10.0.0.1").Listen(ctx, "10.0.0.1:8080", 0, a.serve("c-0"))
		w := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: n.Host("10.1.0.1"), TakeDown: func() {},
			Runtime: NewTaskRuntime(NewChecker(time.Minute, nil), time.Minute, time.Second), Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second})
		time.Sleep(5 * time.Second)
		if got := a.take()["c-0"]; len(got) < 2 {
			t.Errorf("%d reports", len(got))
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
		if got := a.take()["c-0"]; len(got) > 0 || w.ExpiredLeases() != 1 {
			t.Errorf("%d reports came, %d sessions lost", len(got), w.ExpiredLeases())
		}
		w.BlockOutbound(false)
		time.Sleep(10 * time.Second)
		if got := a.take()["c-0"]; len(got) < 2 {
			t.Errorf("%d reports once it is not mute", len(got))
		}
		w.Kill()
		stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}

// TestReplayToNextLeader checks that copies of heartbeats are kept while the same leader acts,
// however long, and are delivered to the next one as soon as it acts.
func TestReplayToNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork()
		ctx, stop := context.WithCancel(t.Context())
		var mu sync.Mutex
		var old int
		term := uint64(1)
		go n.Host("10.0.0.1").Listen(ctx, "10.0.0.1:8080", 0, serveHTTP(func(_, _ string, _ map[string]string, body []byte) (int, any) {
			var r wire.Heartbeat
			_ = wire.Decode(body, &r)
			mu.Lock()
			defer mu.Unlock()
			if r.FencingToken == 1 && term == 2 {
				old++
			}
			return 200, wire.HeartbeatResponse{FencingToken: term, Commands: []wire.Command{}}
		}))
		time.Sleep(time.Second)
		echo := &HeartbeatReplayer{Dial: n.Host("10.4.0.1").Dial, Controllers: []string{"10.0.0.1:8080"}, MaxDelay: time.Minute, Rand: rand.New(rand.NewPCG(1, 1))}
		w := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: n.Host("10.1.0.1"), TakeDown: func() {}, Replayer: echo,
			Runtime: NewTaskRuntime(NewChecker(time.Minute, nil), time.Minute, time.Second), Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second})
		time.Sleep(5 * time.Second)
		echo.KeepForNextLeader(1)
		time.Sleep(time.Minute)
		echo.KeepForNextLeader(0)
		if echo.Delivered() > 0 {
			t.Error("they came while the same leader acted")
		}
		mu.Lock()
		term = 2
		mu.Unlock()
		time.Sleep(3 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if echo.Delivered() < 25 || old < echo.Delivered() {
			t.Errorf("%d copies came, %d of them old", echo.Delivered(), old)
		}
		w.Kill()
		stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}

// TestDelayedTransactions checks that a delayed transaction gets no answer and is carried out 2 to
// 12 s later, after a newer one; that it changes nothing if its condition no longer holds; and
// that a transaction whose answer alone is lost is carried out at once.
func TestDelayedTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := NewNetwork(), NewStateService(1, 0)
		ctx, stop := context.WithCancel(t.Context())
		go n.Host("10.2.0.1").Listen(ctx, "10.2.0.1:2379", 0, s.Serve())
		time.Sleep(time.Second)
		put := func(key string, version uint64) (int, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			resp, err := (&transport.Caller{MaxBody: 1 << 20, Dial: n.Host("10.0.0.1").Dial}).Call(ctx, "10.2.0.1:2379", "POST", wire.PathTxn,
				wire.Encode(wire.Txn{If: []wire.Condition{{Key: key, Version: version}}, Then: []wire.Operation{{Put: key, Value: "x"}}}))
			if err != nil {
				return 0, err
			}
			return resp.Status, nil
		}
		s.Configure(func(s *StateService) { s.DelayedShare = 1 })
		for _, key := range []string{"a", "b"} {
			if status, err := put(key, 0); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s was answered %d, %v", key, status, err)
			}
		}
		if items := s.Page("", "", 0).Items; len(items) > 0 {
			t.Errorf("carried out at once: %v", items)
		}
		s.Configure(func(s *StateService) { s.DelayedShare = 0 })
		if status, err := put("a", 0); status != 200 {
			t.Errorf("a newer one was answered %d, %v", status, err)
		}
		s.Configure(func(s *StateService) { s.LostReplyShare = 1 })
		if status, err := put("c", 0); !errors.Is(err, os.ErrDeadlineExceeded) || len(s.Page("c", "", 0).Items) != 1 || s.LostReplyCount() != 1 {
			t.Errorf("one that is taken at once was answered %d, %v", status, err)
		}
		s.Configure(func(s *StateService) { s.LostReplyShare = 0 })
		time.Sleep(12 * time.Second)
		items := s.Page("", "", 0).Items
		if late, taken := s.DelayedCounts(); late != 2 || taken != 1 || len(items) != 3 || items[0].Version != 1 || items[1].Version != 3 {
			t.Errorf("%d late, %d taken, %v", late, taken, items)
		}
		stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}

// TestLeaseExpiresDuringPause checks that the tasks of a paused machine are gone when its lease
// expires, not when it continues.
func TestLeaseExpiresDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a := NewNetwork(), &recordingController{got: map[string][]wire.Heartbeat{}}
		check := NewChecker(time.Minute, nil)
		ctx, stop := context.WithCancel(t.Context())
		go n.Host("10.0.0.1").Listen(ctx, "10.0.0.1:8080", 0, a.serve("c-0"))
		time.Sleep(time.Second)
		w := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: n.Host("10.1.0.1"), TakeDown: func() {}, Spec: wire.MachineType{CPUs: 4, GPUs: 4, MemoryGB: 4},
			Runtime: NewTaskRuntime(check, time.Minute, time.Second), Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second})
		check.Submitted(&wire.Job{ID: "wk-1", Shape: wire.Array, Tasks: 1, CPUs: 1}, time.Hour)
		time.Sleep(5 * time.Second)
		w.mu.Lock()
		w.execute([]wire.Command{{Verb: wire.Launch, Task: "wk-1/0", Attempt: 1}})
		w.mu.Unlock()
		time.Sleep(time.Second) // it runs
		w.Pause(30 * time.Second)
		time.Sleep(17 * time.Second)
		if check.Running("wk-1") != 1 {
			t.Error("gone before its lease has run out")
		}
		time.Sleep(4 * time.Second)
		if check.Running("wk-1") != 0 {
			t.Error("still there after its lease")
		}
		w.Kill()
		stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}
