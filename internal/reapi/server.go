// Package reapi implements the Execution service of the Remote Execution API, for build tools. An action becomes a
// job, which is submitted through package admission like any other. The machine that executes the job stores the
// response in the content-addressable store. Blobs do not pass through controllers. They are served by the command
// `amberdeal cas`.
package reapi

import (
	"context"
	"log/slog"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/cas"
)

// Server implements the Execution and Capabilities services on one controller.
type Server struct {
	repb.UnimplementedExecutionServer
	repb.UnimplementedCapabilitiesServer

	Admission *admission.Service
	Store     *cas.Client
	Defaults  Defaults
	Log       *slog.Logger
	// RunningTasks returns the number of running tasks of a job.
	RunningTasks func(job string) int

	watchers jobWatchers
}

// GRPC returns a gRPC server for s. The number of open calls and streams is limited to calls.
func (s *Server) GRPC(calls int) *grpc.Server {
	server := grpc.NewServer(append(cas.LimitCalls(calls), grpc.MaxRecvMsgSize(1<<20))...)
	repb.RegisterExecutionServer(server, s)
	repb.RegisterCapabilitiesServer(server, s)
	healthpb.RegisterHealthServer(server, health.NewServer())
	reflection.Register(server)
	return server
}

// Run notifies the streams that follow executions until the context ends.
func (s *Server) Run(ctx context.Context) error {
	return s.watchers.run(ctx, s.Admission.View, s.RunningTasks)
}

// GetCapabilities implements the Capabilities service.
func (s *Server) GetCapabilities(context.Context, *repb.GetCapabilitiesRequest) (*repb.ServerCapabilities, error) {
	return cas.WithVersions(&repb.ServerCapabilities{
		CacheCapabilities: cas.CacheCapabilities(cas.DefaultLimits),
		ExecutionCapabilities: &repb.ExecutionCapabilities{DigestFunction: cas.DigestFunctions[0], DigestFunctions: cas.DigestFunctions, ExecEnabled: true,
			ExecutionPriorityCapabilities: &repb.PriorityCapabilities{}},
	}), nil
}

// Execute implements the Execution service.
func (s *Server) Execute(r *repb.ExecuteRequest, stream grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	ctx := stream.Context()
	digest, err := cas.ParseDigest(r.DigestFunction, r.ActionDigest)
	if err != nil {
		return status.Errorf(codes.InvalidArgument, "action_digest: %v", err)
	}
	blobs := s.Store.ForInstance(r.InstanceName)
	if !r.SkipCacheLookup {
		res, err := blobs.Result(ctx, digest)
		switch {
		case err == nil:
			return operation{action.JobID(digest, 0), digest}.send(stream, repb.ExecutionStage_COMPLETED, &repb.ExecuteResponse{Result: res, CachedResult: true, Status: status.New(codes.OK, "").Proto()})
		case status.Code(err) != codes.NotFound:
			return storeUnavailable(err)
		}
	}
	job, cacheable, err := s.newJob(ctx, blobs, r, digest)
	if err != nil {
		return err
	}
	op, err := s.submit(ctx, job, digest)
	if err != nil {
		return err
	}
	return s.follow(ctx, op, r.InstanceName, cacheable, stream)
}

// WaitExecution implements the Execution service. Any controller can serve it.
func (s *Server) WaitExecution(r *repb.WaitExecutionRequest, stream grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	op, err := parseOperation(r.Name)
	if err != nil {
		return err
	}
	return s.follow(stream.Context(), op, "", false, stream)
}
