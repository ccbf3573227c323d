package action

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"golang.org/x/sync/errgroup"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	spb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/timestamppb"

	"amberdeal.example/amberdeal/internal/cas"
)

// Runner carries out actions on a machine.
type Runner struct {
	Store  *cas.Client
	Dir    string // in which each action gets a directory of its own
	Worker string // the machine's name
	Limits Limits
}

// MissingStatus says in the API's way which blobs an action lacks.
func MissingStatus(digests ...cas.Digest) *status.Status {
	st := status.New(codes.FailedPrecondition, "blobs are missing")
	f := &errdetails.PreconditionFailure{}
	for _, g := range digests[:min(len(digests), 1000)] {
		f.Violations = append(f.Violations, &errdetails.PreconditionFailure_Violation{Type: "MISSING", Subject: "blobs/" + g.String()})
	}
	if with, err := st.WithDetails(f); err == nil {
		return with
	}
	return st
}

// Run carries out the action of a job to its end, and keeps the answer: whatever
// is wrong with the action itself is an answer too. An error is the machine's, or
// the store's: the action is to be tried again. When the context ends the command
// and all that it has started are killed.
func (r *Runner) Run(ctx context.Context, job string, w Work, g cas.Digest) error {
	if _, err := Answer(ctx, r.Store, job); err == nil {
		return nil // started again after its answer was kept
	}
	dir, err := os.MkdirTemp(r.Dir, job+"-*")
	if err != nil {
		return err
	}
	defer removeAll(dir)
	c := r.Store.ForInstance(w.Instance)
	meta := &repb.ExecutedActionMetadata{Worker: r.Worker, WorkerStartTimestamp: timestamppb.Now()}
	a := &execution{Runner: r, client: c, digest: g, dir: dir, meta: meta, job: job}
	result, err := a.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	resp := &repb.ExecuteResponse{Result: result, Status: &spb.Status{}}
	var f *actionError
	switch {
	case errors.As(err, &f) && f.missing != nil:
		resp.Status = MissingStatus(f.missing...).Proto()
	case errors.As(err, &f):
		resp.Status = status.New(f.code, f.message).Proto()
	case err != nil:
		return err
	}
	resp.Message = status.FromProto(resp.Status).Message()
	if result != nil {
		result.ExecutionMetadata = meta
	}
	meta.WorkerCompletedTimestamp = timestamppb.Now()
	if resp.Status.Code == 0 && result.ExitCode == 0 && !a.action.DoNotCache {
		if err := c.PutResult(ctx, g, result); err != nil {
			return err
		}
	}
	return PutAnswer(ctx, r.Store, job, resp)
}

// removeAll removes a directory of which the action may have locked some.
func removeAll(dir string) {
	_ = filepath.WalkDir(dir, func(path string, e os.DirEntry, err error) error {
		if err == nil && e.IsDir() {
			_ = os.Chmod(path, 0o755)
		}
		return nil
	})
	_ = os.RemoveAll(dir)
}

// execution is an action that is being carried out.
type execution struct {
	*Runner
	client  *cas.Client
	digest  cas.Digest
	dir     string
	meta    *repb.ExecutedActionMetadata
	job     string
	action  repb.Action
	command repb.Command
}

func (a *execution) run(ctx context.Context) (*repb.ActionResult, error) {
	a.meta.InputFetchStartTimestamp = timestamppb.Now()
	root, err := a.fetch(ctx)
	if err != nil {
		return nil, err
	}
	a.meta.InputFetchCompletedTimestamp = timestamppb.Now()
	outs, err := a.outputPaths()
	if err != nil {
		return nil, err
	}
	cwd, err := relativePath("working_directory", a.command.WorkingDirectory)
	if err != nil {
		return nil, err
	}
	cwd = filepath.Join(root, cwd)
	if err := os.MkdirAll(cwd, 0o755); err != nil {
		return nil, err
	}
	for _, p := range outs { // the directories that outputs are in are made for the command
		if err := os.MkdirAll(filepath.Dir(filepath.Join(cwd, p)), 0o755); err != nil {
			return nil, invalidAction("output %q: %v", p, err)
		}
	}
	a.meta.ExecutionStartTimestamp = timestamppb.Now()
	code, late, err := a.execute(ctx, cwd)
	a.meta.ExecutionCompletedTimestamp = timestamppb.Now()
	if err != nil {
		return nil, err
	}
	a.meta.OutputUploadStartTimestamp = timestamppb.Now()
	result, err := a.collect(ctx, root, cwd, outs, code)
	a.meta.OutputUploadCompletedTimestamp = timestamppb.Now()
	if err == nil && late {
		err = &actionError{code: codes.DeadlineExceeded, message: fmt.Sprintf("the command ran longer than its time limit, %v", a.action.Timeout.AsDuration())}
	}
	return result, err
}

// fetch reads the action, its command and its inputs.
func (a *execution) fetch(ctx context.Context) (root string, err error) {
	if err := a.client.Message(ctx, a.digest, &a.action); err != nil {
		return "", notFoundAsMissing(err, a.digest)
	}
	cg, err := cas.ParseDigest(a.digest.Function, a.action.CommandDigest)
	if err != nil {
		return "", invalidAction("command_digest: %v", err)
	}
	if err := a.client.Message(ctx, cg, &a.command); err != nil {
		return "", notFoundAsMissing(err, cg)
	}
	rg, err := cas.ParseDigest(a.digest.Function, a.action.InputRootDigest)
	if err != nil {
		return "", invalidAction("input_root_digest: %v", err)
	}
	dirs := make(map[cas.Digest]*repb.Directory)
	if !rg.Empty() {
		if dirs, err = a.client.Tree(ctx, rg); err != nil {
			return "", notFoundAsMissing(err, rg)
		}
	}
	in, err := planInputs(rg, dirs, a.Limits)
	if err != nil {
		return "", err
	}
	root = filepath.Join(a.dir, "root")
	if err := os.MkdirAll(root, 0o755); err != nil {
		return "", err
	}
	return root, in.materialize(ctx, a.client, root)
}

// notFoundAsMissing turns a blob that is not there into what is wrong with the action.
func notFoundAsMissing(err error, g cas.Digest) error {
	if errors.Is(err, cas.ErrMalformed) {
		return invalidAction("%v", err)
	}
	for e := err; e != nil; e = errors.Unwrap(e) {
		if status.Code(e) == codes.NotFound {
			return missingBlobs(g)
		}
	}
	return err
}

// outputPaths lists what the command says that it leaves.
func (a *execution) outputPaths() ([]string, error) {
	paths := a.command.OutputPaths
	if len(paths) == 0 {
		//lint:ignore SA1019 clients of version 2.0 of the interface send these fields alone
		paths = append(slices.Clone(a.command.OutputFiles), a.command.OutputDirectories...)
	}
	var out []string
	for _, p := range paths {
		q, err := relativePath("output", filepath.Join(a.command.WorkingDirectory, p))
		if err != nil {
			return nil, err
		}
		rel, err := filepath.Rel(filepath.Clean(a.command.WorkingDirectory), q)
		if err != nil {
			return nil, invalidAction("output %q: %v", p, err)
		}
		out = append(out, rel)
	}
	return out, nil
}

// Exit codes of commands that could not be started, as shells have them.
const (
	exitNotFound       = 127
	exitNotStarted     = 126
	exitSignal         = 128
	killWait           = 5 * time.Second
	outputPollInterval = 200 * time.Millisecond
)

// execute runs the command in a process group of its own, with no more than the
// environment that it declares.
func (a *execution) execute(ctx context.Context, cwd string) (code int, late bool, err error) {
	if len(a.command.Arguments) == 0 {
		return 0, false, invalidAction("the command has no arguments")
	}
	if d := a.action.Timeout.AsDuration(); a.action.Timeout != nil && d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, d, errTimeLimit)
		defer cancel()
	}
	ctx, over := context.WithCancelCause(ctx)
	defer over(nil)
	stdout, err := os.Create(filepath.Join(a.dir, "stdout"))
	if err != nil {
		return 0, false, err
	}
	defer stdout.Close()
	stderr, err := os.Create(filepath.Join(a.dir, "stderr"))
	if err != nil {
		return 0, false, err
	}
	defer stderr.Close()
	cmd := exec.CommandContext(ctx, a.command.Arguments[0], a.command.Arguments[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = cwd, stdout, stderr
	cmd.Env = []string{}
	path := ""
	for _, v := range a.command.EnvironmentVariables {
		cmd.Env = append(cmd.Env, v.Name+"="+v.Value)
		if v.Name == "PATH" {
			path = v.Value
		}
	}
	cmd.Path = lookPath(a.command.Arguments[0], cwd, path)
	cmd.Err = nil
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = killWait
	runtime.LockOSThread() // the command ends with the thread that has started it
	defer runtime.UnlockOSThread()
	if err := cmd.Start(); err != nil {
		fmt.Fprintf(stderr, "the command can't be started: %v\n", err)
		if errors.Is(err, os.ErrNotExist) {
			return exitNotFound, false, nil
		}
		return exitNotStarted, false, nil
	}
	var beside errgroup.Group
	beside.Go(func() error { limitOutput(ctx, a.Limits.OutputBytes, over, stdout, stderr); return nil })
	outName, errName := LogNames(a.job)
	beside.Go(func() error { a.streamLog(ctx, stdout.Name(), outName); return nil })
	beside.Go(func() error { a.streamLog(ctx, stderr.Name(), errName); return nil })
	err = cmd.Wait()
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // what it has left running
	cause := context.Cause(ctx)
	over(nil)
	_ = beside.Wait()
	switch {
	case errors.Is(cause, errOutputLimit):
		return 0, false, &actionError{code: codes.ResourceExhausted, message: fmt.Sprintf("the command writes more than %d bytes to stdout or stderr", a.Limits.OutputBytes)}
	case errors.Is(cause, errTimeLimit):
		return exitSignal + int(syscall.SIGKILL), true, nil
	case cause != nil:
		return 0, false, cause
	}
	if state, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && state.Signaled() {
		return exitSignal + int(state.Signal()), false, nil
	}
	return cmd.ProcessState.ExitCode(), false, nil
}

var (
	errTimeLimit   = errors.New("time limit")
	errOutputLimit = errors.New("too much output")
)

// limitOutput ends the command when it writes too much.
func limitOutput(ctx context.Context, limit int64, over context.CancelCauseFunc, files ...*os.File) {
	t := time.NewTicker(outputPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, f := range files {
			if info, err := f.Stat(); err == nil && info.Size() > limit {
				over(errOutputLimit)
				return
			}
		}
	}
}

// logPollInterval is how often what a command has written is shown to those who watch.
const logPollInterval = 100 * time.Millisecond

// streamLog writes a file, as it grows, into a log of the store, until the command is
// over. Nothing rests on it: where the store does not take it, nobody sees it live.
func (a *execution) streamLog(ctx context.Context, file, name string) {
	f, err := os.Open(file)
	if err != nil {
		return
	}
	defer f.Close()
	var log *cas.Log
	t := time.NewTicker(logPollInterval)
	defer t.Stop()
	for over := false; ; {
		for buf := make([]byte, 32<<10); ; {
			n, err := f.Read(buf)
			if n == 0 || err != nil {
				break
			}
			if log == nil { // most commands write nothing
				end, cancel := context.WithCancel(context.WithoutCancel(ctx))
				defer cancel()
				if log, err = a.client.Log(end, name); err != nil {
					return
				}
			}
			if _, err := log.Write(buf[:n]); err != nil {
				return
			}
		}
		if over {
			if log != nil {
				_ = log.Close()
			}
			return
		}
		select {
		case <-ctx.Done():
			over = true
		case <-t.C:
		}
	}
}

// lookPath finds the program: one with a slash is relative to the working directory,
// any other is looked for in the PATH that the command declares.
func lookPath(program, cwd, path string) string {
	if filepath.IsAbs(program) {
		return program
	}
	if strings.Contains(program, "/") {
		return filepath.Join(cwd, program)
	}
	for _, dir := range filepath.SplitList(path) {
		p := filepath.Join(dir, program)
		if info, err := os.Stat(p); err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0 {
			return p
		}
	}
	return filepath.Join(cwd, program)
}

// collect uploads what the command has left, and makes the result of it.
func (a *execution) collect(ctx context.Context, root, cwd string, outs []string, code int) (*repb.ActionResult, error) {
	o := &outputs{function: a.digest.Function, limits: a.Limits, result: &repb.ActionResult{ExitCode: int32(code)}, files: map[cas.Digest]string{}, blobs: map[cas.Digest][]byte{}}
	real, err := filepath.EvalSymlinks(root)
	if err != nil {
		return nil, err
	}
	for _, p := range outs {
		at := filepath.Join(cwd, p)
		// The command may have put a symlink in the way that leads elsewhere.
		if parent, err := filepath.EvalSymlinks(filepath.Dir(at)); err == nil && parent != real && !strings.HasPrefix(parent, real+"/") {
			return nil, invalidAction("output %q: leads out of the input root", p)
		}
		if err := o.collect(at, p); err != nil {
			return nil, err
		}
	}
	for name, to := range map[string]**repb.Digest{"stdout": &o.result.StdoutDigest, "stderr": &o.result.StderrDigest} {
		at := filepath.Join(a.dir, name)
		info, err := os.Stat(at)
		if err != nil {
			return nil, err
		}
		g, err := o.file(at, info)
		if err != nil {
			return nil, err
		}
		*to = g.Proto()
	}
	return o.result, o.upload(ctx, a.client)
}
