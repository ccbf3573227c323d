package action

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/codes"
)

const (
	// Exit codes as shells report them. The number of the signal is added to exitSignalBase.
	exitNotFound       = 127
	exitNotStarted     = 126
	exitSignalBase     = 128
	waitDelay          = 5 * time.Second
	outputPollInterval = 200 * time.Millisecond
)

// execute runs the command in its own process group, with only the environment variables that it declares. It returns
// the exit code, and whether the command exceeded its timeout.
func (a *execution) execute(ctx context.Context, cwd string) (code int, timedOut bool, err error) {
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
	runtime.LockOSThread() // Pdeathsig kills the command when the thread that started it exits
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
		return exitSignalBase + int(syscall.SIGKILL), true, nil
	case cause != nil:
		return 0, false, cause
	}
	return exitCode(cmd.ProcessState), false, nil
}

// newCmd returns the command, ready to be started.
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
	cmd.WaitDelay = waitDelay
	return cmd
}

// await waits until the command has ended, and meanwhile limits and streams its output. It returns the cause if the
// context ended first.
func (a *execution) await(ctx context.Context, cancel context.CancelCauseFunc, cmd *exec.Cmd, stdout, stderr *os.File) error {
	var helpers errgroup.Group
	helpers.Go(func() error { limitOutput(ctx, a.Limits.OutputBytes, cancel, stdout, stderr); return nil })
	outName, errName := LogNames(a.job)
	helpers.Go(func() error { a.streamLog(ctx, stdout.Name(), outName); return nil })
	helpers.Go(func() error { a.streamLog(ctx, stderr.Name(), errName); return nil })
	_ = cmd.Wait()                                      // the caller uses ProcessState and the cause instead
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) // kill processes that the command left running
	cause := context.Cause(ctx)
	cancel(nil)
	_ = helpers.Wait()
	return cause
}

// exitCode returns the exit code of a process as shells report it.
func exitCode(state *os.ProcessState) int {
	if ws, ok := state.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
		return exitSignalBase + int(ws.Signal())
	}
	return state.ExitCode()
}

var (
	errTimeLimit   = errors.New("time limit exceeded")
	errOutputLimit = errors.New("output limit exceeded")
)

// limitOutput cancels the command when a file grows beyond the limit. It returns when the context ends.
func limitOutput(ctx context.Context, limit int64, cancel context.CancelCauseFunc, files ...*os.File) {
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
				cancel(errOutputLimit)
				return
			}
		}
	}
}

// lookPath returns the path of a program. A relative name with a slash is relative to the working directory. A name
// without a slash is searched for in the PATH that the command declares.
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
