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

// follow sends the stages of an execution until it has completed. An execution is not affected by a client that
// disconnects, nor by the number of clients that wait for it.
func (s *Server) follow(ctx context.Context, op operation, instance string, cacheable bool, stream grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	changed := s.watchers.subscribe(op.job)
	defer s.watchers.unsubscribe(op.job, changed)
	retained := time.Now()
	for sent := repb.ExecutionStage_UNKNOWN; ; {
		if time.Since(retained) > retainInterval {
			s.retainInputs(ctx, op, instance)
			retained = time.Now()
		}
		rec, err := s.status(ctx, op, sent != repb.ExecutionStage_UNKNOWN)
		if err != nil {
			return admissionStatus(err)
		}
		if rec.Stage.Final() {
			return s.sendFinalResponse(ctx, op, rec, instance, cacheable, stream)
		}
		if sent, err = s.sendStage(op, sent, stream); err != nil {
			return err
		}
		if err := awaitChange(ctx, changed); err != nil {
			return err
		}
	}
}

// sendFinalResponse sends the response of an execution that has completed.
func (s *Server) sendFinalResponse(ctx context.Context, op operation, rec store.JobRecord, instance string, cacheable bool, stream grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	resp, err := s.finalResponse(ctx, op, rec, instance, cacheable)
	if err != nil {
		return err
	}
	return op.send(stream, repb.ExecutionStage_COMPLETED, resp)
}

// sendStage sends the stage of an execution that has not completed, unless it is the last stage that was sent. It
// returns the last stage sent.
func (s *Server) sendStage(op operation, last repb.ExecutionStage_Value, stream grpc.ServerStreamingServer[longrunningpb.Operation]) (repb.ExecutionStage_Value, error) {
	stage := s.stage(op)
	if stage == last {
		return last, nil
	}
	return stage, op.send(stream, stage, nil)
}

// status returns the record of an execution's job. While the state can't be read, a job of which a stage was sent
// counts as pending, so that the client is not disconnected.
func (s *Server) status(ctx context.Context, op operation, following bool) (store.JobRecord, error) {
	rec, err := s.Admission.Status(ctx, op.job)
	if following && errors.Is(err, admission.ErrRetryLater) && ctx.Err() == nil {
		rec.Stage = wire.Pending
		return rec, nil
	}
	return rec, err
}

// stage returns the stage of an execution that has not completed.
func (s *Server) stage(op operation) repb.ExecutionStage_Value {
	if s.RunningTasks(op.job) > 0 {
		return repb.ExecutionStage_EXECUTING
	}
	return repb.ExecutionStage_QUEUED
}

// awaitChange waits until a job may have changed. It returns an error only if the context ends.
func awaitChange(ctx context.Context, changed <-chan struct{}) error {
	t := time.NewTimer(statusInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-changed:
	case <-t.C:
	}
	return nil
}

// retainInterval is the time between two calls of retainInputs for a client that waits for an execution. It is far
// less than the retention time of the store.
const retainInterval = 4 * time.Minute

// retainInputs records a use of the blobs that an execution needs, so that the store does not evict them before a
// machine has read them.
func (s *Server) retainInputs(ctx context.Context, op operation, instance string) {
	blobs := s.Store.ForInstance(instance)
	var a repb.Action
	err := blobs.Message(ctx, op.action, &a)
	if err == nil {
		var needed []cas.Digest
		for _, p := range []*repb.Digest{a.CommandDigest, a.InputRootDigest} {
			if digest, parseErr := cas.ParseDigest(op.action.Function, p); parseErr == nil {
				needed = append(needed, digest)
			}
		}
		if _, err = blobs.Missing(ctx, needed); err == nil && len(needed) == 2 && !needed[1].Empty() {
			_, err = blobs.Tree(ctx, needed[1])
		}
	}
	if err != nil {
		s.Log.Info("inputs of an action not kept", "job", op.job, "err", err)
	}
}

// statusInterval is the maximum time between two reads of a job's status, even if no change was notified.
const statusInterval = 15 * time.Second

// evictedMessage is the status message for an execution that has completed but whose response was evicted. Client
// recognizes it.
const evictedMessage = "the answer of the execution is gone: execute the action again"

// finalResponse returns the response of an execution that has completed. It is the same for every client.
func (s *Server) finalResponse(ctx context.Context, op operation, rec store.JobRecord, instance string, cacheable bool) (*repb.ExecuteResponse, error) {
	if rec.Stage == wire.Cancelled {
		return &repb.ExecuteResponse{Status: status.New(codes.Canceled, fmt.Sprintf("job %s was cancelled", op.job)).Proto()}, nil
	}
	resp, err := action.StoredResponse(ctx, s.Store, op.job)
	switch {
	case errors.Is(err, action.ErrResponseNotFound):
		// The response was evicted. A client that requests the action again starts a new execution.
		return nil, unavailable(evictedMessage, time.Second)
	case err != nil:
		return nil, storeUnavailable(err)
	}
	if cacheable && resp.Status.GetCode() == 0 && resp.Result.GetExitCode() == 0 {
		// The client that started the execution may have used another instance name.
		if err := s.Store.ForInstance(instance).PutResult(ctx, op.action, resp.Result); err != nil {
			s.Log.Info("result not kept", "job", op.job, "instance", instance, "err", err)
		}
	}
	return resp, nil
}
