package simulator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// runtimeHarness is a few machines without a controller, driven by the steps of a trace.
type runtimeHarness struct {
	t         *testing.T
	net       *Network
	checker   *Checker
	runtime   *TaskRuntime
	workers   map[string]*Worker
	startedAt time.Time

	serves *externalServices
}

func newRuntimeHarness(t *testing.T) *runtimeHarness {
	b := &runtimeHarness{t: t, net: NewNetwork(), checker: NewChecker(time.Minute, nil), workers: map[string]*Worker{}, startedAt: time.Now()}
	b.runtime = NewTaskRuntime(b.checker, 20*time.Second, 3*time.Second)
	t.Cleanup(func() {
		for _, w := range b.workers {
			w.Kill()
		}
		if b.serves != nil {
			b.serves.cloud.Stop()
			b.serves.stop()
		}
		b.net.Close()
	})
	return b
}

func (b *runtimeHarness) step(line string) []string {
	w, kv := Words(line)
	num := func(key string, otherwise float64) float64 {
		if x, err := strconv.ParseFloat(kv[key], 64); err == nil {
			return x
		}
		return otherwise
	}
	switch w[0] {
	case "job": // wk-1 gang tasks=2 run=30s
		run, _ := time.ParseDuration(kv["run"])
		b.checker.Submitted(&wire.Job{ID: w[1], Shape: wire.Shape(w[2]), Tasks: int(num("tasks", 1)), CPUs: num("cpus", 1), GPUs: num("gpus", 1), MemoryGB: 1,
			Image: kv["image"], ImageGB: num("gb", 0), CheckpointS: num("checkpoint", 0), SaveS: num("save", 0)}, run)
	case "machine":
		ip := "10.1.0." + strings.TrimPrefix(w[1], "n-")
		b.workers[w[1]] = NewWorker(WorkerConfig{ID: w[1], Addr: Address(ip, 9000), Type: "g4", Zone: "a", Net: b.net.Host(ip), TakeDown: func() {}, Runtime: b.runtime,
			Spec:  wire.MachineType{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: num("cache", 20), FetchGBps: 1},
			Lease: time.Duration(num("lease", 3600)) * time.Second, HeartbeatInterval: 3 * time.Second, Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, SharedFetchRate: kv["shared"] != ""})
	case "launch", "stop", "clear": // n-1 wk-1/0 try=1 grace=10
		b.command(w, uint64(num("try", 1)), kv["grace"])
	case "kill":
		b.workers[w[1]].Kill()
	case "wait":
		d, _ := time.ParseDuration(w[1])
		time.Sleep(d)
	case "call":
		return b.serviceStep(w, kv)
	case "saved":
		id, _ := wire.ParseTaskID(w[1])
		return []string{b.runtime.SavedProgress(id).String()}
	case "images":
		on := b.workers[w[1]]
		on.mu.Lock()
		defer on.mu.Unlock()
		return []string{fmt.Sprint(slices.Sorted(maps.Keys(on.images)))}
	case "show":
		synctest.Wait()
		return b.machineStates()
	default:
		b.t.Fatalf("no such step: %s", line)
	}
	return nil
}

func (b *runtimeHarness) command(w []string, try uint64, grace string) {
	on := b.workers[w[1]]
	var cmds []wire.Command
	for _, task := range w[2:] {
		c := wire.Command{Verb: wire.Verb(w[0]), Task: task, Attempt: try}
		if g, err := strconv.ParseFloat(grace, 64); err == nil {
			c.GraceS = &g
		}
		cmds = append(cmds, c)
	}
	on.mu.Lock()
	defer on.mu.Unlock()
	on.expireLease()
	on.execute(cmds)
}

func (b *runtimeHarness) machineStates() (out []string) {
	for _, name := range slices.Sorted(maps.Keys(b.workers)) {
		w := b.workers[name]
		w.mu.Lock()
		line := fmt.Sprintf("%v %s session %d:", time.Since(b.startedAt), name, w.incarnation)
		for _, key := range slices.Sorted(maps.Keys(w.tasks)) {
			t := w.tasks[key]
			line += fmt.Sprintf(" %s=%s", key, t.State)
			if t.Cause != "" {
				line += "," + string(t.Cause)
			}
			if t.Saved {
				line += ",stored"
			}
		}
		w.mu.Unlock()
		out = append(out, line)
	}
	return append(out, b.checker.Violations()...)
}

// TestTraces plays the clauses of the protocol about workers.
func TestTraces(t *testing.T) {
	ClockTraces(t, func(t *testing.T) func(string) []string { return newRuntimeHarness(t).step })
}
