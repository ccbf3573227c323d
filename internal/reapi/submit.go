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
