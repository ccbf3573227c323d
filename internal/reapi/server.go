// Package reapi is the interface for build tools: the Execution service of the
// Remote Execution API. An action becomes a job like any other, through the same
// package, and its answer is what the machine that ran it has kept in the store of
// blobs. Blobs do not pass through controllers: `amberdeal cas` serves those.
package reapi

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// Server serves build tools on one controller.
type Server struct {
	repb.UnimplementedExecutionServer
	repb.UnimplementedCapabilitiesServer

	Admission *admission.Service
	Store     *cas.Client
	Defaults  Defaults
	Log       *slog.Logger
	// Count gives how many tasks of a job run.
	Count func(job string) leader.TaskCount

	watch watchers
}

// GRPC gives the gRPC server, of so many open calls and streams at the most.
func (s *Server) GRPC(calls int) *grpc.Server {
	g := grpc.NewServer(append(cas.LimitCalls(calls), grpc.MaxRecvMsgSize(1<<20))...)
	repb.RegisterExecutionServer(g, s)
	repb.RegisterCapabilitiesServer(g, s)
	healthpb.RegisterHealthServer(g, health.NewServer())
	reflection.Register(g)
	return g
}

// Run keeps those who wait for a job's end told until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return s.watch.run(ctx, s.Admission.View, func(job string) int { return s.Count(job).Running })
}

// GetCapabilities implements the API.
func (s *Server) GetCapabilities(context.Context, *repb.GetCapabilitiesRequest) (*repb.ServerCapabilities, error) {
	return cas.WithVersions(&repb.ServerCapabilities{
		CacheCapabilities: cas.CacheCapabilities(cas.DefaultLimits),
		ExecutionCapabilities: &repb.ExecutionCapabilities{DigestFunction: cas.Functions[0], DigestFunctions: cas.Functions, ExecEnabled: true,
			ExecutionPriorityCapabilities: &repb.PriorityCapabilities{}},
	}), nil
}

// operation names an execution: every controller can tell from it which job it is,
// and of which action.
type operation struct {
	job    string
	action cas.Digest
}

const operationPrefix = "operations"

func (o operation) name() string {
	return strings.Join([]string{operationPrefix, o.action.Function.String(), o.action.String(), o.job}, "/")
}

func parseOperation(name string) (operation, error) {
	bad := status.Errorf(codes.NotFound, "operation %q: not a name that this service gave", name)
	words := strings.Split(name, "/")
	if len(words) != 5 || words[0] != operationPrefix || !wire.ValidJobID(words[4]) {
		return operation{}, bad
	}
	g, err := cas.DigestFromString(words[2] + "/" + words[3])
	if err != nil {
		return operation{}, bad
	}
	g.Function = cas.Function(repb.DigestFunction_Value_value[words[1]])
	return operation{words[4], g}, nil
}

// send tells the stage of an operation.
func (o operation) send(out grpc.ServerStreamingServer[longrunningpb.Operation], stage repb.ExecutionStage_Value, resp *repb.ExecuteResponse) error {
	told := &repb.ExecuteOperationMetadata{Stage: stage, ActionDigest: o.action.Proto(), DigestFunction: o.action.Function}
	if stage != repb.ExecutionStage_COMPLETED { // the logs come once something is written, maybe before this stage is known here
		stdout, stderr := action.LogNames(o.job)
		told.StdoutStreamName, told.StderrStreamName = cas.LogName("", stdout), cas.LogName("", stderr)
	}
	meta, err := anypb.New(told)
	if err != nil {
		return err
	}
	op := &longrunningpb.Operation{Name: o.name(), Metadata: meta}
	if resp != nil {
		packed, err := anypb.New(resp)
		if err != nil {
			return err
		}
		op.Done, op.Result = true, &longrunningpb.Operation_Response{Response: packed}
	}
	return out.Send(op)
}

// Execute implements the API.
func (s *Server) Execute(r *repb.ExecuteRequest, out grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	ctx := out.Context()
	g, err := cas.ParseDigest(r.DigestFunction, r.ActionDigest)
	if err != nil {
		return status.Errorf(codes.InvalidArgument, "action_digest: %v", err)
	}
	blobs := s.Store.ForInstance(r.InstanceName)
	if !r.SkipCacheLookup {
		res, err := blobs.Result(ctx, g)
		switch {
		case err == nil:
			return operation{action.JobID(g, 0), g}.send(out, repb.ExecutionStage_COMPLETED, &repb.ExecuteResponse{Result: res, CachedResult: true, Status: status.New(codes.OK, "").Proto()})
		case status.Code(err) != codes.NotFound:
			return storeUnavailable(err)
		}
	}
	job, cacheable, err := s.newJob(ctx, blobs, r, g)
	if err != nil {
		return err
	}
	op, err := s.submit(ctx, job, g)
	if err != nil {
		return err
	}
	return s.follow(ctx, op, r.InstanceName, cacheable, out)
}

// storeUnavailable is the answer while the store of blobs can't be reached.
func storeUnavailable(err error) error {
	if code := status.Code(err); code == codes.Canceled || code == codes.DeadlineExceeded {
		return err
	}
	return retryStatus(codes.Unavailable, "the store of blobs: "+err.Error(), 2*time.Second)
}

// retryStatus is a status that says when to come back.
func retryStatus(code codes.Code, why string, after time.Duration) error {
	st := status.New(code, why)
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		st = with
	}
	return st.Err()
}

// newJob reads the action and its command and makes a job of them. The machine
// that runs it looks at the rest; here only what must be known to place it is read.
func (s *Server) newJob(ctx context.Context, blobs *cas.Client, r *repb.ExecuteRequest, g cas.Digest) (*wire.Job, bool, error) {
	var a repb.Action
	if err := s.readMessage(ctx, blobs, g, &a); err != nil {
		return nil, false, err
	}
	cg, err := cas.ParseDigest(g.Function, a.CommandDigest)
	if err != nil {
		return nil, false, status.Errorf(codes.InvalidArgument, "command_digest: %v", err)
	}
	rg, err := cas.ParseDigest(g.Function, a.InputRootDigest)
	if err != nil {
		return nil, false, status.Errorf(codes.InvalidArgument, "input_root_digest: %v", err)
	}
	var c repb.Command
	if err := s.readMessage(ctx, blobs, cg, &c); err != nil {
		return nil, false, err
	}
	lost, err := blobs.Missing(ctx, []cas.Digest{rg})
	if err != nil {
		return nil, false, storeUnavailable(err)
	}
	if len(lost) > 0 {
		return nil, false, action.MissingStatus(lost...).Err()
	}
	props := a.GetPlatform().GetProperties()
	if len(props) == 0 {
		//lint:ignore SA1019 clients of versions before 2.2 of the interface send it here
		props = c.GetPlatform().GetProperties()
	}
	job, err := s.Defaults.job(r.InstanceName, props)
	if err != nil {
		return nil, false, err
	}
	if t := a.Timeout.AsDuration(); a.Timeout != nil && t > 0 {
		job.EstimateS = min(job.EstimateS, t.Seconds())
	}
	job.Work = action.NewWork(r.InstanceName, g).Text()
	return job, !a.DoNotCache, nil
}

// readMessage reads a blob that the action names.
func (s *Server) readMessage(ctx context.Context, blobs *cas.Client, g cas.Digest, m proto.Message) error {
	err := blobs.Message(ctx, g, m)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, cas.ErrMalformed):
		return status.Error(codes.InvalidArgument, err.Error())
	}
	for e := err; e != nil; e = errors.Unwrap(e) {
		if status.Code(e) == codes.NotFound {
			return action.MissingStatus(g).Err()
		}
	}
	return storeUnavailable(err)
}

// submit finds the job that executes an action now, or submits one. An action that
// is being executed already is waited for, whoever asked first; one that was
// executed before, and whose result was not to be had, is executed anew.
func (s *Server) submit(ctx context.Context, job *wire.Job, g cas.Digest) (operation, error) {
	// What is over by now must not be taken for running: its answer is from before
	// the client asked.
	if err := s.Admission.Follow.Barrier(ctx); err != nil {
		return operation{}, admissionStatus(fmt.Errorf("%w: %w", admission.ErrRetryLater, err))
	}
	generation, err := s.firstUnfinishedGeneration(ctx, g)
	if err != nil {
		return operation{}, err
	}
	for range 8 {
		job.ID = action.JobID(g, generation)
		rec, created, err := s.Admission.Submit(ctx, job)
		switch {
		case err != nil:
			return operation{}, admissionStatus(err)
		case created, rec.Job != nil && sameAction(rec.Job, g):
			return operation{job.ID, g}, nil
		}
		generation++ // over meanwhile, or another action's
	}
	return operation{}, retryStatus(codes.Unavailable, "the action is executed again and again", time.Second)
}

// sameAction reports whether a job executes an action.
func sameAction(j *wire.Job, g cas.Digest) bool {
	_, other, err := action.ParseWork(j.Work)
	return err == nil && other == g
}

// firstUnfinishedGeneration gives the first that is not over: they are used in order, so that a
// search that doubles and then halves finds it.
func (s *Server) firstUnfinishedGeneration(ctx context.Context, g cas.Digest) (uint64, error) {
	over := func(n uint64) (bool, error) {
		rec, known, err := s.Admission.Find(ctx, action.JobID(g, n))
		return known && rec.Stage.Final(), err
	}
	low, high := uint64(0), uint64(0) // every generation below low is over
	for step := uint64(1); ; step *= 2 {
		is, err := over(high)
		if err != nil {
			return 0, admissionStatus(err)
		}
		if !is {
			break
		}
		low = high + 1
		high = low + step - 1
	}
	for low < high {
		mid := low + (high-low)/2
		is, err := over(mid)
		if err != nil {
			return 0, admissionStatus(err)
		}
		if is {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low, nil
}

// admissionStatus gives what admission says the code that the API has for it.
func admissionStatus(err error) error {
	var never *admission.UnrunnableError
	switch {
	case errors.As(err, &never), errors.Is(err, admission.ErrTooLarge):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, admission.ErrUnknownJob):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, admission.ErrFull):
		return cas.Busy(err.Error(), 2*time.Second)
	case errors.Is(err, admission.ErrCompactionBehind):
		return cas.Busy(err.Error(), 5*time.Second)
	}
	return retryStatus(codes.Unavailable, err.Error(), time.Second)
}

// WaitExecution implements the API, at any controller.
func (s *Server) WaitExecution(r *repb.WaitExecutionRequest, out grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	op, err := parseOperation(r.Name)
	if err != nil {
		return err
	}
	return s.follow(out.Context(), op, "", false, out)
}

// follow tells of an execution until it is over. Whoever leaves, and whoever else
// waits, changes nothing of it.
func (s *Server) follow(ctx context.Context, op operation, instance string, cacheable bool, out grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	news := s.watch.subscribe(op.job)
	defer s.watch.unsubscribe(op.job, news)
	touched := time.Now()
	for told := repb.ExecutionStage_UNKNOWN; ; {
		if time.Since(touched) > retainInterval { // as long as it is waited for, it is not evicted
			s.retainInputs(ctx, op, instance)
			touched = time.Now()
		}
		rec, err := s.Admission.Status(ctx, op.job)
		if errors.Is(err, admission.ErrRetryLater) && ctx.Err() == nil && told != repb.ExecutionStage_UNKNOWN {
			err = nil // the stream stands: what is not known now is told later
			rec.Stage = wire.Pending
		}
		if err != nil {
			return admissionStatus(err)
		}
		if rec.Stage.Final() {
			resp, err := s.answer(ctx, op, rec, instance, cacheable)
			if err != nil {
				return err
			}
			return op.send(out, repb.ExecutionStage_COMPLETED, resp)
		}
		stage := repb.ExecutionStage_QUEUED
		if s.Count(op.job).Running > 0 {
			stage = repb.ExecutionStage_EXECUTING
		}
		if stage != told {
			if err := op.send(out, stage, nil); err != nil {
				return err
			}
			told = stage
		}
		again := time.NewTimer(statusInterval)
		select {
		case <-ctx.Done():
			err = status.FromContextError(ctx.Err()).Err()
		case <-news:
		case <-again.C:
		}
		if again.Stop(); err != nil {
			return err
		}
	}
}

// retainInterval is how often the store of blobs is told that an action is still
// needed.
const retainInterval = 4 * time.Minute

// retainInputs has the blobs kept that an execution needs and has perhaps not read yet.
func (s *Server) retainInputs(ctx context.Context, op operation, instance string) {
	blobs := s.Store.ForInstance(instance)
	var a repb.Action
	err := blobs.Message(ctx, op.action, &a)
	if err == nil {
		var needs []cas.Digest
		for _, p := range []*repb.Digest{a.CommandDigest, a.InputRootDigest} {
			if g, perr := cas.ParseDigest(op.action.Function, p); perr == nil {
				needs = append(needs, g)
			}
		}
		if _, err = blobs.Missing(ctx, needs); err == nil && len(needs) == 2 && !needs[1].Empty() {
			_, err = blobs.Tree(ctx, needs[1])
		}
	}
	if err != nil {
		s.Log.Info("inputs of an action not kept", "job", op.job, "error", err)
	}
}

// statusInterval is how often a stream looks for itself, whatever it is told.
const statusInterval = 15 * time.Second

// evictedMessage tells that an execution is over and its answer is gone.
const evictedMessage = "the answer of the execution is gone: execute the action again"

// answer gives the final answer of an execution that is over, the same to all who
// ask.
func (s *Server) answer(ctx context.Context, op operation, rec store.JobRecord, instance string, cacheable bool) (*repb.ExecuteResponse, error) {
	if rec.Stage == wire.Cancelled {
		return &repb.ExecuteResponse{Status: status.New(codes.Canceled, fmt.Sprintf("job %s was cancelled", op.job)).Proto()}, nil
	}
	resp, err := action.Answer(ctx, s.Store, op.job)
	switch {
	case errors.Is(err, action.ErrNoAnswer):
		// It was evicted: who asks for the action again has it executed anew.
		return nil, retryStatus(codes.Unavailable, evictedMessage, time.Second)
	case err != nil:
		return nil, storeUnavailable(err)
	}
	if cacheable && resp.Status.GetCode() == 0 && resp.Result.GetExitCode() == 0 {
		// Whoever was first has it under an instance of theirs.
		if err := s.Store.ForInstance(instance).PutResult(ctx, op.action, resp.Result); err != nil {
			s.Log.Info("result not kept", "job", op.job, "instance", instance, "error", err)
		}
	}
	return resp, nil
}
