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

// TestGoldenMetrics: a scrape gives the metrics that it gave, under the same names, of the
// same kinds, with the same labels and values. Those of the Go runtime are the library's.
func TestGoldenMetrics(t *testing.T) {
	r := goldentest.Filled[Reading](t)
	// Named, since what Filled gives follows the order of the fields, which means nothing here.
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
			line = name // its value is an age
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	goldentest.Text(t, "metrics.txt", Path+" "+resp.ContentType+"\n"+strings.Join(lines, "\n")+"\n")
	if age := time.Since(r.OldestEnd); age < 0 {
		t.Errorf("the filled times are in the future: %v", age)
	}
}
