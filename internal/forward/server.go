package forward

import (
	"context"
	"encoding/gob"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Admission accepts and cancels jobs on this controller, without forwarding them again.
type Admission interface {
	SubmitLocally(ctx context.Context, job *wire.Job) (rec store.JobRecord, created bool, err error)
	CancelLocally(ctx context.Context, id string) (store.JobRecord, error)
}

// Server handles the requests that peers forward.
type Server struct {
	Admission Admission
	Log       *slog.Logger
}

const (
	// idleTimeout is the time without a request after which a stream is closed; the peer opens a new
	// one when it needs it.
	idleTimeout = 2 * time.Minute
	// serveTimeout limits the handling of a request. It is slightly longer than the time for which the
	// sender waits before it handles the request itself.
	serveTimeout = answerTimeout + 500*time.Millisecond
)

// Serve answers the requests on one stream until the stream ends. The sender no longer waits for
// answers that are outstanding then.
func (s *Server) Serve(ctx context.Context, from string, c transport.Stream, dec *gob.Decoder) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer c.Close() // runs before the wait, so that a peer that stops reading can't block sendAll
	defer cancel()
	c.SetIdleTimeout(idleTimeout)
	answers := make(chan answer, maxOutstanding)
	reply := func(a answer) {
		select {
		case answers <- a:
		case <-ctx.Done():
		}
	}
	running.Go(func() { sendAll(ctx, c, answers) })
	slots := make(chan struct{}, maxOutstanding)
	for {
		var r request
		if err := dec.Decode(&r); err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			reply(answer{Number: r.Number, Failure: failedFull})
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			reply(s.handle(ctx, from, &r))
		})
	}
}

// handle executes one request and returns its answer.
func (s *Server) handle(ctx context.Context, from string, r *request) answer {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	switch r.Verb {
	case Submit:
		job, err := wire.DecodeJob(r.Job)
		if err != nil {
			s.Log.Warn("forwarded job not understood", "peer", from, "job", r.ID, "err", err)
			return answer{Number: r.Number, Failure: failedNotUnderstood}
		}
		rec, created, err := s.Admission.SubmitLocally(ctx, job)
		return newAnswer(r.Number, rec, created, err)
	case Cancel:
		rec, err := s.Admission.CancelLocally(ctx, r.ID)
		return newAnswer(r.Number, rec, false, err)
	}
	s.Log.Warn("forwarded request not understood", "peer", from, "verb", r.Verb)
	return answer{Number: r.Number, Failure: failedNotUnderstood}
}

// sendAll sends answers on a stream, one at a time, until the context ends. If sending fails, it closes
// the stream, so that the peer handles the requests that wait for answers itself.
func sendAll(ctx context.Context, c transport.Stream, answers <-chan answer) {
	enc := gob.NewEncoder(c)
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-answers:
			if err := enc.Encode(a); err != nil {
				c.Close()
				return
			}
		}
	}
}
