package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/reapi"
	"amberdeal.example/amberdeal/internal/store"
)

type reapiCmd struct {
	Run reapiRun `cmd:"" help:"Upload inputs, have a command executed, and exit with its code."`
	Get reapiGet `cmd:"" help:"Read a blob."`
}

// casFlags select the blob store and the instance in it.
type casFlags struct {
	Cas      string `required:"" placeholder:"IP:PORT" env:"AMBERDEAL_CAS" help:"Address of amberdeal cas."`
	Instance string `help:"Instance name: TEAM or TEAM/CLASS."`
}

type reapiRun struct {
	casFlags
	Executor  []string          `required:"" placeholder:"IP:PORT,..." env:"AMBERDEAL_REAPI" help:"Addresses of the controllers for build tools."`
	Input     []string          `short:"i" placeholder:"PATH" help:"File or directory below this one that the command needs; may be repeated."`
	Output    []string          `short:"o" placeholder:"PATH" help:"File or directory that it leaves, to be brought back; may be repeated."`
	Env       map[string]string `short:"e" placeholder:"NAME=VALUE" help:"Its environment, which is otherwise empty."`
	Property  map[string]string `short:"p" placeholder:"NAME=VALUE" help:"Platform properties, such as cpus=2."`
	Timeout   time.Duration     `help:"Its time limit; 0 for none."`
	SkipCache bool              `help:"Execute it even if its result is known."`
	NoCache   bool              `help:"Do not keep its result."`
	Args      []string          `arg:"" passthrough:"" help:"The command, after --."`
}

// commandExitError reports that an executed command exited with a code other than 0. The program exits with the
// same code.
type commandExitError struct{ code int }

func (e commandExitError) Error() string { return fmt.Sprintf("the command exited with %d", e.code) }

// Run executes the command remotely and copies its output to standard output and standard error.
func (r reapiRun) Run() error {
	ctx, stop := interruptContext()
	defer stop()
	args := r.Args
	if len(args) > 0 && args[0] == "--" {
		args = args[1:]
	}
	if len(args) == 0 {
		return settingsError{errors.New("reapi run takes a command after --")}
	}
	blobs, err := cas.Dial(r.Cas, r.Instance)
	if err != nil {
		return err
	}
	defer blobs.Close()
	actionDigest, err := r.upload(ctx, blobs, args)
	if err != nil {
		return err
	}
	executor, err := reapi.Dial(r.Executor, r.Instance)
	if err != nil {
		return err
	}
	defer executor.Close()
	printer := &progressPrinter{casClient: blobs}
	resp, err := executor.Execute(ctx, actionDigest, r.SkipCache, func(m *repb.ExecuteOperationMetadata) { printer.update(ctx, m) })
	if err != nil {
		return err
	}
	stdout, stderr := printer.finish()
	return r.finish(ctx, blobs, resp, stdout, stderr)
}

// progressPrinter prints the stage of an execution, and streams the output of its command while it runs.
type progressPrinter struct {
	casClient   *cas.Client
	stage       repb.ExecutionStage_Value
	stop        context.CancelFunc
	group       sync.WaitGroup
	copiedBytes [2]int64
}

// update prints a new stage, and starts streaming the output once the streams are known.
func (p *progressPrinter) update(ctx context.Context, m *repb.ExecuteOperationMetadata) {
	if m.Stage == p.stage {
		return
	}
	p.stage = m.Stage
	fmt.Fprintf(os.Stderr, "amberdeal: %s\n", strings.ToLower(m.Stage.String()))
	if m.StdoutStreamName == "" || p.stop != nil {
		return
	}
	ctx, p.stop = context.WithCancel(ctx)
	for i, to := range []io.Writer{os.Stdout, os.Stderr} {
		name := []string{m.StdoutStreamName, m.StderrStreamName}[i]
		p.group.Go(func() {
			for ctx.Err() == nil && p.copiedBytes[i] == 0 { // a stream can be read only once something was written to it
				if p.copiedBytes[i], _ = p.casClient.FollowLog(ctx, name, to); p.copiedBytes[i] == 0 {
					store.Backoff(ctx, 200*time.Millisecond)
				}
			}
		})
	}
}

// finish stops the streaming and returns the number of bytes of stdout and stderr that were copied.
func (p *progressPrinter) finish() (stdout, stderr int64) {
	if p.stop != nil {
		p.stop()
		p.group.Wait()
	}
	return p.copiedBytes[0], p.copiedBytes[1]
}

// upload stores the action with its command and inputs, and returns the action's digest.
func (r reapiRun) upload(ctx context.Context, c *cas.Client, args []string) (cas.Digest, error) {
	digestFunction := cas.DigestFunctions[0]
	root, err := action.Upload(ctx, c, digestFunction, ".", r.Input)
	if err != nil {
		return root, err
	}
	command := &repb.Command{Arguments: args, OutputPaths: r.Output}
	for _, name := range slices.Sorted(maps.Keys(r.Env)) {
		command.EnvironmentVariables = append(command.EnvironmentVariables, &repb.Command_EnvironmentVariable{Name: name, Value: r.Env[name]})
	}
	platform := &repb.Platform{}
	for _, name := range slices.Sorted(maps.Keys(r.Property)) {
		platform.Properties = append(platform.Properties, &repb.Platform_Property{Name: name, Value: r.Property[name]})
	}
	commandDigest, err := c.PutMessage(ctx, digestFunction, command)
	if err != nil {
		return commandDigest, err
	}
	a := &repb.Action{CommandDigest: commandDigest.Proto(), InputRootDigest: root.Proto(), DoNotCache: r.NoCache, Platform: platform}
	if r.Timeout > 0 {
		a.Timeout = durationpb.New(r.Timeout)
	}
	return c.PutMessage(ctx, digestFunction, a)
}

// skipWriter drops the first bytesToSkip bytes, which were streamed before, and writes the rest.
type skipWriter struct {
	writer      io.Writer
	bytesToSkip int64
}

func (w *skipWriter) Write(p []byte) (int, error) {
	n := min(w.bytesToSkip, int64(len(p)))
	w.bytesToSkip -= n
	_, err := w.writer.Write(p[n:])
	return len(p), err
}

// finish writes the part of the output that was not streamed, and downloads the command's output files.
func (r reapiRun) finish(ctx context.Context, c *cas.Client, resp *repb.ExecuteResponse, stdout, stderr int64) error {
	res := resp.Result
	for _, o := range []struct {
		digest *repb.Digest
		raw    []byte
		to     io.Writer
	}{{res.GetStdoutDigest(), res.GetStdoutRaw(), &skipWriter{os.Stdout, stdout}}, {res.GetStderrDigest(), res.GetStderrRaw(), &skipWriter{os.Stderr, stderr}}} {
		if _, err := o.to.Write(o.raw); err != nil {
			return err
		}
		if o.digest != nil {
			digest, err := cas.ParseDigest(cas.DigestFunctions[0], o.digest)
			if err == nil {
				err = c.Read(ctx, digest, o.to)
			}
			if err != nil {
				return err
			}
		}
	}
	if st := status.FromProto(resp.Status); st.Code() != codes.OK {
		return fmt.Errorf("not executed: %w", st.Err())
	}
	if err := action.Download(ctx, c, cas.DigestFunctions[0], ".", res); err != nil {
		return err
	}
	if resp.CachedResult {
		fmt.Fprintln(os.Stderr, "amberdeal: the result was known")
	}
	if res.GetExitCode() != 0 {
		return commandExitError{int(res.ExitCode)}
	}
	return nil
}

type reapiGet struct {
	casFlags
	Digest string `arg:"" help:"HASH/SIZE."`
	Output string `short:"o" placeholder:"FILE" help:"Where it goes, instead of standard output."`
}

// Run reads the blob. A file is written under a temporary name first, so that it exists only once it is complete.
func (r reapiGet) Run() error {
	digest, err := cas.DigestFromString(r.Digest)
	if err != nil {
		return settingsError{err}
	}
	ctx, stop := interruptContext()
	defer stop()
	c, err := cas.Dial(r.Cas, r.Instance)
	if err != nil {
		return err
	}
	defer c.Close()
	if r.Output == "" {
		return c.Read(ctx, digest, os.Stdout)
	}
	f, err := os.CreateTemp(filepath.Dir(r.Output), filepath.Base(r.Output)+".part-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := errors.Join(c.Read(ctx, digest, f), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), r.Output)
}
