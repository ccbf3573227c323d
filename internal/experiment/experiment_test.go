package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/parquet-go/parquet-go"

	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
	"amberdeal.example/amberdeal/internal/outcomefile"
)

// TestPlan parses the experiment file in deploy and checks that all errors of an invalid file are reported together.
func TestPlan(t *testing.T) {
	p, err := Parse("../../deploy/experiment/experiment.ini")
	if err != nil || len(p.Cells()) != 6 {
		t.Fatalf("%+v, %v", p, err)
	}
	path := filepath.Join(t.TempDir(), "x.ini")
	if err := os.WriteFile(path, []byte("[experiment]\nworlds = small\nmixes = none.ini\nseeds = many\nparallel = 99\ncolour = red\n[other]\na = 1\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	_, err = Parse(path)
	for _, want := range []string{"none.ini: no such file", "seeds: \"many\"", "parallel: \"99\": must be a count from 1 to 16", "colour: \"red\": must be left out", "[other]"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in\n%v", want, err)
		}
	}
}

// testOutcome returns an outcome of a cell with four samples and one class of jobs.
func testOutcome(settings string, seed uint64, p50 int64) *Outcome {
	c := Cell{"w.ini", "m.ini", settings, seed}
	o := &Outcome{Cell: c, WriteRPS: 30, RPS: 100, Faults: []emulator.StagedFault{{Number: 1, Label: "outage", Since: 1, Until: 2}},
		Result: &load.Result{Classes: map[string]*load.ClassResult{"tidy": {Jobs: 3, Accepted: 3, Done: 3, Accept: load.Times{Count: 3, P50: p50, P99: 2 * p50}}}}}
	for i := range 4 {
		o.Samples = append(o.Samples, Sample{Cell: c, TimeS: float64(i), Up: i, Running: 2 * i, Changes: float64(i), FencingToken: 1})
	}
	return o
}

// TestReport checks that saved outcomes can be read again, that the Parquet files hold all of them, and that the report
// shows means with their ranges and differences by seed and refers to no external resources.
func TestReport(t *testing.T) {
	dir := t.TempDir()
	all := []*Outcome{testOutcome("none", 1, 10), testOutcome("none", 2, 20), testOutcome("quick.ini", 1, 7), testOutcome("quick.ini", 2, 16)}
	all[3].Result.Violations = []string{"went_back: <wk-1>"}
	for _, o := range all {
		if err := outcomefile.Save(filepath.Join(dir, o.Cell.fileName()), o); err != nil {
			t.Fatal(err)
		}
	}
	saved, err := Read(dir)
	if err != nil || len(saved) != 4 {
		t.Fatalf("%d outcomes, %v", len(saved), err)
	}
	if err := writeTables(dir, saved); err != nil {
		t.Fatal(err)
	}
	samples, err := parquet.ReadFile[Sample](filepath.Join(dir, "samples.parquet"))
	if err != nil || len(samples) != 16 || samples[3].Up != 3 || samples[3].Settings != "none" {
		t.Errorf("%d samples, %v", len(samples), err)
	}
	classes, err := parquet.ReadFile[ClassRow](filepath.Join(dir, "classes.parquet"))
	if err != nil || len(classes) != 4 || classes[0].Class != "tidy" {
		t.Errorf("%+v, %v", classes, err)
	}
	page := filepath.Join(dir, "report.html")
	if err := Report(page, saved, []*Outcome{testOutcome("none", 1, 30)}); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(page)
	for _, want := range []string{"15 (10 to 20)", "11.5 (7 to 16)", "-3.50 (-4 to -3)", "other run: none", "went_back: &lt;wk-1&gt;", "<svg", "outage", "prefers-color-scheme:dark"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%q is not in the report", want)
		}
	}
	for _, unwanted := range []string{"<script", "src=\"http", "href=\"http"} {
		if strings.Contains(string(text), unwanted) {
			t.Errorf("%q is in the report", unwanted)
		}
	}
}

// TestReadNamesTheFile checks that reading an invalid outcome file fails with an error that names the file and the
// reason.
func TestReadNamesTheFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "cell-x.json")
	for text, want := range map[string]string{"{}": "no result", "{": "unexpected end of JSON input"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(dir)
		if want = path + ": not a cell's outcome: " + want; err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}
