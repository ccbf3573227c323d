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

// bench is a runner with a store.
type bench struct {
	*Runner
	t testing.TB
	n int
}

func newBench(t testing.TB) *bench {
	disk, err := cas.Open(t.TempDir(), 4<<30, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := cas.NewServer(disk, cas.DefaultLimits, slog.New(slog.DiscardHandler))
	go g.Serve(lis)
	t.Cleanup(g.Stop)
	c, err := cas.Dial(lis.Addr().String(), "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &bench{Runner: &Runner{Store: c, Dir: t.TempDir(), Worker: "n-1", Limits: DefaultLimits}, t: t}
}

// run runs a script as a job of its own, and gives its answer.
func (b *bench) run(ctx context.Context, script string, outputs ...string) (*repb.ExecuteResponse, error) {
	b.n++
	job := fmt.Sprintf("wk-%d", b.n)
	cg, err := b.Store.PutMessage(ctx, sha, &repb.Command{Arguments: []string{"/bin/sh", "-c", script}, OutputPaths: outputs,
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}}})
	if err != nil {
		b.t.Fatal(err)
	}
	g, err := b.Store.PutMessage(ctx, sha, &repb.Action{CommandDigest: cg.Proto(), InputRootDigest: cas.Sum(sha, nil).Proto()})
	if err != nil {
		b.t.Fatal(err)
	}
	if err := b.Run(ctx, job, NewWork("", g), g); err != nil {
		return nil, err
	}
	if left, _ := os.ReadDir(b.Dir); len(left) > 0 {
		b.t.Errorf("%s is left", left[0].Name())
	}
	return Answer(ctx, b.Store, job)
}

// TestRunnerBounds: what an action leaves and writes is bounded, and where it
// leaves it.
func TestRunnerBounds(t *testing.T) {
	b := newBench(t)
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
		t.Errorf("an output by a symlink: %v, %v", resp, err)
	}
}

// TestFaultMessages: the answer to a fault of the action is the message of the fault alone, without
// what the machine attempted meanwhile.
func TestFaultMessages(t *testing.T) {
	b := newBench(t)
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
		if resp, err := Answer(t.Context(), b.Store, job); err != nil || resp.Message != c.want {
			t.Errorf("%v, %v, want %s", resp, err, c.want)
		}
	}
}

// putAction stores an action with a command and an input root.
func (b *bench) putAction(command *repb.Command, root cas.Digest) cas.Digest {
	b.t.Helper()
	cg, err := b.Store.PutMessage(b.t.Context(), sha, command)
	if err != nil {
		b.t.Fatal(err)
	}
	g, err := b.Store.PutMessage(b.t.Context(), sha, &repb.Action{CommandDigest: cg.Proto(), InputRootDigest: root.Proto()})
	if err != nil {
		b.t.Fatal(err)
	}
	return g
}

// TestErrorsSayWhatWasAttempted: a failure of the store is an error that names the step, and keeps
// its cause.
func TestErrorsSayWhatWasAttempted(t *testing.T) {
	b := newBench(t)
	file := filepath.Join(t.TempDir(), "in")
	if err := os.WriteFile(file, []byte("content"), 0o600); err != nil {
		t.Fatal(err)
	}
	over, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Upload(over, b.Store, sha, filepath.Dir(file), []string{"in"})
	if err == nil || !strings.HasPrefix(err.Error(), "finding which of 2 blobs are missing: ") || status.Code(err) != codes.Canceled {
		t.Errorf("upload: %v", err)
	}
	err = PutAnswer(over, b.Store, "wk-1", &repb.ExecuteResponse{})
	if err == nil || !strings.HasPrefix(err.Error(), "storing the answer of wk-1: writing the result of ") || status.Code(err) != codes.Canceled {
		t.Errorf("answer: %v", err)
	}
	if _, _, err := ParseWork(`{"kind":"action","action":"x"}`); !errors.Is(err, cas.ErrBadDigest) || !strings.HasPrefix(err.Error(), "the job's action: ") {
		t.Errorf("work: %v", err)
	}
}

// TestExitCodes: what a command ends with is its answer, as a shell would have it.
func TestExitCodes(t *testing.T) {
	b := newBench(t)
	for script, want := range map[string]int32{"exit 3": 3, "kill -9 $$": 137, "exec /no/such/program": 127} {
		if resp, err := b.run(t.Context(), script); err != nil || resp.Result.ExitCode != want {
			t.Errorf("%s: %v, %v", script, resp, err)
		}
	}
	cg, _ := b.Store.PutMessage(t.Context(), sha, &repb.Command{Arguments: []string{"no-such-program"}})
	g, _ := b.Store.PutMessage(t.Context(), sha, &repb.Action{CommandDigest: cg.Proto(), InputRootDigest: cas.Sum(sha, nil).Proto()})
	if err := b.Run(t.Context(), "wk-99", NewWork("", g), g); err != nil {
		t.Fatal(err)
	}
	if resp, err := Answer(t.Context(), b.Store, "wk-99"); err != nil || resp.Result.ExitCode != exitNotFound {
		t.Errorf("%v, %v", resp, err)
	}
}

// TestKillLeavesNothing: when a task is stopped, all that its command has started
// goes, and no answer is kept; started again it runs anew, and once its answer is
// kept it does not.
func TestKillLeavesNothing(t *testing.T) {
	b := newBench(t)
	mark := filepath.Join(t.TempDir(), "mark")
	script := fmt.Sprintf("echo start >> %s; (sleep 1; echo escaped >> %s) & sleep 5", mark, mark)
	ctx, kill := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil {
			if text, _ := os.ReadFile(mark); len(text) > 0 {
				kill()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	if _, err := b.run(ctx, script); !errors.Is(err, context.Canceled) {
		t.Fatalf("%v", err)
	}
	if _, err := Answer(t.Context(), b.Store, "wk-1"); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("a killed task has an answer: %v", err)
	}
	b.n = 10
	again := fmt.Sprintf("echo again >> %s", mark)
	for range 3 {
		b.n = 10 // the same job, with another attempt
		if _, err := b.run(t.Context(), again); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(1200 * time.Millisecond) // in which what had escaped would write
	if text, _ := os.ReadFile(mark); string(text) != "start\nagain\n" {
		t.Errorf("%q", text)
	}
}

// TestTreeGoesThereAndBack uploads a directory, has it copied, and brings the copy
// back: files, modes, links, empty directories.
func TestTreeGoesThereAndBack(t *testing.T) {
	b := newBench(t)
	src, dst := t.TempDir(), t.TempDir()
	_ = os.MkdirAll(filepath.Join(src, "in/deep/empty"), 0o755)
	_ = os.WriteFile(filepath.Join(src, "in/tool"), []byte("#!/bin/sh\necho hi\n"), 0o755)
	_ = os.WriteFile(filepath.Join(src, "in/deep/large"), make([]byte, 3<<20), 0o644)
	_ = os.Symlink("tool", filepath.Join(src, "in/link"))
	root, err := Upload(t.Context(), b.Store, sha, src, []string{"in"})
	if err != nil {
		t.Fatal(err)
	}
	cg, _ := b.Store.PutMessage(t.Context(), sha, &repb.Command{Arguments: []string{"/bin/cp", "-a", "in", "out"}, OutputPaths: []string{"out"}})
	g, _ := b.Store.PutMessage(t.Context(), sha, &repb.Action{CommandDigest: cg.Proto(), InputRootDigest: root.Proto()})
	if err := b.Run(t.Context(), "wk-1", NewWork("", g), g); err != nil {
		t.Fatal(err)
	}
	res, err := b.Store.Result(t.Context(), g)
	if err != nil || res.ExitCode != 0 {
		t.Fatalf("%v, %v", res, err)
	}
	if err := Download(t.Context(), b.Store, sha, dst, res); err != nil {
		t.Fatal(err)
	}
	var there, back []string
	for dir, list := range map[string]*[]string{filepath.Join(src, "in"): &there, filepath.Join(dst, "out"): &back} {
		_ = filepath.WalkDir(dir, func(path string, e os.DirEntry, err error) error {
			info, _ := os.Lstat(path)
			target, _ := os.Readlink(path)
			*list = append(*list, fmt.Sprint(strings.TrimPrefix(path, dir), " ", info.Mode(), " ", target))
			return err
		})
	}
	if !slices.Equal(there, back) {
		t.Errorf("there %v\nback %v", there, back)
	}
	if _, err := Upload(t.Context(), b.Store, sha, src, []string{"../x"}); err == nil {
		t.Error("an input outside of the directory was uploaded")
	}
}

// FuzzPlan: whatever a tree says, it is refused or stays inside of its root.
func FuzzPlan(f *testing.F) {
	f.Add("a", "b", "../x")
	f.Add("..", "a/b", "/etc")
	f.Add("a", "a", "b/../../..")
	f.Fuzz(func(t *testing.T, file, sub, target string) {
		leaf := &repb.Directory{Files: []*repb.FileNode{{Name: file, Digest: cas.Sum(sha, []byte("x")).Proto()}}, Symlinks: []*repb.SymlinkNode{{Name: "l", Target: target}}}
		raw, err := proto.Marshal(leaf)
		if err != nil {
			t.Skip() // not text
		}
		lg := cas.Sum(sha, raw)
		root := &repb.Directory{Directories: []*repb.DirectoryNode{{Name: sub, Digest: lg.Proto()}}}
		rg := cas.Sum(sha, []byte("root"))
		in, err := planInputs(rg, map[cas.Digest]*repb.Directory{rg: root, lg: leaf}, DefaultLimits)
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

// BenchmarkInputs uploads and lays out a tree of 100,000 small files.
func BenchmarkInputs(b *testing.B) {
	bench := newBench(b)
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
