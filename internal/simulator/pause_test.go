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

// TestPauseDelaysTasks checks that the tasks of a paused machine make no progress and continue afterwards,
// that commands received during the pause are executed after it, that the other members of a gang exit
// during the pause and the paused member after it, and that a cancelled task which continues is reported.
func TestPauseDelaysTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newPauseHarness(t)
		start := time.Now()
		expectRunning := func(s float64, want map[string]int) {
			t.Helper()
			time.Sleep(time.Until(start.Add(wire.Seconds(s))))
			for id, n := range want {
				if got := h.checker.RunningTasks(id); got != n {
					t.Errorf("after %v s %d tasks of %s are running, want %d", s, got, id, n)
				}
			}
		}
		expectRunning(2, map[string]int{"wk-1": 1, "wk-2": 1, "wk-4": 2, "wk-5": 0})
		h.checker.ObserveAnswer("wk-1", 200, wire.Cancelled, true)
		h.checker.ObserveAnswer("wk-2", 200, wire.Cancelled, true)
		h.paused.Pause(14 * time.Second)
		if _, ok := h.paused.State(); ok {
			t.Error("a paused machine reports free capacity")
		}
		h.send(h.paused, wire.Stop, "wk-2/0") // executed after the pause, when the call has already timed out
		expectRunning(4.9, map[string]int{"wk-4": 2})
		expectRunning(5.1, map[string]int{"wk-4": 1, "wk-5": 0})
		expectRunning(15.9, map[string]int{"wk-1": 1, "wk-2": 1, "wk-3": 1, "wk-4": 1, "wk-5": 0})
		expectRunning(16.1, map[string]int{"wk-1": 1, "wk-2": 0, "wk-3": 1, "wk-4": 0, "wk-5": 0})
		expectRunning(17.9, map[string]int{"wk-5": 0})
		expectRunning(18.1, map[string]int{"wk-5": 1})
		expectRunning(23.9, map[string]int{"wk-1": 1, "wk-3": 1})
		expectRunning(24.1, map[string]int{"wk-1": 1, "wk-3": 0})
		if violations := strings.Join(h.checker.Violations(), "\n"); !strings.Contains(violations, "ran_cancelled: wk-1/0") || !strings.Contains(violations, "ran_cancelled: wk-2/0") {
			t.Errorf("violation missing: %q", violations)
		}
		h.paused.Kill()
		h.other.Kill()
		h.stop()
		h.net.Close()
		time.Sleep(time.Minute)
	})
}

// pauseHarness is two machines with tasks of several kinds; the test pauses one of them.
type pauseHarness struct {
	ctx           context.Context
	stop          context.CancelFunc
	net           *Network
	checker       *Checker
	paused, other *Worker
}

// newPauseHarness starts the machines and launches the tasks.
func newPauseHarness(t *testing.T) *pauseHarness {
	h := &pauseHarness{net: NewNetwork(), checker: NewChecker(8*time.Second, nil)}
	h.ctx, h.stop = context.WithCancel(t.Context())
	recorder := &recordingController{heartbeats: map[string][]wire.Heartbeat{}}
	go h.net.Host("10.0.0.1").Listen(h.ctx, "10.0.0.1:8080", 0, recorder.serve("c-0"))
	runtime := NewTaskRuntime(h.checker, time.Minute, 3*time.Second)
	newMachine := func(ip string) *Worker {
		return NewWorker(WorkerConfig{ID: ip, Addr: Address(ip, 9000), Type: "g4", Zone: "a", Net: h.net.Host(ip), TakeDown: func() {}, Spec: wire.MachineType{CPUs: 9, GPUs: 9, MemoryGB: 9, FetchGBps: 1},
			Runtime: runtime, Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 30 * time.Second, HeartbeatInterval: 2 * time.Second})
	}
	time.Sleep(time.Second)
	h.paused, h.other = newMachine("10.1.0.1"), newMachine("10.1.0.2")
	time.Sleep(time.Second)
	for id, job := range map[string]wire.Job{"wk-1": {Shape: wire.Array}, "wk-2": {Shape: wire.Array}, "wk-3": {Shape: wire.Array}, "wk-4": {Shape: wire.Gang, Tasks: 2}, "wk-5": {Shape: wire.Array, ImageGB: 4}} {
		job.ID, job.Tasks, job.CPUs, job.Image = id, max(job.Tasks, 1), 1, id
		h.checker.Submitted(&job, map[string]time.Duration{"wk-1": 10 * time.Second}[id]+10*time.Second)
		h.checker.ObserveAnswer(id, 201, wire.Pending, false)
	}
	h.send(h.other, wire.Launch, "wk-4/1")
	h.send(h.paused, wire.Launch, "wk-1/0", "wk-2/0", "wk-3/0", "wk-4/0", "wk-5/0")
	return h
}

// send sends commands for tasks to a machine.
func (h *pauseHarness) send(w *Worker, verb wire.Verb, tasks ...string) {
	var request wire.CommandRequest
	for _, id := range tasks {
		request.Commands = append(request.Commands, wire.Command{Verb: verb, Task: id, Attempt: 1})
	}
	request.FencingToken, request.Incarnation = 1, 1
	call, cancel := context.WithTimeout(h.ctx, time.Second)
	defer cancel()
	_, _ = (&transport.Client{MaxBody: 1 << 20, Dial: h.net.Host("10.0.0.1").Dial}).Call(call, w.addr, "POST", wire.PathCommands, wire.Encode(request))
}

// TestLeaseExpiresDuringPause checks that the tasks of a paused machine end when its lease expires, not only
// when the pause ends.
func TestLeaseExpiresDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, recorder := NewNetwork(), &recordingController{heartbeats: map[string][]wire.Heartbeat{}}
		checker := NewChecker(time.Minute, nil)
		ctx, stop := context.WithCancel(t.Context())
		go network.Host("10.0.0.1").Listen(ctx, "10.0.0.1:8080", 0, recorder.serve("c-0"))
		time.Sleep(time.Second)
		worker := NewWorker(WorkerConfig{ID: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a", Net: network.Host("10.1.0.1"), TakeDown: func() {}, Spec: wire.MachineType{CPUs: 4, GPUs: 4, MemoryGB: 4},
			Runtime: NewTaskRuntime(checker, time.Minute, time.Second), Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, Lease: 20 * time.Second, HeartbeatInterval: 2 * time.Second})
		checker.Submitted(&wire.Job{ID: "wk-1", Shape: wire.Array, Tasks: 1, CPUs: 1}, time.Hour)
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		worker.execute([]wire.Command{{Verb: wire.Launch, Task: "wk-1/0", Attempt: 1}})
		worker.mu.Unlock()
		time.Sleep(time.Second) // the task starts
		worker.Pause(30 * time.Second)
		time.Sleep(17 * time.Second)
		if checker.RunningTasks("wk-1") != 1 {
			t.Error("the task ended before the lease expired")
		}
		time.Sleep(4 * time.Second)
		if checker.RunningTasks("wk-1") != 0 {
			t.Error("the task still runs after the lease expired")
		}
		worker.Kill()
		stop()
		network.Close()
		time.Sleep(time.Minute)
	})
}
