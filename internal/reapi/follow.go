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

// follow reports an execution's stage until it is over. A client that disconnects, and any
// number of others that wait for the same execution, have no influence on it.
func (s *Server) follow(ctx context.Context, op operation, instance string, cacheable bool, out grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	changed := s.watch.subscribe(op.job)
	defer s.watch.unsubscribe(op.job, changed)
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
			return s.sendAnswer(ctx, op, rec, instance, cacheable, out)
		}
		if sent, err = s.sendStage(op, sent, out); err != nil {
			return err
		}
		if err := awaitChange(ctx, changed); err != nil {
			return err
		}
	}
}

// sendAnswer sends the final answer of an execution that is over.
func (s *Server) sendAnswer(ctx context.Context, op operation, rec store.JobRecord, instance string, cacheable bool, out grpc.ServerStreamingServer[longrunningpb.Operation]) error {
	resp, err := s.answer(ctx, op, rec, instance, cacheable)
	if err != nil {
		return err
	}
	return op.send(out, repb.ExecutionStage_COMPLETED, resp)
}

// sendStage sends the stage of an execution that is not over, unless it is the one that was
// sent last. It returns the stage that the client knows.
func (s *Server) sendStage(op operation, last repb.ExecutionStage_Value, out grpc.ServerStreamingServer[longrunningpb.Operation]) (repb.ExecutionStage_Value, error) {
	stage := s.stage(op)
	if stage == last {
		return last, nil
	}
	return stage, op.send(out, stage, nil)
}

// status returns the record of an execution's job. Once a stage has been sent the client is
// not disconnected while the state can't be read: the job then counts as pending.
func (s *Server) status(ctx context.Context, op operation, following bool) (store.JobRecord, error) {
	rec, err := s.Admission.Status(ctx, op.job)
	if following && errors.Is(err, admission.ErrRetryLater) && ctx.Err() == nil {
		rec.Stage = wire.Pending
		return rec, nil
	}
	return rec, err
}

// stage returns the stage of an execution that is not over.
func (s *Server) stage(op operation) repb.ExecutionStage_Value {
	if s.RunningTasks(op.job) > 0 {
		return repb.ExecutionStage_EXECUTING
	}
	return repb.ExecutionStage_QUEUED
}

// awaitChange waits until a job may have changed. The error is that of the context.
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

// retainInterval is the time between two uses of an execution's inputs on behalf of a client
// that waits for it. It is far less than the time after which the store may evict them.
const retainInterval = 4 * time.Minute

// retainInputs uses the blobs that an execution needs, so that the store does not evict them
// before a machine has read them.
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

// statusInterval is the longest time between two reads of a job's status, changed or not.
const statusInterval = 15 * time.Second

// evictedMessage says that an execution is over but its answer was evicted. Clients of this
// package recognize it.
const evictedMessage = "the answer of the execution is gone: execute the action again"

// answer returns the final answer of an execution that is over, the same to every client.
func (s *Server) answer(ctx context.Context, op operation, rec store.JobRecord, instance string, cacheable bool) (*repb.ExecuteResponse, error) {
	if rec.Stage == wire.Cancelled {
		return &repb.ExecuteResponse{Status: status.New(codes.Canceled, fmt.Sprintf("job %s was cancelled", op.job)).Proto()}, nil
	}
	resp, err := action.Answer(ctx, s.Store, op.job)
	switch {
	case errors.Is(err, action.ErrNoAnswer):
		// It was evicted: a client that asks for the action again has it executed anew.
		return nil, unavailable(evictedMessage, time.Second)
	case err != nil:
		return nil, storeUnavailable(err)
	}
	if cacheable && resp.Status.GetCode() == 0 && resp.Result.GetExitCode() == 0 {
		// The first client may have asked for it under another instance.
		if err := s.Store.ForInstance(instance).PutResult(ctx, op.action, resp.Result); err != nil {
			s.Log.Info("result not kept", "job", op.job, "instance", instance, "err", err)
		}
	}
	return resp, nil
}
