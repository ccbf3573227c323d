package action

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// Runner executes actions on a machine.
type Runner struct {
	Store  *cas.Client
	Dir    string // in which each action gets a directory of its own
	Worker string // the machine's name
	Limits Limits
}

// maxViolations bounds the missing blobs that a status lists.
const maxViolations = 1000

// MissingStatus returns the API's status for an action of which blobs are not in the store.
func MissingStatus(digests ...cas.Digest) *status.Status {
	st := status.New(codes.FailedPrecondition, "blobs are missing")
	f := &errdetails.PreconditionFailure{}
	for _, g := range digests[:min(len(digests), maxViolations)] {
		f.Violations = append(f.Violations, &errdetails.PreconditionFailure_Violation{Type: "MISSING", Subject: "blobs/" + g.String()})
	}
	if with, err := st.WithDetails(f); err == nil {
		return with
	}
	return st
}

// Run executes the action of a job and stores its answer. A fault of the action itself is an
// answer, too. An error is a failure of the machine or the store, after which the action
// should be retried. When the context ends, the command and all processes that it has started
// are killed.
func (r *Runner) Run(ctx context.Context, job string, w Work, g cas.Digest) error {
	if _, err := Answer(ctx, r.Store, job); err == nil {
		return nil // launched again after its answer was stored
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

// removeAll deletes a directory, including subdirectories that the action made read-only.
func removeAll(dir string) {
	_ = filepath.WalkDir(dir, func(path string, e os.DirEntry, err error) error {
		if err == nil && e.IsDir() {
			_ = os.Chmod(path, 0o755)
		}
		return nil
	})
	_ = os.RemoveAll(dir)
}

// execution is an action that is being executed.
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

// run fetches the inputs, runs the command and uploads the outputs.
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
	for _, p := range outs { // the API demands that the directories of outputs exist
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

// fetch reads the action and its command, and writes its inputs below the root it returns.
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

// notFoundAsMissing converts the error for a blob that is malformed or not in the store to an
// actionError.
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

// outputPaths lists the outputs that the command declares, relative to its working directory.
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

const (
	// Exit codes as shells report them. A signal's number is added to exitSignal.
	exitNotFound       = 127
	exitNotStarted     = 126
	exitSignal         = 128
	killWait           = 5 * time.Second
	outputPollInterval = 200 * time.Millisecond
)

// execute runs the command in a process group of its own, with no other environment than
// the one that it declares. It reports whether the command exceeded its time limit.
func (a *execution) execute(ctx context.Context, cwd string) (code int, late bool, err error) {
	if len(a.command.Arguments) == 0 {
		return 0, false, invalidAction("the command has no arguments")
	}
	if d := a.action.Timeout.AsDuration(); a.action.Timeout != nil && d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, d, errTimeLimit)
		defer cancel()
	}
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
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
	cmd := a.newCmd(ctx, cwd, stdout, stderr)
	runtime.LockOSThread() // Pdeathsig kills the command when the thread that started it ends
	defer runtime.UnlockOSThread()
	if err := cmd.Start(); err != nil {
		fmt.Fprintf(stderr, "the command can't be started: %v\n", err)
		if errors.Is(err, os.ErrNotExist) {
			return exitNotFound, false, nil
		}
		return exitNotStarted, false, nil
	}
	cause := a.await(ctx, end, cmd, stdout, stderr)
	switch {
	case errors.Is(cause, errOutputLimit):
		return 0, false, &actionError{code: codes.ResourceExhausted, message: fmt.Sprintf("the command writes more than %d bytes to stdout or stderr", a.Limits.OutputBytes)}
	case errors.Is(cause, errTimeLimit):
		return exitSignal + int(syscall.SIGKILL), true, nil
	case cause != nil:
		return 0, false, cause
	}
	return exitCode(cmd.ProcessState), false, nil
}

// newCmd prepares the command.
func (a *execution) newCmd(ctx context.Context, cwd string, stdout, stderr *os.File) *exec.Cmd {
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
	return cmd
}

// await waits until the command has ended, while its output is bounded and streamed. It
// returns why the context ended before, if it did.
func (a *execution) await(ctx context.Context, end context.CancelCauseFunc, cmd *exec.Cmd, stdout, stderr *os.File) error {
	var helpers errgroup.Group
	helpers.Go(func() error { limitOutput(ctx, a.Limits.OutputBytes, end, stdout, stderr); return nil })
	outName, errName := LogNames(a.job)
	helpers.Go(func() error { a.streamLog(ctx, stdout.Name(), outName); return nil })
	helpers.Go(func() error { a.streamLog(ctx, stderr.Name(), errName); return nil })
	_ = cmd.Wait()                                      // its state and the cause tell more
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // processes that it left running
	cause := context.Cause(ctx)
	end(nil)
	_ = helpers.Wait()
	return cause
}

// exitCode returns the exit code of a process as shells report it.
func exitCode(state *os.ProcessState) int {
	if ws, ok := state.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
		return exitSignal + int(ws.Signal())
	}
	return state.ExitCode()
}

var (
	errTimeLimit   = errors.New("time limit")
	errOutputLimit = errors.New("too much output")
)

// limitOutput ends the command when a file exceeds the limit, until the context ends.
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

// logPollInterval is how often new output of a command is copied to its log.
const logPollInterval = 100 * time.Millisecond

// streamLog copies a file, as it grows, to a log of the store until the command has ended.
// The log is for people who watch: where the store does not accept it, it is left out.
func (a *execution) streamLog(ctx context.Context, file, name string) {
	f, err := os.Open(file)
	if err != nil {
		return
	}
	defer f.Close()
	logCtx, cancel := context.WithCancel(context.WithoutCancel(ctx)) // what is left is sent after the end
	defer cancel()
	to := &lazyLog{ctx: logCtx, client: a.client, name: name}
	t := time.NewTicker(logPollInterval)
	defer t.Stop()
	for ended := false; ; {
		if err := copyNew(to, f); err != nil {
			return
		}
		if ended {
			to.close()
			return
		}
		select {
		case <-ctx.Done():
			ended = true
		case <-t.C:
		}
	}
}

// logBufferBytes is how much of a file goes into one message of a log.
const logBufferBytes = 32 << 10

// copyNew copies what was appended to a file since the last call. An error is that of the
// destination.
func copyNew(to io.Writer, f *os.File) error {
	buf := make([]byte, logBufferBytes)
	for {
		n, err := f.Read(buf)
		if n == 0 || err != nil {
			return nil
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return err
		}
	}
}

// lazyLog is a log that is begun with the first write: most commands write nothing.
type lazyLog struct {
	ctx    context.Context // of the whole log
	client *cas.Client
	name   string
	log    *cas.Log
}

// Write appends to the log.
func (l *lazyLog) Write(p []byte) (int, error) {
	if l.log == nil {
		log, err := l.client.Log(l.ctx, l.name)
		if err != nil {
			return 0, err
		}
		l.log = log
	}
	return l.log.Write(p)
}

// close finishes the log, if it was begun.
func (l *lazyLog) close() {
	if l.log != nil {
		_ = l.log.Close() // whether it was kept changes nothing
	}
}

// lookPath returns the path of a program. A name with a slash is relative to the working
// directory; any other is searched for in the PATH that the command declares.
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

// collect uploads the outputs of the command and returns its result.
func (a *execution) collect(ctx context.Context, root, cwd string, outs []string, code int) (*repb.ActionResult, error) {
	o := &outputs{function: a.digest.Function, limits: a.Limits, result: &repb.ActionResult{ExitCode: int32(code)}, files: map[cas.Digest]string{}, blobs: map[cas.Digest][]byte{}}
	realRoot, err := filepath.EvalSymlinks(root)
	if err != nil {
		return nil, err
	}
	for _, p := range outs {
		at := filepath.Join(cwd, p)
		// The command may have replaced a directory by a symlink that leads elsewhere.
		if parent, err := filepath.EvalSymlinks(filepath.Dir(at)); err == nil && parent != realRoot && !strings.HasPrefix(parent, realRoot+"/") {
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
