package action

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
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
	Dir    string // holds a temporary directory for each running action
	Worker string // name of the machine, for the execution metadata
	Limits Limits
}

// maxViolations bounds the number of missing blobs that a status lists.
const maxViolations = 1000

// MissingStatus returns the status that the API specifies for an action that needs blobs which are not in the store.
func MissingStatus(digests ...cas.Digest) *status.Status {
	st := status.New(codes.FailedPrecondition, "blobs are missing")
	f := &errdetails.PreconditionFailure{}
	for _, digest := range digests[:min(len(digests), maxViolations)] {
		f.Violations = append(f.Violations, &errdetails.PreconditionFailure_Violation{Type: "MISSING", Subject: "blobs/" + digest.String()})
	}
	if with, err := st.WithDetails(f); err == nil {
		return with
	}
	return st
}

// Run executes the action of a job and stores the response. An error of the action itself is part of the response.
// Run returns an error after a failure of the machine or the store, in which case the action should be retried.
// When the context ends, the command and all processes in its process group are killed.
func (r *Runner) Run(ctx context.Context, job string, w Work, digest cas.Digest) error {
	if _, err := StoredResponse(ctx, r.Store, job); err == nil {
		return nil // launched again after the response was stored
	}
	dir, err := os.MkdirTemp(r.Dir, job+"-*")
	if err != nil {
		return fmt.Errorf("creating a directory for the action: %w", err)
	}
	defer removeAll(dir)
	c := r.Store.ForInstance(w.Instance)
	meta := &repb.ExecutedActionMetadata{Worker: r.Worker, WorkerStartTimestamp: timestamppb.Now()}
	a := &execution{Runner: r, client: c, digest: digest, dir: dir, metadata: meta, job: job}
	result, err := a.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	resp := &repb.ExecuteResponse{Result: result, Status: &spb.Status{}}
	var actionErr *actionError
	switch {
	case errors.As(err, &actionErr) && actionErr.missing != nil:
		resp.Status = MissingStatus(actionErr.missing...).Proto()
	case errors.As(err, &actionErr):
		resp.Status = status.New(actionErr.code, actionErr.message).Proto()
	case err != nil:
		return err
	}
	resp.Message = status.FromProto(resp.Status).Message()
	if result != nil {
		result.ExecutionMetadata = meta
	}
	meta.WorkerCompletedTimestamp = timestamppb.Now()
	if resp.Status.Code == 0 && result.ExitCode == 0 && !a.action.DoNotCache {
		if err := c.PutResult(ctx, digest, result); err != nil {
			return err
		}
	}
	return StoreResponse(ctx, r.Store, job, resp)
}

// removeAll deletes a directory, including subdirectories that the action has made read-only.
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
	client   *cas.Client
	digest   cas.Digest
	dir      string
	metadata *repb.ExecutedActionMetadata
	job      string
	action   repb.Action
	command  repb.Command
}

// run fetches the inputs, runs the command and uploads the outputs.
func (a *execution) run(ctx context.Context) (*repb.ActionResult, error) {
	a.metadata.InputFetchStartTimestamp = timestamppb.Now()
	root, err := a.fetch(ctx)
	if err != nil {
		return nil, fmt.Errorf("fetching the inputs: %w", err)
	}
	a.metadata.InputFetchCompletedTimestamp = timestamppb.Now()
	paths, err := a.outputPaths()
	if err != nil {
		return nil, err
	}
	cwd, err := relativePath("working_directory", a.command.WorkingDirectory)
	if err != nil {
		return nil, err
	}
	cwd = filepath.Join(root, cwd)
	if err := os.MkdirAll(cwd, 0o755); err != nil {
		return nil, fmt.Errorf("creating the working directory: %w", err)
	}
	for _, p := range paths { // the API requires that the parent directories of outputs exist
		if err := os.MkdirAll(filepath.Dir(filepath.Join(cwd, p)), 0o755); err != nil {
			return nil, invalidAction("output %q: %v", p, err)
		}
	}
	a.metadata.ExecutionStartTimestamp = timestamppb.Now()
	code, timedOut, err := a.execute(ctx, cwd)
	a.metadata.ExecutionCompletedTimestamp = timestamppb.Now()
	if err != nil {
		return nil, fmt.Errorf("running the command: %w", err)
	}
	a.metadata.OutputUploadStartTimestamp = timestamppb.Now()
	result, err := a.collect(ctx, root, cwd, paths, code)
	a.metadata.OutputUploadCompletedTimestamp = timestamppb.Now()
	switch {
	case err != nil:
		return result, fmt.Errorf("storing the outputs: %w", err)
	case timedOut:
		return result, &actionError{code: codes.DeadlineExceeded, message: fmt.Sprintf("the command ran longer than its time limit, %v", a.action.Timeout.AsDuration())}
	}
	return result, nil
}

// fetch reads the action and its command, and writes the input tree below the returned root directory.
func (a *execution) fetch(ctx context.Context) (root string, err error) {
	if err := a.client.Message(ctx, a.digest, &a.action); err != nil {
		return "", notFoundAsMissingBlob(err, a.digest)
	}
	commandDigest, err := cas.ParseDigest(a.digest.Function, a.action.CommandDigest)
	if err != nil {
		return "", invalidAction("command_digest: %v", err)
	}
	if err := a.client.Message(ctx, commandDigest, &a.command); err != nil {
		return "", notFoundAsMissingBlob(err, commandDigest)
	}
	rootDigest, err := cas.ParseDigest(a.digest.Function, a.action.InputRootDigest)
	if err != nil {
		return "", invalidAction("input_root_digest: %v", err)
	}
	dirs := make(map[cas.Digest]*repb.Directory)
	if !rootDigest.Empty() {
		if dirs, err = a.client.Tree(ctx, rootDigest); err != nil {
			return "", notFoundAsMissingBlob(err, rootDigest)
		}
	}
	in, err := planInputs(rootDigest, dirs, a.Limits)
	if err != nil {
		return "", err
	}
	root = filepath.Join(a.dir, "root")
	if err := os.MkdirAll(root, 0o755); err != nil {
		return "", err
	}
	return root, in.materialize(ctx, a.client, root)
}

// notFoundAsMissingBlob converts the error for a blob that is malformed or not in the store to an actionError.
func notFoundAsMissingBlob(err error, digest cas.Digest) error {
	if errors.Is(err, cas.ErrMalformed) {
		return invalidAction("%v", err)
	}
	if status.Code(err) == codes.NotFound {
		return missingBlobs(digest)
	}
	return err
}

// outputPaths lists the outputs that the command declares, relative to its working directory.
func (a *execution) outputPaths() ([]string, error) {
	paths := a.command.OutputPaths
	if len(paths) == 0 {
		//lint:ignore SA1019 clients of version 2.0 of the API send only these fields
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

// collect uploads the outputs of the command and returns its result.
func (a *execution) collect(ctx context.Context, root, cwd string, paths []string, code int) (*repb.ActionResult, error) {
	collected := &outputCollector{function: a.digest.Function, limits: a.Limits, result: &repb.ActionResult{ExitCode: int32(code)}, files: map[cas.Digest]string{}, blobs: map[cas.Digest][]byte{}}
	realRoot, err := filepath.EvalSymlinks(root)
	if err != nil {
		return nil, err
	}
	for _, p := range paths {
		file := filepath.Join(cwd, p)
		// The command may have replaced a directory with a symlink that leads out of the root.
		if parent, err := filepath.EvalSymlinks(filepath.Dir(file)); err == nil && parent != realRoot && !strings.HasPrefix(parent, realRoot+"/") {
			return nil, invalidAction("output %q: leads out of the input root", p)
		}
		if err := collected.collect(file, p); err != nil {
			return nil, err
		}
	}
	for name, digestField := range map[string]**repb.Digest{"stdout": &collected.result.StdoutDigest, "stderr": &collected.result.StderrDigest} {
		file := filepath.Join(a.dir, name)
		info, err := os.Stat(file)
		if err != nil {
			return nil, err
		}
		digest, err := collected.file(file, info)
		if err != nil {
			return nil, err
		}
		*digestField = digest.Proto()
	}
	return collected.result, collected.upload(ctx, a.client)
}
