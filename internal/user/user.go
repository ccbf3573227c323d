// Package user serves the users: submissions, status queries and cancellations over HTTP, on every
// controller, whichever leads a shard.
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

// statusTimeout bounds how long the answer to a status query may take: a user waits 2 s for it.
const statusTimeout = 1700 * time.Millisecond

// When a user is to come back.
const (
	defaultRetryDelay    = time.Second     // to this controller or another
	fullRetryDelay       = 2 * time.Second // once some jobs are over
	compactionRetryDelay = 5 * time.Second // once compaction has caught up
)

// API answers users' requests.
type API struct {
	Admission *admission.Service
	Log       *slog.Logger
	// CountTasks gives how many tasks of a job run and are done, for display.
	CountTasks func(job string) (running, done int)
	// Ready reports whether users can be served here.
	Ready func() bool
	// StoreUnreachable reports that the state service has been out of reach here for a while, and
	// that other controllers may reach it.
	StoreUnreachable func() bool
}

// Handle answers one request of a user or of the load balancer.
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
	id, word, more := strings.Cut(rest[1:], "/")
	return a.handleJob(ctx, req.Method, id, word, more)
}

// ready answers the load balancer.
func (a *API) readiness(req *httpwire.Request) *httpwire.Response {
	if req.Method != http.MethodGet {
		return errorResponse(http.StatusMethodNotAllowed, "use GET")
	}
	if !a.Ready() {
		return unavailableResponse()
	}
	return &httpwire.Response{Status: http.StatusOK}
}

// handleJob answers a request for one job. more tells that its path goes on after the ID, with word.
func (a *API) handleJob(ctx context.Context, method, id, word string, more bool) *httpwire.Response {
	if more && word != wire.CancelWord && word != wire.WorkWord {
		return errorResponse(http.StatusNotFound, "no such path")
	}
	want := http.MethodGet
	if word == wire.CancelWord {
		want = http.MethodPost
	}
	switch {
	case method != want:
		return errorResponse(http.StatusMethodNotAllowed, "wrong method")
	case !wire.ValidJobID(id):
		return errorResponse(http.StatusNotFound, "no such job")
	case word == wire.CancelWord:
		return a.cancel(ctx, id)
	case word == wire.WorkWord:
		return a.jobDescription(ctx, id)
	}
	return a.status(ctx, id)
}

// withoutStoreIfUnreachable cancels the context at once while the state service is out of reach: what
// memory tells for good is still answered, and for the rest the user asks another controller the
// sooner.
func (a *API) withoutStoreIfUnreachable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if a.StoreUnreachable() {
		cancel()
	}
	return ctx, cancel
}

// status answers a status query.
func (a *API) status(ctx context.Context, id string) *httpwire.Response {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	rec, err := a.Admission.Status(ctx, id)
	return a.respond(http.StatusOK, id, rec, err)
}

// submit accepts a job.
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

// rejectMalformed refuses a submission that is malformed, unless it names a job that was accepted:
// whatever else such a repetition says, the job is known.
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

// cancel cancels a job.
func (a *API) cancel(ctx context.Context, id string) *httpwire.Response {
	rec, err := a.Admission.Cancel(ctx, id)
	return a.respond(http.StatusOK, id, rec, err)
}

// work tells a machine what the tasks of an unfinished job do: the whole description. Of a job that
// is over it is gone.
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

// respond answers a user by what became of a call of the admission service.
func (a *API) respond(code int, id string, rec store.JobRecord, err error) *httpwire.Response {
	var unrunnable *admission.UnrunnableError
	switch {
	case err == nil:
		return a.statusResponse(code, id, rec)
	case errors.Is(err, admission.ErrUnknownJob):
		return errorResponse(http.StatusNotFound, err.Error())
	case errors.As(err, &unrunnable), errors.Is(err, admission.ErrTooLarge):
		return errorResponse(http.StatusUnprocessableEntity, err.Error())
	}
	a.Log.Info("request not served", "job", id, "err", err)
	return a.retryResponse(err)
}

// retryResponse tells a user to come back, to this controller or to another.
func (a *API) retryResponse(err error) *httpwire.Response {
	resp := unavailableResponse()
	switch {
	case errors.Is(err, admission.ErrFull):
		resp = errorResponse(http.StatusTooManyRequests, err.Error())
		resp.RetryAfter = fullRetryDelay
	case errors.Is(err, admission.ErrCompactionBehind):
		resp.RetryAfter = compactionRetryDelay
	case errors.Is(err, admission.ErrHistoryUnavailable):
		resp.Close = true // the connection would keep its user here, query after query
	case !a.Ready():
		resp.Close = true // likewise; the load balancer brings the user to another controller
	}
	return resp
}

// statusResponse gives the status of a job.
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

// unavailable answers that the request can't be served now, and when to come back.
func unavailableResponse() *httpwire.Response {
	resp := errorResponse(http.StatusServiceUnavailable, admission.ErrRetryLater.Error())
	resp.RetryAfter = defaultRetryDelay
	return resp
}

// failure answers why a request is not served.
func errorResponse(status int, why string) *httpwire.Response {
	return &httpwire.Response{Status: status, Body: wire.Encode(wire.Failure{Error: why})}
}
