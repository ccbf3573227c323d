package user

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// TestPaths checks that a request with a path or method that the API does not have is rejected without a call to the
// admission service, and that the load balancer learns whether users can be served.
func TestPaths(t *testing.T) {
	ready := true
	api := &API{Log: slog.New(slog.DiscardHandler), Ready: func() bool { return ready }, StoreUnreachable: func() bool { return false }}
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", wire.PathReady, 200},
		{"POST", wire.PathReady, 405},
		{"GET", "/", 404},
		{"GET", wire.PathJobs, 405},
		{"POST", wire.PathJobs + "x", 404},
		{"GET", wire.PathJobs + "/wk-1/other", 404},
		{"POST", wire.PathJobs + "/wk-1", 405},
		{"GET", wire.PathJobs + "/wk-1/" + wire.CancelPathSuffix, 405},
		{"POST", wire.PathJobs + "/wk-1/" + wire.WorkPathSuffix, 405},
		{"GET", wire.PathJobs + "/job-1", 404},
		{"POST", wire.PathJobs, 400}, // without a job
	} {
		resp := api.Handle(context.Background(), &httpwire.Request{Method: c.method, Path: c.path})
		if resp.Status != c.status {
			t.Errorf("%s %s: status %d, not %d", c.method, c.path, resp.Status, c.status)
		}
	}
	ready = false
	if resp := api.Handle(context.Background(), &httpwire.Request{Method: "GET", Path: wire.PathReady}); resp.Status != 503 || resp.RetryAfter != time.Second {
		t.Errorf("not ready: status %d, retry after %v", resp.Status, resp.RetryAfter)
	}
}

// TestResponses checks the status code for each result of the admission service, when the user should retry, and
// whether the connection is closed so that the retry may reach another controller.
func TestResponses(t *testing.T) {
	ready := true
	api := &API{Log: slog.New(slog.DiscardHandler), Ready: func() bool { return ready }, CountTasks: func(string) (running, done int) { return 2, 1 }}
	for _, c := range []struct {
		err    error
		ready  bool
		status int
		retry  time.Duration
		close  bool
	}{
		{nil, true, 200, 0, false},
		{admission.ErrUnknownJob, true, 404, 0, false},
		{admission.ErrJobTooLarge, true, 422, 0, false},
		{admission.ErrQueueFull, true, 429, 2 * time.Second, false},
		{admission.ErrCompactionBehind, true, 503, 5 * time.Second, false},
		{admission.ErrHistoryUnavailable, true, 503, time.Second, true},
		{admission.ErrRetryLater, true, 503, time.Second, false},
		{admission.ErrRetryLater, false, 503, time.Second, true},
	} {
		ready = c.ready
		resp := api.respond(200, "wk-1", store.JobRecord{}, c.err)
		if resp.Status != c.status || resp.RetryAfter != c.retry || resp.Close != c.close {
			t.Errorf("%v: status %d, retry after %v, close: %v", c.err, resp.Status, resp.RetryAfter, resp.Close)
		}
	}
	for stage, want := range map[wire.Stage]wire.JobStatus{
		wire.Pending:   {ID: "wk-1", Stage: wire.Running, Running: 2, Done: 1},
		wire.Done:      {ID: "wk-1", Stage: wire.Done, Done: 4},
		wire.Cancelled: {ID: "wk-1", Stage: wire.Cancelled},
	} {
		var got wire.JobStatus
		resp := api.respond(200, "wk-1", store.JobRecord{Stage: stage, Tasks: 4}, nil)
		if err := wire.Decode(resp.Body, &got); err != nil || got != want {
			t.Errorf("%s: %+v, %v, not %+v", stage, got, err, want)
		}
	}
}
