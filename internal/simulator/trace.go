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

// Traces plays every trace in testdata; play returns the function that executes one step and
// returns its output. With -update the traces are written anew.
func Traces(t *testing.T, play func(t *testing.T) func(step string) []string) {
	forEachTrace(t, func(t *testing.T, file string) { runTrace(t, file, play(t)) })
}

// ClockTraces is Traces on a fake clock.
func ClockTraces(t *testing.T, play func(t *testing.T) func(step string) []string) {
	forEachTrace(t, func(t *testing.T, file string) {
		synctest.Test(t, func(t *testing.T) { runTrace(t, file, play(t)) })
	})
}

func forEachTrace(t *testing.T, play func(t *testing.T, file string)) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) { play(t, file) })
	}
}

func runTrace(t *testing.T, file string, step func(string) []string) {
	kept, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, line := range strings.Split(strings.TrimRight(string(kept), "\n"), "\n") {
		if strings.HasPrefix(line, ">") {
			continue
		}
		got.WriteString(line + "\n")
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		for _, out := range step(line) {
			got.WriteString("> " + out + "\n")
		}
	}
	switch {
	case got.String() == string(kept):
	case *update:
		if err := os.WriteFile(file, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	default:
		t.Errorf("the trace has changed; it now reads:\n%s", got.String())
	}
}

// Words splits a step into its words and its key=value pairs.
func Words(step string) (words []string, pairs map[string]string) {
	pairs = map[string]string{}
	for _, w := range strings.Fields(step) {
		if k, v, ok := strings.Cut(w, "="); ok {
			pairs[k] = v
		} else {
			words = append(words, w)
		}
	}
	return words, pairs
}
