package reapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

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
