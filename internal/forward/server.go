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

// Admission is where jobs are accepted and cancelled here, without forwarding them once more.
type Admission interface {
	SubmitLocally(ctx context.Context, job *wire.Job) (rec store.JobRecord, created bool, err error)
	CancelLocally(ctx context.Context, id string) (store.JobRecord, error)
}

// Server does what peers forward.
type Server struct {
	Admission Admission
	Log       *slog.Logger
}

const (
	// idleTimeout is after how long without a request a stream is closed; the peer opens another.
	idleTimeout = 2 * time.Minute
	// serveTimeout bounds what is done for a request: a little longer than its sender waits, which
	// then does it itself.
	serveTimeout = answerTimeout + 500*time.Millisecond
)

// Serve answers the requests of one stream until it ends. The sender of a request that is not
// answered by then no longer waits.
func (s *Server) Serve(ctx context.Context, from string, c transport.Stream, dec *gob.Decoder) {
	ctx, cancel := context.WithCancel(ctx)
	var open sync.WaitGroup
	defer open.Wait()
	defer c.Close() // before the wait: a peer that takes nothing more must not hold up the answers
	defer cancel()
	c.SetIdle(idleTimeout)
	out := make(chan answer, maxOutstanding)
	reply := func(a answer) {
		select {
		case out <- a:
		case <-ctx.Done():
		}
	}
	open.Go(func() { sendAll(ctx, c, out) })
	room := make(chan struct{}, maxOutstanding)
	for {
		var r request
		if err := dec.Decode(&r); err != nil {
			return
		}
		select {
		case room <- struct{}{}:
		default:
			reply(answer{Number: r.Number, Failure: failedFull})
			continue
		}
		open.Go(func() {
			defer func() { <-room }()
			reply(s.handle(ctx, from, &r))
		})
	}
}

// handle does what one request asks for.
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

// sendAll sends answers on a stream, one at a time, until the context ends. Where that fails it
// closes the stream, so that those who wait do their requests themselves.
func sendAll(ctx context.Context, c transport.Stream, out <-chan answer) {
	enc := gob.NewEncoder(c)
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-out:
			if err := enc.Encode(a); err != nil {
				c.Close()
				return
			}
		}
	}
}
