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

// runtimeHarness is a set of machines without a controller that the steps of a trace control.
type runtimeHarness struct {
	t         *testing.T
	net       *Network
	checker   *Checker
	runtime   *TaskRuntime
	workers   map[string]*Worker
	startedAt time.Time

	services *externalServices
}

func newRuntimeHarness(t *testing.T) *runtimeHarness {
	h := &runtimeHarness{t: t, net: NewNetwork(), checker: NewChecker(time.Minute, nil), workers: map[string]*Worker{}, startedAt: time.Now()}
	h.runtime = NewTaskRuntime(h.checker, 20*time.Second, 3*time.Second)
	t.Cleanup(func() {
		for _, w := range h.workers {
			w.Kill()
		}
		if h.services != nil {
			h.services.cloud.Stop()
			h.services.stop()
		}
		h.net.Close()
	})
	return h
}

// step executes a step of a trace and returns its output.
func (h *runtimeHarness) step(line string) []string {
	words, params := ParseStep(line)
	number := func(key string, fallback float64) float64 {
		if value, err := strconv.ParseFloat(params[key], 64); err == nil {
			return value
		}
		return fallback
	}
	switch words[0] {
	case "job": // wk-1 gang tasks=2 run=30s
		run, _ := time.ParseDuration(params["run"])
		h.checker.Submitted(&wire.Job{ID: words[1], Shape: wire.Shape(words[2]), Tasks: int(number("tasks", 1)), CPUs: number("cpus", 1), GPUs: number("gpus", 1), MemoryGB: 1,
			Image: params["image"], ImageGB: number("gb", 0), CheckpointS: number("checkpoint", 0), SaveS: number("save", 0)}, run)
	case "machine":
		ip := "10.1.0." + strings.TrimPrefix(words[1], "n-")
		h.workers[words[1]] = NewWorker(WorkerConfig{ID: words[1], Addr: Address(ip, 9000), Type: "g4", Zone: "a", Net: h.net.Host(ip), TakeDown: func() {}, Runtime: h.runtime,
			Spec:  wire.MachineType{Name: "g4", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: number("cache", 20), FetchGBps: 1},
			Lease: time.Duration(number("lease", 3600)) * time.Second, HeartbeatInterval: 3 * time.Second, Controllers: map[string]string{"c-0": "10.0.0.1:8080"}, SharedFetchRate: params["shared"] != ""})
	case "launch", "stop", "clear": // n-1 wk-1/0 try=1 grace=10
		h.command(words, uint64(number("try", 1)), params["grace"])
	case "kill":
		h.workers[words[1]].Kill()
	case "wait":
		d, _ := time.ParseDuration(words[1])
		time.Sleep(d)
	case "call":
		return h.serviceStep(words, params)
	case "saved":
		id, _ := wire.ParseTaskID(words[1])
		return []string{h.runtime.SavedProgress(id).String()}
	case "images":
		worker := h.workers[words[1]]
		worker.mu.Lock()
		defer worker.mu.Unlock()
		return []string{fmt.Sprint(slices.Sorted(maps.Keys(worker.images)))}
	case "show":
		synctest.Wait()
		return h.machineStates()
	default:
		h.t.Fatalf("no such step: %s", line)
	}
	return nil
}

// command has a machine execute a verb, the first of words, for the tasks that follow the machine's name.
func (h *runtimeHarness) command(words []string, attempt uint64, grace string) {
	worker := h.workers[words[1]]
	var commands []wire.Command
	for _, task := range words[2:] {
		cmd := wire.Command{Verb: wire.Verb(words[0]), Task: task, Attempt: attempt}
		if g, err := strconv.ParseFloat(grace, 64); err == nil {
			cmd.GraceS = &g
		}
		commands = append(commands, cmd)
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	worker.expireLease()
	worker.execute(commands)
}

// machineStates describes the tasks of each machine, and any violations.
func (h *runtimeHarness) machineStates() (out []string) {
	for _, name := range slices.Sorted(maps.Keys(h.workers)) {
		w := h.workers[name]
		w.mu.Lock()
		line := fmt.Sprintf("%v %s session %d:", time.Since(h.startedAt), name, w.incarnation)
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
	return append(out, h.checker.Violations()...)
}

// TestTraces runs the traces in testdata, which show what the protocol says about workers, the state service
// and the cloud.
func TestTraces(t *testing.T) {
	RunTracesWithFakeClock(t, func(t *testing.T) func(string) []string { return newRuntimeHarness(t).step })
}
