package simtest

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/durationpb"

	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/reapi"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// agentMachine is a rented machine whose agent is a real process.
type agentMachine struct {
	mu  sync.Mutex
	cmd *exec.Cmd
}

// Kill implements simulator.Machine.
func (m *agentMachine) Kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
		m.cmd = nil
	}
}

// startProcess starts the program with the given arguments and appends its log to a file.
func (c *processCluster) startProcess(log string, args ...string) *exec.Cmd {
	f, err := os.OpenFile(filepath.Join(c.dir, log+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Error(err)
		return nil
	}
	defer f.Close()
	cmd := exec.Command(c.binary, args...)
	cmd.Stderr = f
	if err := cmd.Start(); err != nil {
		c.t.Error(err)
		return nil
	}
	return cmd
}

// casAddr returns the address of the content-addressable store (CAS).
func (c *processCluster) casAddr() string { return c.subnet + "210:8980" }

// startCAS starts the CAS as a real process.
func (c *processCluster) startCAS() {
	c.casProcess = c.startProcess("cas", "cas", "--dir", filepath.Join(c.dir, "blobs"), "--listen", c.casAddr())
	c.waitFor("the store of blobs", func() bool { return c.reachable(c.casAddr()) })
}

// killCAS ends the CAS with SIGKILL, if it runs.
func (c *processCluster) killCAS() {
	if c.casProcess != nil {
		_ = c.casProcess.Process.Kill()
		_ = c.casProcess.Wait()
		c.casProcess = nil
	}
}

// startAgent starts the agent of a rented machine.
func (c *processCluster) startAgent(id, addr, typ, zone string, spot bool) simulator.Machine {
	ini := fmt.Sprintf("[machine]\nname = %s\ntype = %s\nzone = %s\nspot = %v\nlisten = %s\ncpus = 16\ngpus = 4\nmemory_gb = 64\n[workers]\nreport = 1s\nlease = 8s\n[actions]\ncas = %s\ndir = %s\n[controllers]\n",
		id, typ, zone, spot, addr, c.casAddr(), filepath.Join(c.dir, id))
	for i := range 3 {
		ini += fmt.Sprintf("c-%d = %s\n", i, c.addr(i+1))
	}
	path := filepath.Join(c.dir, id+".ini")
	m := &agentMachine{}
	if err := os.WriteFile(path, []byte(ini), 0o644); err != nil {
		c.t.Error(err)
		return m
	}
	m.cmd = c.startProcess(id, "agent", "--config", path)
	c.mu.Lock()
	c.agents = append(c.agents, m)
	c.mu.Unlock()
	return m
}

// newBuildCluster starts a cluster that serves the remote execution API and whose agents are real
// processes. guaranteedCPUs is the number of CPUs that the team blue is guaranteed.
func newBuildCluster(t testing.TB, capacity int, guaranteedCPUs float64) *processCluster {
	c := newProcessCluster(t, map[string]any{"rps": 2000, "write_rps": 600, "value_kb": 8, "txn_ops": 20}, "[claim]\nlease = 2s\nrenew = 500ms\n[machines]\nidle = 60s\n", capacity)
	c.cloud.Start, c.guaranteedCPUs = c.startAgent, guaranteedCPUs
	for i := range 3 {
		text, err := os.ReadFile(c.settingsPath(i))
		if err != nil {
			t.Fatal(err)
		}
		text = fmt.Appendf(text, "[reapi]\nlisten = %s%d:8982\ncas = %s\nteam = red\ncpus = 2\nestimate = 1s\n", c.subnet, i+1, c.casAddr())
		if err := os.WriteFile(c.settingsPath(i), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	c.startCAS()
	for i := range 3 {
		c.start(i)
	}
	c.waitFor("ready", func() bool { return c.ready(0) && c.ready(1) && c.ready(2) })
	return c
}

// executorAddr returns the address at which controller i serves the remote execution API.
func (c *processCluster) executorAddr(i int) string { return fmt.Sprintf("%s%d:8982", c.subnet, i+1) }

// buildTool is a client of the remote execution API, as build tools are.
type buildTool struct {
	c        *processCluster
	blobs    *cas.Client
	executor *reapi.Client
}

// newBuildTool returns a build tool that uses an instance name of the remote execution API.
func (c *processCluster) newBuildTool(instance string) *buildTool {
	blobs, err := cas.Dial(c.casAddr(), instance)
	if err != nil {
		c.t.Fatal(err)
	}
	executor, err := reapi.Dial([]string{c.executorAddr(0), c.executorAddr(1), c.executorAddr(2)}, instance)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { blobs.Close(); executor.Close() })
	return &buildTool{c, blobs, executor}
}

// digestFunction is the digest function of all blobs.
const digestFunction = repb.DigestFunction_SHA256

// upload uploads an action that runs a shell script, with its input files by name. change, if not nil,
// modifies the action and its command.
func (b *buildTool) upload(ctx context.Context, script string, inputs map[string]string, change func(*repb.Action, *repb.Command)) (cas.Digest, error) {
	root := &repb.Directory{}
	for _, name := range slices.Sorted(maps.Keys(inputs)) { // sorted, as the API requires
		content := inputs[name]
		g, err := b.blobs.Put(ctx, digestFunction, []byte(content))
		if err != nil {
			return g, err
		}
		root.Files = append(root.Files, &repb.FileNode{Name: name, Digest: g.Proto()})
	}
	command := &repb.Command{Arguments: []string{"/bin/sh", "-c", script}, OutputPaths: []string{"out"},
		EnvironmentVariables: []*repb.Command_EnvironmentVariable{{Name: "PATH", Value: "/usr/bin:/bin"}}}
	a := &repb.Action{Platform: &repb.Platform{}}
	if change != nil {
		change(a, command)
	}
	rg, err := b.blobs.PutMessage(ctx, digestFunction, root)
	if err != nil {
		return rg, err
	}
	cg, err := b.blobs.PutMessage(ctx, digestFunction, command)
	if err != nil {
		return cg, err
	}
	a.CommandDigest, a.InputRootDigest = cg.Proto(), rg.Proto()
	return b.blobs.PutMessage(ctx, digestFunction, a)
}

// run executes a script, trying controller number from first, and returns the response and the content
// of the output file.
func (b *buildTool) run(ctx context.Context, from int, script string, inputs map[string]string, change func(*repb.Action, *repb.Command)) (*repb.ExecuteResponse, string, error) {
	g, err := b.upload(ctx, script, inputs, change)
	if err != nil {
		return nil, "", err
	}
	resp, err := b.executor.StartingAt(from).Execute(ctx, g, false, nil)
	if err != nil || len(resp.Result.GetOutputFiles()) == 0 {
		return resp, "", err
	}
	out, err := cas.ParseDigest(digestFunction, resp.Result.OutputFiles[0].Digest)
	if err != nil {
		return resp, "", err
	}
	text, err := b.blobs.Get(ctx, out)
	return resp, string(text), err
}

// platformProperty returns a change for upload that adds a platform property to the action.
func platformProperty(name, value string) func(*repb.Action, *repb.Command) {
	return func(a *repb.Action, _ *repb.Command) {
		a.Platform.Properties = append(a.Platform.Properties, &repb.Platform_Property{Name: name, Value: value})
	}
}

// TestBuild executes a graph of actions on three controllers, a CAS and agents, all of them real
// processes that are killed at random. Each action has to get its result, the same from every
// controller, and a second build may not execute anything. AMBERDEAL_ACTIONS sets the number of
// actions; the default is small.
func TestBuild(t *testing.T) {
	actions := 36
	if text := os.Getenv("AMBERDEAL_ACTIONS"); text != "" {
		actions, _ = strconv.Atoi(text)
	}
	c := newBuildCluster(t, 3, 0)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute+time.Duration(actions)*time.Second)
	defer cancel()
	b := &graphBuild{buildTool: c.newBuildTool("blue/build"), actions: actions, executionLog: filepath.Join(c.dir, "runs")}
	over := make(chan struct{})
	var kills sync.WaitGroup
	kills.Go(func() { c.killDuringBuild(b, over) })
	first := b.build(ctx)
	close(over)
	kills.Wait()
	executed, _ := os.ReadFile(b.executionLog)
	second := b.build(ctx)
	again, _ := os.ReadFile(b.executionLog)
	if len(again) != len(executed) {
		t.Errorf("the second build executed actions: its log of executions grew by %d bytes", len(again)-len(executed))
	}
	for i := range first {
		if first[i] != second[i] {
			t.Errorf("action %d has different outputs in the two builds", i)
		}
	}
	t.Logf("%d actions, %d executions", actions, bytes.Count(executed, []byte("\n")))
	if t.Failed() {
		c.printLogs()
	}
}

// graphBuild is a build of actions in layers. Each action depends on three actions of the previous layer.
type graphBuild struct {
	*buildTool
	actions      int
	executionLog string       // file to which each execution appends a line
	completed    atomic.Int64 // actions with a result
}

// build executes all actions and returns their outputs.
func (b *graphBuild) build(ctx context.Context) (outs []string) {
	outs = make([]string, b.actions)
	layer := max(12, b.actions/12)
	for first := 0; first < b.actions; first += layer {
		var group sync.WaitGroup
		for i := first; i < min(first+layer, b.actions); i++ {
			inputs := map[string]string{"source": fmt.Sprint("source ", i)}
			for k := 1; k <= 3 && first > 0; k++ { // the outputs that the action depends on
				inputs[fmt.Sprint("dep", k)] = outs[first-layer+(i*k)%layer]
			}
			group.Go(func() {
				script := fmt.Sprintf("echo %d >> %s; sleep 0.05; cat source dep* > out 2>/dev/null; true", i, b.executionLog)
				resp, out, err := b.run(ctx, i, script, inputs, nil)
				if err != nil || resp.Result.GetExitCode() != 0 || resp.Status.GetCode() != 0 || !strings.HasPrefix(out, fmt.Sprint("source ", i)) {
					b.c.t.Errorf("action %d: %v, %v, %q", i, err, resp, out)
				}
				outs[i] = out
				b.completed.Add(1)
			})
		}
		group.Wait()
	}
	return outs
}

// killDuringBuild kills controllers, agents and the blob store in turn until over is closed.
func (c *processCluster) killDuringBuild(b *graphBuild, over <-chan struct{}) {
	rng := rand.New(rand.NewPCG(2, 2))
	for k := 0; ; k++ {
		// Each kill waits until the build has made progress. A leader gives up a killed machine only about
		// 10 s after its election, so that kills at fixed intervals alone could end every leader before that,
		// and the build would never finish.
		for pause := time.Duration(700+rng.IntN(900)) * time.Millisecond; pause > 0 || b.completed.Load() < int64(3*k); pause = 0 {
			select {
			case <-over:
				return
			case <-time.After(max(pause, 100*time.Millisecond)):
			}
		}
		switch k % 3 {
		case 0:
			i := rng.IntN(3)
			c.kill(i)
			c.start(i)
		case 1:
			c.mu.Lock()
			var m *agentMachine
			if len(c.agents) > 0 {
				m = c.agents[rng.IntN(len(c.agents))]
			}
			c.mu.Unlock()
			if m != nil {
				m.Kill()
			}
		case 2:
			c.killCAS()
			c.startCAS()
		}
	}
}

// TestBuildCases tests edge cases of single actions against real processes.
func TestBuildCases(t *testing.T) {
	c := newBuildCluster(t, 2, 0)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	b := &buildCases{c: c, red: c.newBuildTool("red"), blue: c.newBuildTool("blue"), executionLog: filepath.Join(c.dir, "runs")}
	for _, x := range []struct {
		name string
		test func(ctx context.Context, t *testing.T)
	}{
		{"a non-zero exit code is a result and is not cached", b.exitCode},
		{"two teams that request the same action at once share one execution", b.sharedAction},
		{"do_not_cache and skip_cache_lookup", b.cachingFlags},
		{"a time limit ends the command and the processes it has started", b.timeLimit},
		{"a command gets only the declared environment", b.environment},
		{"errors name an unknown property", b.unknownProperty},
		{"the response names a missing blob", b.missingBlob},
		{"a tree that leads out of its root is refused", b.treeOutsideRoot},
		{"a client that disconnects gets the result from another controller", b.clientDisconnects},
		{"a high-priority action does not wait for a large build", b.priorities},
		{"a command's output can be followed while it runs", b.liveOutput},
		{"the command line tools", b.commandLine},
	} {
		t.Run(x.name, func(t *testing.T) { x.test(ctx, t) })
	}
	if n := b.count("escaped"); n != 0 {
		t.Error("a process that the command had started survived the command's time limit")
	}
	if t.Failed() {
		c.printLogs()
	}
}

// buildCases holds the cluster of TestBuildCases and the build tools of two teams.
type buildCases struct {
	c            *processCluster
	red, blue    *buildTool
	executionLog string // file to which commands append
}

// count returns how many lines of the file runs are equal to a word.
func (b *buildCases) count(word string) int {
	text, _ := os.ReadFile(b.executionLog)
	return strings.Count(string(text), word+"\n")
}

// exitCode checks that a non-zero exit code is a result, and that it is not cached.
func (b *buildCases) exitCode(ctx context.Context, t *testing.T) {
	for n := 1; n <= 2; n++ {
		resp, _, err := b.red.run(ctx, 0, fmt.Sprintf("echo fails >> %s; echo why >&2; exit 7", b.executionLog), nil, nil)
		if err != nil || resp.Status.GetCode() != 0 || resp.Result.GetExitCode() != 7 || resp.CachedResult || b.count("fails") != n {
			t.Fatalf("response %v, error %v, executed %d times", resp, err, b.count("fails"))
		}
		g, _ := cas.ParseDigest(digestFunction, resp.Result.StderrDigest)
		if text, err := b.red.blobs.Get(ctx, g); err != nil || string(text) != "why\n" {
			t.Errorf("stderr %q, %v", text, err)
		}
	}
}

// sharedAction checks that two teams who request the same action at once share one execution and its
// result.
func (b *buildCases) sharedAction(ctx context.Context, t *testing.T) {
	script := fmt.Sprintf("echo shared >> %s; sleep 1; date +%%N > out", b.executionLog)
	var outs [2]string
	var group sync.WaitGroup
	for i, tool := range []*buildTool{b.red, b.blue} {
		group.Add(1)
		go func() {
			defer group.Done()
			_, out, err := tool.run(ctx, i, script, nil, nil)
			if err != nil {
				t.Error(err)
			}
			outs[i] = out
		}()
	}
	group.Wait()
	if outs[0] != outs[1] || outs[0] == "" || b.count("shared") != 1 {
		t.Errorf("outputs %q, executed %d times", outs, b.count("shared"))
	}
	for i, tool := range []*buildTool{b.red, b.blue} { // the result is cached for both
		if resp, out, err := tool.run(ctx, i, script, nil, nil); err != nil || !resp.CachedResult || out != outs[0] {
			t.Errorf("%v, %v", resp, err)
		}
	}
}

// cachingFlags checks that do_not_cache and skip_cache_lookup cause new executions.
func (b *buildCases) cachingFlags(ctx context.Context, t *testing.T) {
	script := fmt.Sprintf("echo anew >> %s", b.executionLog)
	for range 2 {
		if _, _, err := b.red.run(ctx, 1, script, nil, func(a *repb.Action, _ *repb.Command) { a.DoNotCache = true }); err != nil {
			t.Fatal(err)
		}
	}
	g, err := b.red.upload(ctx, script, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := b.red.executor.Execute(ctx, g, true, nil); err != nil {
			t.Fatal(err)
		}
	}
	if resp, err := b.red.executor.Execute(ctx, g, false, nil); err != nil || !resp.CachedResult || b.count("anew") != 4 {
		t.Errorf("response %v, error %v, executed %d times", resp, err, b.count("anew"))
	}
}

// timeLimit checks that a time limit ends a command. TestBuildCases checks later that it also ends the
// processes that the command has started.
func (b *buildCases) timeLimit(ctx context.Context, t *testing.T) {
	resp, _, err := b.red.run(ctx, 2, fmt.Sprintf("(sleep 3; echo escaped >> %s) & sleep 30", b.executionLog), nil, func(a *repb.Action, _ *repb.Command) { a.Timeout = durationpb.New(500 * time.Millisecond) })
	if err != nil || resp.Status.GetCode() != int32(codes.DeadlineExceeded) {
		t.Errorf("%v, %v", resp, err)
	}
}

// environment checks that a command gets only the declared environment variables.
func (b *buildCases) environment(ctx context.Context, t *testing.T) {
	_, out, err := b.red.run(ctx, 0, "env | grep -v ^PWD= | grep -v ^_= | grep -v ^SHLVL= > out", nil, nil)
	if err != nil || strings.TrimSpace(out) != "PATH=/usr/bin:/bin" {
		t.Errorf("%q, %v", out, err)
	}
}

// unknownProperty checks that errors name an unknown property, an invalid value of a property, and an
// unknown team.
func (b *buildCases) unknownProperty(ctx context.Context, t *testing.T) {
	_, _, err := b.red.run(ctx, 0, "true", nil, func(a *repb.Action, cmd *repb.Command) {
		platformProperty("gpu-brand", "x")(a, cmd)
		platformProperty("cpus", "many")(a, cmd)
	})
	if err == nil || !strings.Contains(err.Error(), "gpu-brand") || !strings.Contains(err.Error(), "many") {
		t.Errorf("%v", err)
	}
	if _, _, err := b.c.newBuildTool("nobody").run(ctx, 0, "true", nil, nil); err == nil || !strings.Contains(err.Error(), "unknown team") {
		t.Errorf("%v", err)
	}
}

// missingBlob checks that the response names a missing blob.
func (b *buildCases) missingBlob(ctx context.Context, t *testing.T) {
	for what, change := range map[string]func(*repb.Directory){
		"file": func(d *repb.Directory) {
			d.Files = []*repb.FileNode{{Name: "f", Digest: cas.Sum(digestFunction, []byte("gone")).Proto()}}
		},
		"directory": func(d *repb.Directory) {
			d.Directories = []*repb.DirectoryNode{{Name: "d", Digest: cas.Sum(digestFunction, []byte("gone")).Proto()}}
		},
	} {
		resp, err := b.red.executeTree(ctx, change)
		if err != nil || resp.Status.GetCode() != int32(codes.FailedPrecondition) || len(resp.Status.Details) != 1 {
			t.Errorf("%s: %v, %v", what, resp, err)
		}
	}
	if _, err := b.red.executor.Execute(ctx, cas.Sum(digestFunction, []byte("no action")), false, nil); err == nil || !strings.Contains(err.Error(), "missing") {
		t.Errorf("error for a missing action: %v", err)
	}
}

// treeOutsideRoot checks that input trees and output paths that lead out of their root are refused.
func (b *buildCases) treeOutsideRoot(ctx context.Context, t *testing.T) {
	digest, err := b.red.blobs.Put(ctx, digestFunction, []byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"..", "a/b", "/etc/passwd", "", "."} {
		resp, err := b.red.executeTree(ctx, func(d *repb.Directory) { d.Files = []*repb.FileNode{{Name: name, Digest: digest.Proto()}} })
		if err != nil || resp.Status.GetCode() != int32(codes.InvalidArgument) {
			t.Errorf("%q: %v, %v", name, resp, err)
		}
	}
	resp, err := b.red.executeTree(ctx, func(d *repb.Directory) { d.Symlinks = []*repb.SymlinkNode{{Name: "l", Target: "../../etc"}} })
	if err != nil || resp.Status.GetCode() != int32(codes.InvalidArgument) {
		t.Errorf("a symlink: %v, %v", resp, err)
	}
	resp, _, err = b.red.run(ctx, 0, "true", nil, func(_ *repb.Action, cmd *repb.Command) { cmd.OutputPaths = []string{"../../x"} })
	if err != nil || resp.Status.GetCode() != int32(codes.InvalidArgument) {
		t.Errorf("an output: %v, %v", resp, err)
	}
}

// clientDisconnects checks that a client which disconnects during an execution gets its result from another
// controller, without a second execution.
func (b *buildCases) clientDisconnects(ctx context.Context, t *testing.T) {
	g, err := b.red.upload(ctx, fmt.Sprintf("echo left >> %s; sleep 1; echo x > out", b.executionLog), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	firstCall, disconnect := context.WithCancel(ctx)
	_, err = b.red.executor.StartingAt(0).Execute(firstCall, g, false, func(m *repb.ExecuteOperationMetadata) {
		if m.Stage == repb.ExecutionStage_EXECUTING {
			disconnect()
		}
	})
	disconnect()
	if err == nil {
		t.Log("the action completed before the client disconnected")
	}
	b.c.kill(0) // the controller that served the stream ends as well
	b.c.start(0)
	if resp, err := b.red.executor.StartingAt(1).Execute(ctx, g, false, nil); err != nil || resp.Result.GetExitCode() != 0 || b.count("left") != 1 {
		t.Errorf("response %v, error %v, executed %d times", resp, err, b.count("left"))
	}
}

// priorities checks that an action of high priority does not wait for all actions of a large build.
func (b *buildCases) priorities(ctx context.Context, t *testing.T) {
	var group sync.WaitGroup
	var mu sync.Mutex
	completed := 0
	const buildSize = 60
	for i := range buildSize {
		group.Add(1)
		go func() {
			defer group.Done()
			if _, _, err := b.blue.run(ctx, i, fmt.Sprintf("sleep 1.%02d", i), nil, platformProperty("cpus", "4")); err != nil {
				t.Error(err)
			}
			mu.Lock()
			completed++
			mu.Unlock()
		}()
	}
	b.c.waitFor("the build", func() bool { mu.Lock(); defer mu.Unlock(); return completed > 0 })
	if _, _, err := b.red.run(ctx, 0, "true", nil, func(a *repb.Action, cmd *repb.Command) {
		platformProperty("priority", string(wire.Production))(a, cmd)
		platformProperty("cpus", "4")(a, cmd)
	}); err != nil {
		t.Error(err)
	}
	mu.Lock()
	before := completed
	mu.Unlock()
	if before > buildSize*3/4 {
		t.Errorf("%d of %d actions of the build completed before the high-priority action", before, buildSize)
	}
	t.Logf("%d of %d actions of the build had completed when the high-priority action had", before, buildSize)
	group.Wait()
}

// liveOutput checks that clients can follow a command's output while it runs.
func (b *buildCases) liveOutput(ctx context.Context, t *testing.T) {
	g, err := b.red.upload(ctx, "echo early; sleep 2; echo late", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	var live syncBuffer
	var watch sync.WaitGroup
	completed := false
	_, err = b.red.executor.Execute(ctx, g, false, func(m *repb.ExecuteOperationMetadata) {
		if m.Stage == repb.ExecutionStage_COMPLETED {
			completed = true
		}
		if m.StdoutStreamName != "" && live.String() == "" {
			watch.Go(func() {
				for ctx.Err() == nil { // the log exists once the command has written something
					if n, err := b.red.blobs.FollowLog(ctx, m.StdoutStreamName, &live); err == nil && n > 0 {
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
			b.c.waitFor("the first line", func() bool { return strings.HasPrefix(live.String(), "early\n") })
			if completed || strings.Contains(live.String(), "late") {
				t.Error("the output was shown only after the command had ended")
			}
		}
	})
	watch.Wait()
	if err != nil || live.String() != "early\nlate\n" {
		t.Errorf("%q, %v", live.String(), err)
	}
}

// commandLine checks that the command line tools run an action and get its output.
func (b *buildCases) commandLine(ctx context.Context, t *testing.T) {
	dir := t.TempDir()
	_ = os.WriteFile(filepath.Join(dir, "in.txt"), []byte("hello\n"), 0o644)
	cmd := exec.CommandContext(ctx, b.c.binary, "reapi", "run", "--cas", b.c.casAddr(), "--executor", b.c.executorAddr(0)+","+b.c.executorAddr(1), "--instance", "red",
		"-i", "in.txt", "-o", "sub/out.txt", "-e", "PATH=/bin:/usr/bin", "--", "sh", "-c", "cat in.txt; tr a-z A-Z < in.txt > sub/out.txt; exit 4")
	cmd.Dir = dir
	out, err := cmd.Output()
	if cmd.ProcessState.ExitCode() != 4 || string(out) != "hello\n" {
		t.Errorf("%q, %v", out, err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "sub", "out.txt"))
	if string(text) != "HELLO\n" {
		t.Errorf("%q, %v", text, err)
	}
	got, err := exec.CommandContext(ctx, b.c.binary, "reapi", "get", "--cas", b.c.casAddr(), cas.Sum(digestFunction, text).String()).Output()
	if string(got) != "HELLO\n" {
		t.Errorf("%q, %v", got, err)
	}
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String implements fmt.Stringer.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// executeTree executes an action whose input root is filled by change.
func (b *buildTool) executeTree(ctx context.Context, change func(*repb.Directory)) (*repb.ExecuteResponse, error) {
	root := &repb.Directory{}
	change(root)
	rg, err := b.blobs.PutMessage(ctx, digestFunction, root)
	if err != nil {
		return nil, err
	}
	cg, err := b.blobs.PutMessage(ctx, digestFunction, &repb.Command{Arguments: []string{"/bin/true"}})
	if err != nil {
		return nil, err
	}
	g, err := b.blobs.PutMessage(ctx, digestFunction, &repb.Action{CommandDigest: cg.Proto(), InputRootDigest: rg.Proto()})
	if err != nil {
		return nil, err
	}
	return b.executor.Execute(ctx, g, false, nil)
}

// BenchmarkActions measures the rate of actions through Execute, with and without cached results.
func BenchmarkActions(b *testing.B) {
	c := newBuildCluster(b, 3, 0)
	t := c.newBuildTool("blue")
	run := func(b *testing.B, name func(i int) string) {
		var group sync.WaitGroup
		slots := make(chan struct{}, 32)
		for i := 0; b.Loop(); i++ {
			slots <- struct{}{}
			group.Add(1)
			go func() {
				defer group.Done()
				if _, _, err := t.run(b.Context(), i, ": "+name(i), nil, platformProperty("cpus", "0.5")); err != nil {
					b.Error(err)
				}
				<-slots
			}()
		}
		group.Wait()
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "actions/s")
	}
	b.Run("uncached", func(b *testing.B) { run(b, func(i int) string { return fmt.Sprint(b.N, i, time.Now().UnixNano()) }) })
	b.Run("cached", func(b *testing.B) { run(b, func(int) string { return "known" }) })
}

// BenchmarkStreams keeps streams open at one controller for an action that waits for a machine in a
// cloud without machines, and reports the controller's memory per stream.
func BenchmarkStreams(b *testing.B) {
	c := newBuildCluster(b, 0, 0)
	t := c.newBuildTool("blue")
	g, err := t.upload(b.Context(), "true", nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	const streams = 400
	for b.Loop() {
		before := c.memoryMB(0, "VmRSS")
		ctx, stop := context.WithCancel(b.Context())
		var open, over sync.WaitGroup
		for range streams {
			executor, err := reapi.Dial([]string{c.executorAddr(0)}, "blue") // each stream has its own connection
			if err != nil {
				b.Fatal(err)
			}
			open.Add(1)
			over.Add(1)
			go func() {
				defer over.Done()
				defer executor.Close()
				var once sync.Once
				_, _ = executor.Execute(ctx, g, false, func(*repb.ExecuteOperationMetadata) { once.Do(open.Done) })
			}()
		}
		open.Wait()
		b.ReportMetric((c.memoryMB(0, "VmRSS")-before)*1024/streams, "KiB/stream")
		stop()
		over.Wait()
	}
}

// BenchmarkTwoTeams has two teams build at once on a cluster that is too small for either build. One
// build is three times as large as the other. The benchmark reports by what factor the small build
// takes longer than alone, with half of the cluster guaranteed to its team and without a guarantee.
func BenchmarkTwoTeams(b *testing.B) {
	for _, guaranteedCPUs := range []float64{0, 16} {
		b.Run(fmt.Sprint(guaranteedCPUs, " CPUs guaranteed"), func(b *testing.B) { benchmarkTwoTeams(b, guaranteedCPUs) })
	}
}

// benchmarkTwoTeams runs BenchmarkTwoTeams with the given number of CPUs guaranteed to the small build's team.
func benchmarkTwoTeams(b *testing.B, guaranteedCPUs float64) {
	c := newBuildCluster(b, 1, guaranteedCPUs)
	build := func(instance string, actions int, salt any) time.Duration {
		t := c.newBuildTool(instance)
		begun := time.Now()
		var group sync.WaitGroup
		for i := range actions {
			group.Add(1)
			go func() {
				defer group.Done()
				if _, _, err := t.run(b.Context(), i, fmt.Sprintf("sleep 0.5; : %s %d %v", instance, i, salt), nil, platformProperty("cpus", "4")); err != nil {
					b.Error(err)
				}
			}()
		}
		group.Wait()
		return time.Since(begun)
	}
	build("blue", 8, "warm")
	for b.Loop() {
		alone := build("blue", 24, time.Now().UnixNano())
		large := make(chan time.Duration)
		go func() { large <- build("red", 72, time.Now().UnixNano()) }()
		time.Sleep(300 * time.Millisecond)
		concurrent := build("blue", 24, time.Now().UnixNano())
		b.ReportMetric(concurrent.Seconds()/alone.Seconds(), "beside/alone")
		b.ReportMetric((<-large).Seconds()/alone.Seconds(), "large/alone")
	}
}
