package dev

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestDemo runs the demo from the command line and checks that it succeeds and leaves no files.
func TestDemo(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "amberdeal")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/amberdeal").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	cmd := exec.Command(program, "dev", "--demo", "--port", "27080")
	cmd.Env = append(os.Environ(), "TMPDIR="+dir)
	out, err := cmd.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "every controller gives the same answers") {
		t.Errorf("%v\n%s", err, out)
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "amberdeal-dev-*")); len(left) > 0 {
		t.Errorf("%v was not removed", left)
	}
}
