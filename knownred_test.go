package amberdeal

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runKnownRed runs .ci/known-red with a list of known test failures. The command is check, which validates the
// list, or names, which prints the names of the tests.
func runKnownRed(t *testing.T, command, list string) (output string, ok bool) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if err := os.WriteFile(path, []byte(list), 0o644); err != nil {
		t.Fatal(err)
	}
	out, err := exec.Command("bash", ".ci/known-red", command, path).CombinedOutput()
	return string(out), err == nil
}

// completeEntry is a valid line of the list, with all its parts.
const completeEntry = "TestKnownRedList/a_subtest,_1: a cause | AMBERDEAL_SEED=7 go test -run TestKnownRedList . | 3 of 100 | issue 38\n"

// TestKnownRedList checks the validation of the list of known test failures. The list may have any length. Each line
// must have the name of an existing test, the cause, the command, the failure rate and the issue, and all errors must
// be reported together.
func TestKnownRedList(t *testing.T) {
	for _, c := range []struct {
		name, list string
		wantErrs   []string
	}{
		{name: "empty", list: ""},
		{name: "complete", list: completeEntry},
		{name: "four entries", list: strings.Repeat(completeEntry, 4)},
		{name: "no newline at the end", list: strings.TrimSpace(completeEntry)},
		{name: "no such test", list: strings.Replace(completeEntry, "List/", "Lost/", 1), wantErrs: []string{`there is no test "TestKnownRedLost/a_subtest,_1"`}},
		{name: "no test", list: strings.Replace(completeEntry, "Test", "test", 1), wantErrs: []string{"names no test"}},
		{name: "a pattern", list: strings.Replace(completeEntry, "List/", ".*/", 1), wantErrs: []string{"is no name of a test"}},
		{name: "a name alone", list: "TestKnownRedList\n", wantErrs: []string{"the cause is missing", "the command that shows it is missing", "how often it fails is missing", "the number of its issue is missing"}},
		{name: "no command", list: strings.Replace(completeEntry, "go test", "run", 1), wantErrs: []string{"the command that shows it is missing"}},
		{name: "no rate", list: strings.Replace(completeEntry, "3 of 100", "", 1), wantErrs: []string{"how often it fails is missing"}},
		{name: "no issue", list: strings.Replace(completeEntry, "issue 38", "later", 1), wantErrs: []string{"the number of its issue is missing"}},
		{name: "two lines with faults", list: completeEntry + strings.Replace(completeEntry, "issue 38", "", 1) + strings.Replace(completeEntry, "a cause", "", 1),
			wantErrs: []string{"the number of its issue is missing", "the cause is missing"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, ok := runKnownRed(t, "check", c.list)
			if ok != (len(c.wantErrs) == 0) || strings.Count(out, "\n") != len(c.wantErrs) {
				t.Errorf("ok %v, want %d errors:\n%s", ok, len(c.wantErrs), out)
			}
			for _, wantErr := range c.wantErrs {
				if !strings.Contains(out, wantErr) {
					t.Errorf("the output does not contain %q:\n%s", wantErr, out)
				}
			}
		})
	}
	names, _ := runKnownRed(t, "names", completeEntry+completeEntry)
	if want := strings.Repeat("TestKnownRedList/a_subtest,_1\n", 2); names != want {
		t.Errorf("names %q, want %q", names, want)
	}
}
