// Package user implements the HTTP API for users: submissions, status queries and cancellations. Every
// controller serves it, whichever controllers lead the shards.
package user

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// statusTimeout limits how long the response to a status query may take: a user waits 2 s for it.
const statusTimeout = 1700 * time.Millisecond

// How long a user should wait before retrying.
const (
	defaultRetryDelay    = time.Second     // at this controller or another
	fullRetryDelay       = 2 * time.Second // some jobs should have ended by then
	compactionRetryDelay = 5 * time.Second // compaction should have caught up by then
)

// API handles users' requests.
type API struct {
	Admission *admission.Service
	Log       *slog.Logger
	// CountTasks returns how many tasks of a job are running and done, for display.
	CountTasks func(job string) (running, done int)
	// Ready reports whether this controller can serve users.
	Ready func() bool
	// StoreUnreachable reports whether this controller has been unable to reach the state service for a
	// while, and other controllers may reach it.
	StoreUnreachable func() bool
}

// Handle handles one request from a user or from the load balancer.
func (a *API) Handle(ctx context.Context, req *httpwire.Request) *httpwire.Response {
	if req.Path == wire.PathReady {
		return a.readiness(req)
	}
	rest, ok := strings.CutPrefix(req.Path, wire.PathJobs)
	switch {
	case !ok, rest != "" && rest[0] != '/':
		return errorResponse(http.StatusNotFound, "no such path")
	case rest == "" && req.Method != http.MethodPost:
		return errorResponse(http.StatusMethodNotAllowed, "use POST")
	}
	ctx, cancel := a.withoutStoreIfUnreachable(ctx)
	defer cancel()
	if rest == "" {
		return a.submit(ctx, req.Body)
	}
	id, action, hasAction := strings.Cut(rest[1:], "/")
	return a.handleJob(ctx, req.Method, id, action, hasAction)
}

// readiness answers the health check of the load balancer.
func (a *API) readiness(req *httpwire.Request) *httpwire.Response {
	if req.Method != http.MethodGet {
		return errorResponse(http.StatusMethodNotAllowed, "use GET")
	}
	if !a.Ready() {
		return unavailableResponse()
	}
	return &httpwire.Response{Status: http.StatusOK}
}

// handleJob handles a request for one job. hasAction tells that its path continues after the ID, with action.
func (a *API) handleJob(ctx context.Context, method, id, action string, hasAction bool) *httpwire.Response {
	if hasAction && action != wire.CancelPathSuffix && action != wire.WorkPathSuffix {
		return errorResponse(http.StatusNotFound, "no such path")
	}
	want := http.MethodGet
	if action == wire.CancelPathSuffix {
		want = http.MethodPost
	}
	switch {
	case method != want:
		return errorResponse(http.StatusMethodNotAllowed, "wrong method")
	case !wire.ValidJobID(id):
		return errorResponse(http.StatusNotFound, "no such job")
	case action == wire.CancelPathSuffix:
		return a.cancel(ctx, id)
	case action == wire.WorkPathSuffix:
		return a.jobDescription(ctx, id)
	}
	return a.status(ctx, id)
}

// withoutStoreIfUnreachable returns a context that is already cancelled while the state service is
// unreachable. Requests that need only final data in memory are still answered; for all others the user
// gets to retry at another controller sooner.
func (a *API) withoutStoreIfUnreachable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if a.StoreUnreachable() {
		cancel()
	}
	return ctx, cancel
}

// status handles a status query.
func (a *API) status(ctx context.Context, id string) *httpwire.Response {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	rec, err := a.Admission.Status(ctx, id)
	return a.respond(http.StatusOK, id, rec, err)
}

// submit handles the submission of a job.
func (a *API) submit(ctx context.Context, body []byte) *httpwire.Response {
	job, err := wire.DecodeJob(body)
	if err != nil {
		return a.rejectMalformed(ctx, body, err)
	}
	rec, created, err := a.Admission.Submit(ctx, job)
	code := http.StatusOK
	if created {
		code = http.StatusCreated
	}
	return a.respond(code, job.ID, rec, err)
}

// rejectMalformed rejects a malformed submission, unless it names a job that was accepted before: whatever
// else such a repeated submission contains, it is answered with the job's status.
func (a *API) rejectMalformed(ctx context.Context, body []byte, cause error) *httpwire.Response {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout) // the state service may not answer at all
	defer cancel()
	if id := wire.SubmittedID(body); id != "" {
		if rec, err := a.Admission.Status(ctx, id); !errors.Is(err, admission.ErrUnknownJob) {
			return a.respond(http.StatusOK, id, rec, err)
		}
	}
	return errorResponse(http.StatusBadRequest, cause.Error())
}

// cancel handles the cancellation of a job.
func (a *API) cancel(ctx context.Context, id string) *httpwire.Response {
	rec, err := a.Admission.Cancel(ctx, id)
	return a.respond(http.StatusOK, id, rec, err)
}

// jobDescription answers a machine with the full description of an unfinished job, which tells what its
// tasks do. The description of an ended job is no longer available.
func (a *API) jobDescription(ctx context.Context, id string) *httpwire.Response {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	rec, err := a.Admission.Status(ctx, id)
	switch {
	case err != nil:
		return a.respond(http.StatusOK, id, rec, err)
	case rec.Job == nil:
		return errorResponse(http.StatusGone, "the job is over")
	}
	return &httpwire.Response{Status: http.StatusOK, Body: wire.Encode(rec.Job)}
}

// respond returns the response for the result of a call to the admission service.
func (a *API) respond(code int, id string, rec store.JobRecord, err error) *httpwire.Response {
	var unrunnable *admission.UnrunnableError
	switch {
	case err == nil:
		return a.statusResponse(code, id, rec)
	case errors.Is(err, admission.ErrUnknownJob):
		return errorResponse(http.StatusNotFound, err.Error())
	case errors.As(err, &unrunnable), errors.Is(err, admission.ErrJobTooLarge):
		return errorResponse(http.StatusUnprocessableEntity, err.Error())
	}
	a.Log.Info("request not served", "job", id, "err", err)
	return a.retryResponse(err)
}

// retryResponse returns a response that tells a user to retry, at this controller or at another.
func (a *API) retryResponse(err error) *httpwire.Response {
	resp := unavailableResponse()
	switch {
	case errors.Is(err, admission.ErrQueueFull):
		resp = errorResponse(http.StatusTooManyRequests, err.Error())
		resp.RetryAfter = fullRetryDelay
	case errors.Is(err, admission.ErrCompactionBehind):
		resp.RetryAfter = compactionRetryDelay
	case errors.Is(err, admission.ErrHistoryUnavailable):
		resp.Close = true // a connection that stays open would keep the user at this controller for every further query
	case !a.Ready():
		resp.Close = true // likewise; the load balancer routes the user to another controller
	}
	return resp
}

// statusResponse returns the response with the status of a job.
func (a *API) statusResponse(code int, id string, rec store.JobRecord) *httpwire.Response {
	s := wire.JobStatus{ID: id, Stage: rec.Stage}
	switch {
	case !rec.Stage.Final():
		s.Stage = wire.Pending
		s.Running, s.Done = a.CountTasks(id)
		if s.Running > 0 {
			s.Stage = wire.Running
		}
	case rec.Stage == wire.Done:
		s.Done = rec.Tasks
	}
	return &httpwire.Response{Status: code, Body: wire.Encode(s)}
}

// unavailableResponse returns a response that the request cannot be served now, with the time to wait before a retry.
func unavailableResponse() *httpwire.Response {
	resp := errorResponse(http.StatusServiceUnavailable, admission.ErrRetryLater.Error())
	resp.RetryAfter = defaultRetryDelay
	return resp
}

// errorResponse returns a response with the reason why a request is not served.
func errorResponse(status int, reason string) *httpwire.Response {
	return &httpwire.Response{Status: status, Body: wire.Encode(wire.Failure{Error: reason})}
}
