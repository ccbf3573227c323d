package simtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// repositoryRoot is the path of the module's root, relative to this package's directory, in which its tests run.
const repositoryRoot = "../.."

// guard is a safety check in the sources: part of a line with the check, and the same without it.
type guard struct{ name, file, original, mutated string }

// guards returns the guards that testdata/guards.txt lists.
func guards(t *testing.T) (out []guard) {
	text, err := os.ReadFile("testdata/guards.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range strings.Split(string(text), "\n\n") {
		l := strings.Split(strings.Trim(g, "\n"), "\n")
		switch {
		case len(l) == 4:
			out = append(out, guard{strings.TrimPrefix(l[0], "# "), l[1], strings.TrimPrefix(l[2], "- "), strings.TrimPrefix(l[3], "+ ")})
		case strings.Contains(g, "\n- "): // headings have no such line
			t.Errorf("guard entry has %d lines, want 4: %q", len(l), g)
		}
	}
	return out
}

// TestGuardsApply checks that the text of each guard occurs exactly once in its file.
func TestGuardsApply(t *testing.T) {
	for _, g := range guards(t) {
		b, err := os.ReadFile(filepath.Join(repositoryRoot, g.file))
		if n := strings.Count(string(b), g.original); err != nil || n != 1 {
			t.Errorf("%s: %s contains %d occurrences of %q, want 1; read error: %v", g.name, g.file, n, g.original, err)
		}
	}
}

// TestGuardsAreNeeded removes each guard of testdata/guards.txt from a copy of the sources, and
// requires that a recorded trace, the model or a simulation then fails. It takes minutes, and runs
// only with AMBERDEAL_GUARDS=1.
func TestGuardsAreNeeded(t *testing.T) {
	if os.Getenv("AMBERDEAL_GUARDS") == "" {
		t.Skip("AMBERDEAL_GUARDS is not set")
	}
	for _, g := range guards(t) {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			copied := exec.Command("cp", "-r", "go.mod", "go.sum", "wire", "internal", dir)
			copied.Dir = repositoryRoot
			if out, err := copied.CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			sources, _ := filepath.Glob(filepath.Join(repositoryRoot, "*.go"))
			for i, s := range sources {
				sources[i] = filepath.Base(s)
			}
			for _, s := range append(sources, g.file) {
				b, err := os.ReadFile(filepath.Join(repositoryRoot, s))
				if err != nil {
					t.Fatal(err)
				}
				if s == g.file {
					b = []byte(strings.Replace(string(b), g.original, g.mutated, 1))
				}
				if err := os.WriteFile(filepath.Join(dir, s), b, 0o644); err != nil {
					t.Fatal(err)
				}
			}
			for _, args := range [][]string{{"./wire", "./internal/leadership", "./internal/admission", "./internal/controller", "./internal/fleet", "./internal/forward", "./internal/handover", "./internal/quota", "./internal/shard", "./internal/archive", "./internal/membership", "./internal/peer", "./internal/reshard", "./internal/ingest", "./internal/autoscale", "./internal/zonerecovery", "./internal/leader/...", "./internal/reachability", "./internal/stall", "./internal/scheduler", "./internal/snapshot", "./internal/store", "./internal/tier", "./internal/writers", "./internal/zone"},
				{"-run", "DelayedWrites$|DelayedImport|LostReplies$|WhileLaunchUnknown", "./internal/simtest"}, {"-run", "FastRestarts", "./internal/simtest"}, {"-run", "ShardsThroughFaults|Reshard", "./internal/simtest"}, {"-run", "ConcurrentReads|Malformed", "./internal/simtest"}, {"-run", "Forwarding|OfManyControllers|ManyTeams|TeamLeaves", "./internal/simtest"},
				{"-run", "ProcessStalls|EachMachine|IdleConnections|PartitionedLeaderTurns|CancelDuringOutage|NoJobWaits|QuotasHold|ZoneBound|OutboundBlocked|ReplayedHeartbeats|Fetch", "./internal/simtest"}} {
				run := exec.Command("go", append([]string{"test"}, args...)...)
				run.Dir, run.Env = dir, append(os.Environ(), "AMBERDEAL_STALLS=150", "AMBERDEAL_PARTS=150", "AMBERDEAL_REGROUPS=100", "AMBERDEAL_GUARDS=")
				if out, err := run.CombinedOutput(); err != nil {
					if strings.Contains(string(out), "build failed") {
						t.Fatalf("%s", out)
					}
					fmt.Printf("%s: seen by %v\n", g.name, args)
					return
				}
			}
			t.Error("no test fails without this guard")
		})
	}
}
