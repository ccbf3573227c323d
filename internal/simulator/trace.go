package simulator

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
)

var update = flag.Bool("update", false, "write what the traces now give")

// RunTraces runs every trace in testdata and compares the output of its steps with the kept one. newRunner
// returns the function that executes one step and returns its output. With -update the traces are
// rewritten.
func RunTraces(t *testing.T, newRunner func(t *testing.T) func(step string) []string) {
	forEachTrace(t, func(t *testing.T, file string) { runTrace(t, file, newRunner(t)) })
}

// RunTracesWithFakeClock is Traces with a fake clock.
func RunTracesWithFakeClock(t *testing.T, newRunner func(t *testing.T) func(step string) []string) {
	forEachTrace(t, func(t *testing.T, file string) {
		synctest.Test(t, func(t *testing.T) { runTrace(t, file, newRunner(t)) })
	})
}

// forEachTrace calls run for each trace in testdata, in a subtest of its own.
func forEachTrace(t *testing.T, run func(t *testing.T, file string)) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) { run(t, file) })
	}
}

// runTrace executes the steps of a trace. Lines that begin with > are the output of the step above them,
// lines that begin with # are comments.
func runTrace(t *testing.T, file string, step func(string) []string) {
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, line := range strings.Split(strings.TrimRight(string(want), "\n"), "\n") {
		if strings.HasPrefix(line, ">") {
			continue
		}
		got.WriteString(line + "\n")
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		for _, output := range step(line) {
			got.WriteString("> " + output + "\n")
		}
	}
	switch {
	case got.String() == string(want):
	case *update:
		if err := os.WriteFile(file, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	default:
		t.Errorf("the trace has changed; it now reads:\n%s", got.String())
	}
}

// ParseStep splits a step into its plain words and its key=value pairs.
func ParseStep(step string) (words []string, pairs map[string]string) {
	pairs = map[string]string{}
	for _, field := range strings.Fields(step) {
		if k, v, ok := strings.Cut(field, "="); ok {
			pairs[k] = v
		} else {
			words = append(words, field)
		}
	}
	return words, pairs
}
