package simulator

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// TestPauseDelaysTasks checks that the tasks of a paused machine make no progress and continue
// afterwards, that commands received meanwhile are executed then, that the other members of its
// gang exit and itself when it notices, and that a cancelled task which continues is reported.
func TestPauseDelaysTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPauseHarness(t)
		begun := time.Now()
		at := func(s float64, want map[string]int) {
			t.Helper()
			time.Sleep(time.Until(begun.Add(wire.Seconds(s))))
			for id, n := range want {
				if got := p.checker.Running(id); got != n {
					t.Errorf("after %v s %d tasks of %s are on machines, not %d", s, got, id, n)
				}
			}
		}
		at(2, map[string]int{"wk-1": 1, "wk-2": 1, "wk-4": 2, "wk-5": 0})
		p.checker.ObserveAnswer("wk-1", 200, wire.Cancelled, true)
		p.checker.ObserveAnswer("wk-2", 200, wire.Cancelled, true)
		p.paused.Pause(14 * time.Second)
		if _, ok := p.paused.State(); ok {
			t.Error("a machine that hangs is said to have room")
		}
		p.send(p.paused, wire.Stop, "wk-2/0") // nobody waits for the answer any more when it is done
		at(4.9, map[string]int{"wk-4": 2})
		at(5.1, map[string]int{"wk-4": 1, "wk-5": 0})
		at(15.9, map[string]int{"wk-1": 1, "wk-2": 1, "wk-3": 1, "wk-4": 1, "wk-5": 0})
		at(16.1, map[string]int{"wk-1": 1, "wk-2": 0, "wk-3": 1, "wk-4": 0, "wk-5": 0})
		at(17.9, map[string]int{"wk-5": 0})
		at(18.1, map[string]int{"wk-5": 1})
		at(23.9, map[string]int{"wk-1": 1, "wk-3": 1})
		at(24.1, map[string]int{"wk-1": 1, "wk-3": 0})
		if b := strings.Join(p.checker.Violations(), "\n"); !strings.Contains(b, "ran_cancelled: wk-1/0") || !strings.Contains(b, "ran_cancelled: wk-2/0") {
			t.Errorf("not seen: %q", b)
		}
		p.paused.Kill()
		p.other.Kill()
		p.stop()
		p.net.Close()
		time.Sleep(time.Minute)
	})
}

// pauseHarness is two machines with tasks of every kind, of which one is to be paused.
type pauseHarness struct {
	ctx           context.Context
	stop          context.CancelFunc
	net           *Network
	checker       *Checker
	paused, other *Worker
}

func newPauseHarness(t *testing.T) *pauseHarness {
	p := &pauseHarness{net: NewNetwork(), checker: NewChecker(8*time.Second, nil)}
	p.ctx, p.stop = context.WithCancel(t.Context())
	a := &recordingController{heartbeats: map[string][]wire.Heartbeat{}}
	go p.net.Host("10.0.0.1").Listen(p.ctx, "10.0.0.1:8080", 0, a.serve("c-0"))
	runtime := NewTaskRuntime(p.checker, time.Minute, 3*time.Second)
	machine := func(ip string) *Worker {
		return NewWorker(WorkerConfig{ID: ip, Addr: Address(ip, 9000), Type: "g4", Zone: "a", Net: p.net.Host(ip), TakeDown: func() {}, Spec: wire.MachineType{CPUs: 9, GPUs: 9, MemoryGB: 9, FetchGBps: 1},
			Runtime: runtime, Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 30 * time.Second, HeartbeatInterval: 2 * time.Second})
	}
	time.Sleep(time.Second)
	p.paused, p.other = machine("10.1.0.1"), machine("10.1.0.2")
	time.Sleep(time.Second)
	for id, j := range map[string]wire.Job{"wk-1": {Shape: wire.Array}, "wk-2": {Shape: wire.Array}, "wk-3": {Shape: wire.Array}, "wk-4": {Shape: wire.Gang, Tasks: 2}, "wk-5": {Shape: wire.Array, ImageGB: 4}} {
		j.ID, j.Tasks, j.CPUs, j.Image = id, max(j.Tasks, 1), 1, id
		p.checker.Submitted(&j, map[string]time.Duration{"wk-1": 10 * time.Second}[id]+10*time.Second)
		p.checker.ObserveAnswer(id, 201, wire.Pending, false)
	}
	p.send(p.other, wire.Launch, "wk-4/1")
	p.send(p.paused, wire.Launch, "wk-1/0", "wk-2/0", "wk-3/0", "wk-4/0", "wk-5/0")
	return p
}

// send sends commands for tasks to a machine.
func (p *pauseHarness) send(w *Worker, verb wire.Verb, tasks ...string) {
	var d wire.CommandRequest
	for _, id := range tasks {
		d.Commands = append(d.Commands, wire.Command{Verb: verb, Task: id, Attempt: 1})
	}
	d.FencingToken, d.Incarnation = 1, 1
	call, cancel := context.WithTimeout(p.ctx, time.Second)
	defer cancel()
	_, _ = (&transport.Caller{MaxBody: 1 << 20, Dial: p.net.Host("10.0.0.1").Dial}).Call(call, w.addr, "POST", wire.PathCommands, wire.Encode(d))
}

// TestLeaseExpiresDuringPause checks that the tasks of a paused machine are gone when its lease
// expires, not when it continues.
func TestLeaseExpiresDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, a := NewNetwork(), &recordingController{heartbeats: map[string][]wire.Heartbeat{}}
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
