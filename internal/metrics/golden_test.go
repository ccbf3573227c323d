package metrics

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/goldentest"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/zone"
)

// TestGoldenMetrics checks that the names, types, labels and values of all metrics have not changed. It ignores
// the metrics of the Go runtime, which the Prometheus library defines.
func TestGoldenMetrics(t *testing.T) {
	r := goldentest.FilledValue[Reading](t)
	// Set by name, since the values that Filled sets depend on the order of the fields, which does not matter here.
	r.Compaction = archive.CompactorStats{Staged: 26, Merged: 27, Writes: 28, FenceAdvances: 29, Refused: 30, Blocked: 31, Conflicting: 32}
	if zeros := goldentest.Zeros(r); len(zeros) > 0 {
		t.Fatalf("these fields are zero: %v", zeros)
	}
	r.Zones = map[string]zone.Record{"a": {State: zone.Unreachable, Number: 3}}
	resp := Handler(func() Reading { return r })(context.Background(), &httpwire.Request{Method: "GET", Path: Path})
	if resp.Status != 200 {
		t.Fatalf("%d %s", resp.Status, resp.Body)
	}
	var lines []string
	for line := range strings.Lines(string(resp.Body)) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "# HELP") || !strings.Contains(line, "amberdeal_") {
			continue
		}
		if name, _, _ := strings.Cut(line, " "); strings.HasSuffix(name, "fold_lag_seconds") || strings.HasSuffix(name, "snapshot_age_seconds") {
			line = name // the value is an age, which depends on the current time
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	goldentest.CompareText(t, "metrics.txt", Path+" "+resp.ContentType+"\n"+strings.Join(lines, "\n")+"\n")
	if age := time.Since(r.OldestEnd); age < 0 {
		t.Errorf("the filled times are in the future: %v", age)
	}
}
