package reapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/wire"
)

// newJob reads an action and its command. It returns the job that executes the action, and whether the result may be
// cached. It validates only what is needed to place the job, and the machine that runs the job validates the rest.
func (s *Server) newJob(ctx context.Context, blobs *cas.Client, r *repb.ExecuteRequest, digest cas.Digest) (*wire.Job, bool, error) {
	var a repb.Action
	if err := s.readMessage(ctx, blobs, digest, &a); err != nil {
		return nil, false, err
	}
	commandDigest, err := cas.ParseDigest(digest.Function, a.CommandDigest)
	if err != nil {
		return nil, false, status.Errorf(codes.InvalidArgument, "command_digest: %v", err)
	}
	rootDigest, err := cas.ParseDigest(digest.Function, a.InputRootDigest)
	if err != nil {
		return nil, false, status.Errorf(codes.InvalidArgument, "input_root_digest: %v", err)
	}
	var c repb.Command
	if err := s.readMessage(ctx, blobs, commandDigest, &c); err != nil {
		return nil, false, err
	}
	missing, err := blobs.Missing(ctx, []cas.Digest{rootDigest})
	if err != nil {
		return nil, false, storeUnavailable(err)
	}
	if len(missing) > 0 {
		return nil, false, action.MissingStatus(missing...).Err()
	}
	props := a.GetPlatform().GetProperties()
	if len(props) == 0 {
		//lint:ignore SA1019 clients of API versions before 2.2 set the platform in the command
		props = c.GetPlatform().GetProperties()
	}
	job, err := s.Defaults.job(r.InstanceName, props)
	if err != nil {
		return nil, false, err
	}
	if t := a.Timeout.AsDuration(); a.Timeout != nil && t > 0 {
		job.EstimateS = min(job.EstimateS, t.Seconds())
	}
	job.Work = action.NewWork(r.InstanceName, digest).Text()
	return job, !a.DoNotCache, nil
}

// readMessage reads the action or its command, and converts errors to statuses for the client.
func (s *Server) readMessage(ctx context.Context, blobs *cas.Client, digest cas.Digest, m proto.Message) error {
	err := blobs.Message(ctx, digest, m)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, cas.ErrMalformed):
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if status.Code(err) == codes.NotFound {
		return action.MissingStatus(digest).Err()
	}
	return storeUnavailable(err)
}

// maxGenerations is the number of generations of an action's job that one call tries.
const maxGenerations = 8

// submit returns the unfinished job that executes an action, or submits a new one. Clients that request an action
// while it is being executed share the execution. An action is executed again if it was executed before but its
// result was not found.
func (s *Server) submit(ctx context.Context, job *wire.Job, digest cas.Digest) (operation, error) {
	// A job that has already ended must not be mistaken for a running one, because its response would be older
	// than the request.
	if err := s.Admission.Follower.Barrier(ctx); err != nil {
		return operation{}, admissionStatus(fmt.Errorf("%w: %w", admission.ErrRetryLater, err))
	}
	generation, err := s.firstUnfinishedGeneration(ctx, digest)
	if err != nil {
		return operation{}, err
	}
	for range maxGenerations {
		job.ID = action.JobID(digest, generation)
		rec, created, err := s.Admission.Submit(ctx, job)
		switch {
		case err != nil:
			return operation{}, admissionStatus(err)
		case created, rec.Job != nil && sameAction(rec.Job, digest):
			return operation{job.ID, digest}, nil
		}
		generation++ // the job ended meanwhile, or belongs to another action whose job id collides
	}
	return operation{}, unavailable("the action is executed again and again", time.Second)
}

// sameAction reports whether a job executes an action.
func sameAction(j *wire.Job, digest cas.Digest) bool {
	_, other, err := action.ParseWork(j.Work)
	return err == nil && other == digest
}

// firstUnfinishedGeneration returns the first generation of an action's job that has not ended. Since generations are
// used in order, it is found by an exponential search followed by a binary search.
func (s *Server) firstUnfinishedGeneration(ctx context.Context, digest cas.Digest) (uint64, error) {
	low, high := uint64(0), uint64(0) // every generation below low has ended
	for stride := uint64(1); ; stride *= 2 {
		ended, err := s.ended(ctx, action.JobID(digest, high))
		if err != nil {
			return 0, err
		}
		if !ended {
			break
		}
		low = high + 1
		high = low + stride - 1
	}
	for low < high {
		mid := low + (high-low)/2
		ended, err := s.ended(ctx, action.JobID(digest, mid))
		if err != nil {
			return 0, err
		}
		if ended {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low, nil
}

// ended reports whether a job is known and has ended.
func (s *Server) ended(ctx context.Context, job string) (bool, error) {
	rec, known, err := s.Admission.Find(ctx, job)
	if err != nil {
		return false, admissionStatus(err)
	}
	return known && rec.Stage.Final(), nil
}
