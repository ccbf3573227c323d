package scale

import (
	"path/filepath"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/emulator"
)

// TestAgentStartErrorIsReported checks that a step ends with an error that names the program if the program can't be
// started. It guards against two faults: after the blob store had failed to start, stopping it panicked, because a
// process that did not exist was kept; and an agent that could not be started was silently replaced by an emulated
// machine, so that the step's measurements were not those of agents.
func TestAgentStartErrorIsReported(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "no-such-program")
	a := &agents{program: missing, dir: t.TempDir(), clusterConfig: &emulator.Config{}, cluster: &emulator.Cluster{}, procs: map[string]*process{}}
	if err := a.startBlobStore(t.Context()); err == nil || !strings.Contains(err.Error(), missing) {
		t.Errorf("error %v, want one that names %s", err, missing)
	}
	a.stop()
	if m := a.startMachine("n-1", "127.0.0.1:1", "g4", "a", false); m != nil {
		t.Errorf("machine %v of a type that has no agents", m)
	}
	if err := a.startError(); err != nil {
		t.Errorf("error %v before any agent was to start", err)
	}
	if m := a.startMachine("n-2", "127.0.0.1:1", agentMachineType(8), "a", false); m != nil {
		t.Errorf("machine %v, whose agent could not be started", m)
	}
	if err := a.startError(); err == nil || !strings.Contains(err.Error(), "n-2") || !strings.Contains(err.Error(), missing) {
		t.Errorf("error %v, want one that names n-2 and %s", err, missing)
	}
}
