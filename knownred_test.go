package amberdeal

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runKnownRed runs the reader of the list of known failures on a list.
func runKnownRed(t *testing.T, verb, list string) (output string, ok bool) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(path, []byte(list), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command("bash", ".ci/known-red", verb, path).CombinedOutput()
	return string(out), err == nil
}

// completeEntry is a line of the list that says all it must.
const completeEntry = "TestKnownRedList/a_subtest,_1: a cause | AMBERDEAL_SEED=7 go test -run TestKnownRedList . | 3 of 100 | issue 38\n"

// TestKnownRedList: the list of known failures may be of any length, and each line names a test that
// exists, the cause, the command, how often it fails, and the issue. All faults are told at once.
func TestKnownRedList(t *testing.T) {
	for _, c := range []struct {
		name, list string
		faults     []string
	}{
		{name: "empty", list: ""},
		{name: "complete", list: completeEntry},
		{name: "four entries", list: strings.Repeat(completeEntry, 4)},
		{name: "no newline at the end", list: strings.TrimSpace(completeEntry)},
		{name: "no such test", list: strings.Replace(completeEntry, "List/", "Lost/", 1), faults: []string{`there is no test "TestKnownRedLost/a_subtest,_1"`}},
		{name: "no test", list: strings.Replace(completeEntry, "Test", "test", 1), faults: []string{"names no test"}},
		{name: "a pattern", list: strings.Replace(completeEntry, "List/", ".*/", 1), faults: []string{"is no name of a test"}},
		{name: "a name alone", list: "TestKnownRedList\n", faults: []string{"the cause is missing", "the command that shows it is missing", "how often it fails is missing", "the number of its issue is missing"}},
		{name: "no command", list: strings.Replace(completeEntry, "go test", "run", 1), faults: []string{"the command that shows it is missing"}},
		{name: "no rate", list: strings.Replace(completeEntry, "3 of 100", "", 1), faults: []string{"how often it fails is missing"}},
		{name: "no issue", list: strings.Replace(completeEntry, "issue 38", "later", 1), faults: []string{"the number of its issue is missing"}},
		{name: "two lines with faults", list: completeEntry + strings.Replace(completeEntry, "issue 38", "", 1) + strings.Replace(completeEntry, "a cause", "", 1),
			faults: []string{"the number of its issue is missing", "the cause is missing"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, ok := runKnownRed(t, "check", c.list)
			if ok != (len(c.faults) == 0) || strings.Count(out, "\n") != len(c.faults) {
				t.Errorf("ok %v, want %d faults:\n%s", ok, len(c.faults), out)
			}
			for _, fault := range c.faults {
				if !strings.Contains(out, fault) {
					t.Errorf("not told: %q in\n%s", fault, out)
				}
			}
		})
	}
	names, _ := runKnownRed(t, "names", completeEntry+completeEntry)
	if want := strings.Repeat("TestKnownRedList/a_subtest,_1\n", 2); names != want {
		t.Errorf("names %q, want %q", names, want)
	}
}
