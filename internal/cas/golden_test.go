package cas

import (
	"os"
	"strings"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenResult checks that the path and the content of a stored action result match the golden files, so that a
// new version can read the results of an earlier one.
func TestGoldenResult(t *testing.T) {
	dir := t.TempDir()
	d, err := Open(dir, 1<<20, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	action := Sum(DigestFunctions[0], []byte("an action"))
	if err := d.PutResult("main", action, &repb.ActionResult{ExitCode: 3, StdoutRaw: []byte("out")}); err != nil {
		t.Fatal(err)
	}
	path := d.resultPath("main", action)
	body, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CompareBytes(t, "result", body)
	goldentest.CompareText(t, "result.path", strings.TrimPrefix(path, dir)+"\n")
}
