package action

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"amberdeal.example/amberdeal/internal/cas"
)

const sha = repb.DigestFunction_SHA256

// testRunner is a Runner with a store on the loopback interface.
type testRunner struct {
	*Runner
	t testing.TB
	n int
}

func newTestRunner(t testing.TB) *testRunner {
	disk, err := cas.Open(t.TempDir(), 4<<30, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := cas.NewServer(disk, cas.DefaultLimits, slog.New(slog.DiscardHandler))
	go server.Serve(lis)
	t.Cleanup(server.Stop)
	c, err := cas.Dial(lis.Addr().String(), "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &testRunner{Runner: &Runner{Store: c, Dir: t.TempDir(), Worker: "n-1", Limits: DefaultLimits}, t: t}
}

// run runs a script as a new job and returns its response.
func (b *testRunner) run(ctx context.Context, script string, outputs ...string) (*repb.ExecuteResponse, error) {
	b.n++
	job := fmt.Sprintf("wk-%d", b.n)
	commandDigest, err := b.Store.PutMessage(ctx, sha, &repb.Command{Arguments: []string{"/bin/sh", "-c", script}, OutputPaths: outputs,
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}}})
	if err != nil {
		b.t.Fatal(err)
	}
	digest, err := b.Store.PutMessage(ctx, sha, &repb.Action{CommandDigest: commandDigest.Proto(), InputRootDigest: cas.Sum(sha, nil).Proto()})
	if err != nil {
		b.t.Fatal(err)
	}
	if err := b.Run(ctx, job, NewWork("", digest), digest); err != nil {
		return nil, err
	}
	if left, _ := os.ReadDir(b.Dir); len(left) > 0 {
		b.t.Errorf("%s was not deleted", left[0].Name())
	}
	return StoredResponse(ctx, b.Store, job)
}

// TestRunnerLimits checks that the number, size and kind of an action's outputs are restricted, and that an output
// can't be read from outside the input root through a symlink.
func TestRunnerLimits(t *testing.T) {
	b := newTestRunner(t)
	b.Limits = Limits{Inputs: 10, InputBytes: 1000, Outputs: 5, OutputBytes: 100_000}
	elsewhere := t.TempDir()
	for name, c := range map[string]struct {
		script string
		code   codes.Code
	}{
		"within":                          {"echo x > out", codes.OK},
		"nothing left":                    {"true", codes.OK},
		"too many files":                  {"mkdir out; for i in 1 2 3 4 5 6; do echo $i > out/$i; done", codes.ResourceExhausted},
		"too many bytes":                  {"head -c 200000 /dev/zero > out", codes.ResourceExhausted},
		"endless output":                  {"yes", codes.ResourceExhausted},
		"a pipe":                          {"mkfifo out", codes.InvalidArgument},
		"a directory that it can't leave": {"mkdir -p out/a; chmod 0 out/a; chmod 755 out/a", codes.OK},
	} {
		if resp, err := b.run(t.Context(), c.script, "out"); err != nil || codes.Code(resp.Status.GetCode()) != c.code {
			t.Errorf("%s: %v, %v", name, resp, err)
		}
	}
	_ = os.WriteFile(filepath.Join(elsewhere, "secret"), []byte("x"), 0o644)
	if resp, err := b.run(t.Context(), "rmdir sub; ln -s "+elsewhere+" sub", "sub/secret"); err != nil || codes.Code(resp.Status.GetCode()) != codes.InvalidArgument {
		t.Errorf("output below a symlink: %v, %v", resp, err)
	}
}

// TestActionErrorMessages checks that the response to an error of the action has only the message of that error,
// without the context that the machine adds to its own errors.
func TestActionErrorMessages(t *testing.T) {
	b := newTestRunner(t)
	b.Limits = Limits{Inputs: 10, InputBytes: 1000, Outputs: 5, OutputBytes: 100_000}
	for script, want := range map[string]string{
		"mkdir out; for i in 1 2 3 4 5 6; do echo $i > out/$i; done": "the outputs are more than 5 files or 100000 bytes",
		"yes":        "the command writes more than 100000 bytes to stdout or stderr",
		"mkfifo out": `output "out": is neither a file, a directory nor a symlink`,
	} {
		if resp, err := b.run(t.Context(), script, "out"); err != nil || resp.Message != want || resp.Status.GetMessage() != want {
			t.Errorf("%s: %v, %v, want %s", script, resp, err, want)
		}
	}
	noArguments := b.putAction(&repb.Command{}, cas.Sum(sha, nil))
	noInputs := b.putAction(&repb.Command{Arguments: []string{"true"}}, cas.Sum(sha, []byte("never stored")))
	for i, c := range []struct {
		action cas.Digest
		want   string
	}{
		{noArguments, "the command has no arguments"},
		{noInputs, "blobs are missing"},
		{cas.Sum(sha, []byte("never stored")), "blobs are missing"},
	} {
		job := fmt.Sprintf("wk-fault-%d", i)
		if err := b.Run(t.Context(), job, NewWork("", c.action), c.action); err != nil {
			t.Fatal(err)
		}
		if resp, err := StoredResponse(t.Context(), b.Store, job); err != nil || resp.Message != c.want {
			t.Errorf("%v, %v, want %s", resp, err, c.want)
		}
	}
}

// putAction stores an action with the given command and input root.
func (b *testRunner) putAction(command *repb.Command, root cas.Digest) cas.Digest {
	b.t.Helper()
	commandDigest, err := b.Store.PutMessage(b.t.Context(), sha, command)
	if err != nil {
		b.t.Fatal(err)
	}
	digest, err := b.Store.PutMessage(b.t.Context(), sha, &repb.Action{CommandDigest: commandDigest.Proto(), InputRootDigest: root.Proto()})
	if err != nil {
		b.t.Fatal(err)
	}
	return digest
}

// TestErrorsNameFailedStep checks that an error caused by the store names the step that failed and wraps the cause.
func TestErrorsNameFailedStep(t *testing.T) {
	b := newTestRunner(t)
	file := filepath.Join(t.TempDir(), "in")
	if err := os.WriteFile(file, []byte("content"), 0o600); err != nil {
		t.Fatal(err)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Upload(cancelled, b.Store, sha, filepath.Dir(file), []string{"in"})
	if err == nil || !strings.HasPrefix(err.Error(), "finding which of 2 blobs are missing: ") || status.Code(err) != codes.Canceled {
		t.Errorf("upload: %v", err)
	}
	err = StoreResponse(cancelled, b.Store, "wk-1", &repb.ExecuteResponse{})
	if err == nil || !strings.HasPrefix(err.Error(), "storing the answer of wk-1: writing the result of ") || status.Code(err) != codes.Canceled {
		t.Errorf("response: %v", err)
	}
	if _, _, err := ParseWork(`{"kind":"action","action":"x"}`); !errors.Is(err, cas.ErrBadDigest) || !strings.HasPrefix(err.Error(), "the job's action: ") {
		t.Errorf("work: %v", err)
	}
}

// TestExitCodes checks that exit codes, signals and missing programs are reported as a shell reports them.
func TestExitCodes(t *testing.T) {
	b := newTestRunner(t)
	for script, want := range map[string]int32{"exit 3": 3, "kill -9 $$": 137, "exec /no/such/program": 127} {
		if resp, err := b.run(t.Context(), script); err != nil || resp.Result.ExitCode != want {
			t.Errorf("%s: %v, %v", script, resp, err)
		}
	}
	commandDigest, _ := b.Store.PutMessage(t.Context(), sha, &repb.Command{Arguments: []string{"no-such-program"}})
	digest, _ := b.Store.PutMessage(t.Context(), sha, &repb.Action{CommandDigest: commandDigest.Proto(), InputRootDigest: cas.Sum(sha, nil).Proto()})
	if err := b.Run(t.Context(), "wk-99", NewWork("", digest), digest); err != nil {
		t.Fatal(err)
	}
	if resp, err := StoredResponse(t.Context(), b.Store, "wk-99"); err != nil || resp.Result.ExitCode != exitNotFound {
		t.Errorf("%v, %v", resp, err)
	}
}

// TestKilledActionLeavesNoProcesses checks that stopping a task kills all processes that its command has started, and
// that no response is stored. The next attempt runs the command again. Further attempts return the stored response.
func TestKilledActionLeavesNoProcesses(t *testing.T) {
	b := newTestRunner(t)
	output := filepath.Join(t.TempDir(), "mark")
	script := fmt.Sprintf("echo start >> %s; (sleep 1; echo escaped >> %s) & sleep 5", output, output)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			if text, _ := os.ReadFile(output); len(text) > 0 {
				cancel()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	if _, err := b.run(ctx, script); !errors.Is(err, context.Canceled) {
		t.Fatalf("%v", err)
	}
	if _, err := StoredResponse(t.Context(), b.Store, "wk-1"); !errors.Is(err, ErrResponseNotFound) {
		t.Errorf("response of a killed task: %v", err)
	}
	b.n = 10
	secondScript := fmt.Sprintf("echo again >> %s", output)
	for range 3 {
		b.n = 10 // another attempt of the same job
		if _, err := b.run(t.Context(), secondScript); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1200 * time.Millisecond) // long enough for a process that was not killed to write
	if text, _ := os.ReadFile(output); string(text) != "start\nagain\n" {
		t.Errorf("%q", text)
	}
}

// TestTreeRoundTrip uploads a directory, runs an action that copies it and downloads the copy. It compares files,
// modes, symlinks and empty directories.
func TestTreeRoundTrip(t *testing.T) {
	b := newTestRunner(t)
	src, dst := t.TempDir(), t.TempDir()
	_ = os.MkdirAll(filepath.Join(src, "in/deep/empty"), 0o755)
	_ = os.WriteFile(filepath.Join(src, "in/tool"), []byte("#!/bin/sh\necho hi\n"), 0o755)
	_ = os.WriteFile(filepath.Join(src, "in/deep/large"), make([]byte, 3<<20), 0o644)
	_ = os.Symlink("tool", filepath.Join(src, "in/link"))
	root, err := Upload(t.Context(), b.Store, sha, src, []string{"in"})
	if err != nil {
		t.Fatal(err)
	}
	commandDigest, _ := b.Store.PutMessage(t.Context(), sha, &repb.Command{Arguments: []string{"/bin/cp", "-a", "in", "out"}, OutputPaths: []string{"out"}})
	digest, _ := b.Store.PutMessage(t.Context(), sha, &repb.Action{CommandDigest: commandDigest.Proto(), InputRootDigest: root.Proto()})
	if err := b.Run(t.Context(), "wk-1", NewWork("", digest), digest); err != nil {
		t.Fatal(err)
	}
	res, err := b.Store.Result(t.Context(), digest)
	if err != nil || res.ExitCode != 0 {
		t.Fatalf("%v, %v", res, err)
	}
	if err := Download(t.Context(), b.Store, sha, dst, res); err != nil {
		t.Fatal(err)
	}
	var uploaded, downloaded []string
	for dir, list := range map[string]*[]string{filepath.Join(src, "in"): &uploaded, filepath.Join(dst, "out"): &downloaded} {
		_ = filepath.WalkDir(dir, func(path string, e os.DirEntry, err error) error {
			info, _ := os.Lstat(path)
			target, _ := os.Readlink(path)
			*list = append(*list, fmt.Sprint(strings.TrimPrefix(path, dir), " ", info.Mode(), " ", target))
			return err
		})
	}
	if !slices.Equal(uploaded, downloaded) {
		t.Errorf("uploaded %v\ndownloaded %v", uploaded, downloaded)
	}
	if _, err := Upload(t.Context(), b.Store, sha, src, []string{"../x"}); err == nil {
		t.Error("an input from outside the directory was uploaded")
	}
}

// FuzzPlan checks that any input tree is either rejected or stays within its root.
func FuzzPlan(f *testing.F) {
	f.Add("a", "b", "../x")
	f.Add("..", "a/b", "/etc")
	f.Add("a", "a", "b/../../..")
	f.Fuzz(func(t *testing.T, file, sub, target string) {
		leaf := &repb.Directory{Files: []*repb.FileNode{{Name: file, Digest: cas.Sum(sha, []byte("x")).Proto()}}, Symlinks: []*repb.SymlinkNode{{Name: "l", Target: target}}}
		raw, err := proto.Marshal(leaf)
		if err != nil {
			t.Skip() // a name is not valid UTF-8
		}
		leafDigest := cas.Sum(sha, raw)
		root := &repb.Directory{Directories: []*repb.DirectoryNode{{Name: sub, Digest: leafDigest.Proto()}}}
		rootDigest := cas.Sum(sha, []byte("root"))
		in, err := planInputs(rootDigest, map[cas.Digest]*repb.Directory{rootDigest: root, leafDigest: leaf}, DefaultLimits)
		if err != nil {
			return
		}
		paths := slices.Clone(in.dirs)
		for _, nodes := range in.files {
			for _, n := range nodes {
				paths = append(paths, n.path)
			}
		}
		for _, l := range in.links {
			paths = append(paths, l.path, filepath.Join(filepath.Dir(l.path), l.target))
		}
		for _, p := range paths {
			if full := filepath.Join("/root/of/it", p); full != "/root/of/it" && !strings.HasPrefix(full, "/root/of/it/") {
				t.Errorf("%q leads to %s", []string{file, sub, target}, full)
			}
		}
	})
}

// BenchmarkInputs measures how fast an input tree of 100,000 small files is fetched and written.
func BenchmarkInputs(b *testing.B) {
	bench := newTestRunner(b)
	src := b.TempDir()
	const files = 100_000
	for i := range files {
		dir := filepath.Join(src, "in", fmt.Sprint(i/100))
		_ = os.MkdirAll(dir, 0o755)
		_ = os.WriteFile(filepath.Join(dir, fmt.Sprint(i%100)), fmt.Appendf(nil, "content of %d", i), 0o644)
	}
	root, err := Upload(b.Context(), bench.Store, sha, src, []string{"in"})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		dirs, err := bench.Store.Tree(b.Context(), root)
		if err != nil {
			b.Fatal(err)
		}
		in, err := planInputs(root, dirs, DefaultLimits)
		if err != nil {
			b.Fatal(err)
		}
		if err := in.materialize(b.Context(), bench.Store, b.TempDir()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(files*b.N)/b.Elapsed().Seconds(), "files/s")
}
