// Package user serves the users: submissions, questions and cancellations over
// HTTP, on every controller, whoever holds the fleet.
package user

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/leader"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// statusTimeout bounds how long an answer to a question may take: a user waits 2 s
// for it.
const statusTimeout = 1700 * time.Millisecond

// API answers users.
type API struct {
	Admission *admission.Service
	Log       *slog.Logger
	// Count gives how many tasks of a job run and are done, for display.
	Count func(job string) leader.TaskCount
	// Ready says whether users can be served here.
	Ready func() bool
	// StoreUnreachable says that the state service has been out of reach here for a while, and others may
	// reach it.
	StoreUnreachable func() bool
}

// unavailable answers that the request can't be served, and when to come back.
func unavailable() *httpwire.Response {
	return &httpwire.Response{Status: 503, RetryAfter: time.Second, Body: wire.Encode(wire.Failure{Error: admission.ErrRetryLater.Error()})}
}

func failure(status int, why string) *httpwire.Response {
	return &httpwire.Response{Status: status, Body: wire.Encode(wire.Failure{Error: why})}
}

// Handle answers one request of a user or of the load balancer.
func (d *API) Handle(ctx context.Context, req *httpwire.Request) *httpwire.Response {
	switch rest, ok := strings.CutPrefix(req.Path, wire.PathJobs); {
	case req.Path == wire.PathReady:
		if req.Method != "GET" {
			return failure(405, "use GET")
		}
		if !d.Ready() {
			return unavailable()
		}
		return &httpwire.Response{Status: 200}
	case !ok:
		return failure(404, "no such path")
	case rest == "":
		if req.Method != "POST" {
			return failure(405, "use POST")
		}
		ctx, cancel := d.withoutStoreIfUnreachable(ctx)
		defer cancel()
		return d.Submit(ctx, req.Body)
	case rest[0] != '/':
		return failure(404, "no such path")
	default:
		ctx, cancel := d.withoutStoreIfUnreachable(ctx)
		defer cancel()
		id, word, more := strings.Cut(rest[1:], "/")
		switch {
		case more && word != wire.CancelWord && word != wire.WorkWord:
			return failure(404, "no such path")
		case word == wire.CancelWord && req.Method != "POST", word != wire.CancelWord && req.Method != "GET":
			return failure(405, "wrong method")
		case !wire.ValidJobID(id):
			return failure(404, "no such job")
		case word == wire.CancelWord:
			return d.Cancel(ctx, id)
		case word == wire.WorkWord:
			return d.Work(ctx, id)
		}
		return d.Status(ctx, id)
	}
}

// withoutStoreIfUnreachable ends the context at once where waiting for the state service is in vain: what memory
// tells for ever is answered, and for the rest another controller is asked the sooner.
func (d *API) withoutStoreIfUnreachable(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if d.StoreUnreachable() {
		cancel()
	}
	return ctx, cancel
}

// statusResponse gives the answer about a job that the view knows.
func (d *API) statusResponse(code int, id string, rec store.JobRecord) *httpwire.Response {
	s := wire.JobStatus{ID: id, Stage: rec.Stage}
	if !rec.Stage.Final() {
		c := d.Count(id)
		s.Stage, s.Running, s.Done = wire.Pending, c.Running, c.Done
		if s.Running > 0 {
			s.Stage = wire.Running
		}
	} else if rec.Stage == wire.Done {
		s.Done = rec.Tasks
	}
	return &httpwire.Response{Status: code, Body: wire.Encode(s)}
}

// Status answers a question.
func (d *API) Status(ctx context.Context, id string) *httpwire.Response {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	rec, err := d.Admission.Status(ctx, id)
	return d.respond(200, id, rec, err)
}

// Submit accepts a job.
func (d *API) Submit(ctx context.Context, body []byte) *httpwire.Response {
	job, err := wire.DecodeJob(body)
	if err != nil {
		return d.rejectMalformed(ctx, body, err)
	}
	rec, created, err := d.Admission.Submit(ctx, job)
	code := 200
	if created {
		code = 201
	}
	return d.respond(code, job.ID, rec, err)
}

// rejectMalformed refuses a submission that is not understood, unless it names a job that was accepted:
// whatever else such a repeat says, the job is known.
func (d *API) rejectMalformed(ctx context.Context, body []byte, why error) *httpwire.Response {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout) // the state service may not answer at all
	defer cancel()
	if id := wire.SubmittedID(body); id != "" {
		if rec, err := d.Admission.Status(ctx, id); !errors.Is(err, admission.ErrUnknownJob) {
			return d.respond(200, id, rec, err)
		}
	}
	return failure(400, why.Error())
}

// Cancel cancels a job.
func (d *API) Cancel(ctx context.Context, id string) *httpwire.Response {
	rec, err := d.Admission.Cancel(ctx, id)
	return d.respond(200, id, rec, err)
}

// Work tells a machine what the tasks of a live job do: the whole description.
// Of a job that is over it is gone.
func (d *API) Work(ctx context.Context, id string) *httpwire.Response {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	rec, err := d.Admission.Status(ctx, id)
	switch {
	case err != nil:
		return d.respond(200, id, rec, err)
	case rec.Job == nil:
		return failure(410, "the job is over")
	}
	return &httpwire.Response{Status: 200, Body: wire.Encode(rec.Job)}
}

// respond turns what became of a call into a response.
func (d *API) respond(code int, id string, rec store.JobRecord, err error) *httpwire.Response {
	var never *admission.UnrunnableError
	switch {
	case err == nil:
		return d.statusResponse(code, id, rec)
	case errors.Is(err, admission.ErrUnknownJob):
		return failure(404, err.Error())
	case errors.As(err, &never), errors.Is(err, admission.ErrTooLarge):
		return failure(422, err.Error())
	}
	d.Log.Info("not served", "job", id, "error", err)
	resp := unavailable()
	switch {
	case errors.Is(err, admission.ErrFull):
		resp = failure(429, err.Error())
		resp.RetryAfter = 2 * time.Second
	case errors.Is(err, admission.ErrCompactionBehind):
		resp.RetryAfter = 5 * time.Second
	case errors.Is(err, admission.ErrHistoryUnavailable):
		resp.Close = true // it would keep its user here, question after question
	case !d.Ready():
		resp.Close = true // as above; the load balancer brings its user to another
	}
	return resp
}
