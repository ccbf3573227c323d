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

// casFlags say where blobs are.
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

// commandExitError is the exit code of a command that was executed.
type commandExitError struct{ code int }

func (e commandExitError) Error() string { return fmt.Sprintf("the command exited with %d", e.code) }

// Run has the command executed; its output goes to standard output and error.
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
	g, err := r.upload(ctx, blobs, args)
	if err != nil {
		return err
	}
	builds, err := reapi.Dial(r.Executor, r.Instance)
	if err != nil {
		return err
	}
	defer builds.Close()
	watch := &progressPrinter{casClient: blobs}
	resp, err := builds.Execute(ctx, g, r.SkipCache, func(m *repb.ExecuteOperationMetadata) { watch.update(ctx, m) })
	if err != nil {
		return err
	}
	stdout, stderr := watch.finish()
	return r.finish(ctx, blobs, resp, stdout, stderr)
}

// progressPrinter shows how an execution stands, and what its command writes meanwhile.
type progressPrinter struct {
	casClient   *cas.Client
	stage       repb.ExecutionStage_Value
	stop        context.CancelFunc
	group       sync.WaitGroup
	copiedBytes [2]int64
}

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
			for ctx.Err() == nil && p.copiedBytes[i] == 0 { // a log is there once something was written
				if p.copiedBytes[i], _ = p.casClient.FollowLog(ctx, name, to); p.copiedBytes[i] == 0 {
					store.Backoff(ctx, 200*time.Millisecond)
				}
			}
		})
	}
}

// finish ends the show, and tells how much of stdout and stderr was shown.
func (p *progressPrinter) finish() (stdout, stderr int64) {
	if p.stop != nil {
		p.stop()
		p.group.Wait()
	}
	return p.copiedBytes[0], p.copiedBytes[1]
}

// upload writes the action and all that it needs, and gives its digest.
func (r reapiRun) upload(ctx context.Context, c *cas.Client, args []string) (cas.Digest, error) {
	f := cas.Functions[0]
	root, err := action.Upload(ctx, c, f, ".", r.Input)
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
	cg, err := c.PutMessage(ctx, f, command)
	if err != nil {
		return cg, err
	}
	a := &repb.Action{CommandDigest: cg.Proto(), InputRootDigest: root.Proto(), DoNotCache: r.NoCache, Platform: platform}
	if r.Timeout > 0 {
		a.Timeout = durationpb.New(r.Timeout)
	}
	return c.PutMessage(ctx, f, a)
}

// skipWriter leaves out the first bytes, which were shown before.
type skipWriter struct {
	writer      io.Writer
	bytesToSkip int64
}

func (b *skipWriter) Write(p []byte) (int, error) {
	n := min(b.bytesToSkip, int64(len(p)))
	b.bytesToSkip -= n
	_, err := b.writer.Write(p[n:])
	return len(p), err
}

// finish prints the rest of what the command has written, and brings its outputs
// back.
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
			g, err := cas.ParseDigest(cas.Functions[0], o.digest)
			if err == nil {
				err = c.Read(ctx, g, o.to)
			}
			if err != nil {
				return err
			}
		}
	}
	if st := status.FromProto(resp.Status); st.Code() != codes.OK {
		return fmt.Errorf("not executed: %w", st.Err())
	}
	if err := action.Download(ctx, c, cas.Functions[0], ".", res); err != nil {
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

// Run reads the blob; a file is there only when all of it is.
func (r reapiGet) Run() error {
	g, err := cas.DigestFromString(r.Digest)
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
		return c.Read(ctx, g, os.Stdout)
	}
	f, err := os.CreateTemp(filepath.Dir(r.Output), filepath.Base(r.Output)+".part-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := errors.Join(c.Read(ctx, g, f), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), r.Output)
}
