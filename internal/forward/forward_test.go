package forward

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/admission"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// pipeStream is the accepting end of an in-memory connection.
type pipeStream struct{ net.Conn }

func (pipeStream) SetIdleTimeout(time.Duration) {}

// answerFunc answers a request for the job with the given ID.
type answerFunc func(ctx context.Context, id string) (store.JobRecord, bool, error)

// fakeAdmission records requests and answers them with answer. A test may replace answer while a
// request whose client has given up is still being served.
type fakeAdmission struct {
	mu       sync.Mutex
	requests []string
	answer   answerFunc
}

// setAnswer sets how later requests are answered.
func (w *fakeAdmission) setAnswer(answer answerFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer = answer
}

// record records a request and returns the function that answers it.
func (w *fakeAdmission) record(request string) answerFunc {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, request)
	return w.answer
}

func (w *fakeAdmission) SubmitLocally(ctx context.Context, job *wire.Job) (store.JobRecord, bool, error) {
	return w.record("submit "+job.ID)(ctx, job.ID)
}

func (w *fakeAdmission) CancelLocally(ctx context.Context, id string) (store.JobRecord, error) {
	rec, _, err := w.record("cancel "+id)(ctx, id)
	return rec, err
}

// fixture is a client and the server of a peer, connected in memory.
type fixture struct {
	*Client
	writer            *fakeAdmission
	opened            int
	refuseConnections bool     // OpenStream fails
	writerConn        net.Conn // the writer's end of the latest connection
}

func newFixture(t *testing.T) *fixture {
	log := slog.New(slog.DiscardHandler)
	f := &fixture{writer: &fakeAdmission{}}
	ctx, stop := context.WithCancel(t.Context())
	server := &Server{Admission: f.writer, Log: log}
	f.Client = &Client{Log: log, Writer: func(_ string, avoid func(string) bool) string {
		if avoid("c-1") {
			return ""
		}
		return "c-1"
	}, OpenStream: func(context.Context, string, string) (net.Conn, *gob.Encoder, error) {
		f.opened++
		if f.refuseConnections {
			return nil, nil, errors.New("refused")
		}
		clientConn, serverConn := net.Pipe()
		f.writerConn = serverConn
		go func() {
			defer serverConn.Close()
			server.Serve(ctx, "c-0", pipeStream{serverConn}, gob.NewDecoder(serverConn))
		}()
		return clientConn, gob.NewEncoder(clientConn), nil
	}}
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
		if f.writerConn != nil {
			f.writerConn.Close()
		}
	})
	return f
}

func newJob(id string) *wire.Job {
	return &wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "img", EstimateS: 1, Work: "do this"}
}

// TestAnswersReachSender checks that records and errors of the writer reach the forwarding controller
// unchanged, on a single stream.
func TestAnswersReachSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		rec := store.JobRecord{Stage: wire.Pending, Tasks: 3, Created: 77, Job: newJob("wk-1"), Ranges: []store.ShardRange{{From: 0, To: 3, Shard: "a"}}}
		f.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) { return rec, true, nil })
		got, created, handled, err := f.Submit(t.Context(), newJob("wk-1"))
		if !handled || !created || err != nil || got.Created != 77 || got.Job.Work != "do this" || len(got.Ranges) != 1 {
			t.Errorf("%+v, created %v, handled %v, %v", got, created, handled, err)
		}
		if got, handled, err := f.Cancel(t.Context(), "wk-2"); !handled || err != nil || got.Tasks != 3 {
			t.Errorf("%+v, handled %v, %v", got, handled, err)
		}
		if fmt.Sprint(f.writer.requests) != "[submit wk-1 cancel wk-2]" || f.opened != 1 {
			t.Errorf("%v on %d streams", f.writer.requests, f.opened)
		}
		for _, want := range []error{admission.ErrRetryLater, admission.ErrCompactionBehind, admission.ErrHistoryUnavailable, admission.ErrUnknownJob, admission.ErrQueueFull, admission.ErrJobTooLarge} {
			f.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) {
				return store.JobRecord{}, false, fmt.Errorf("cause: %w", want)
			})
			if _, _, handled, err := f.Submit(t.Context(), newJob("wk-3")); !handled || !errors.Is(err, want) || errors.Is(err, admission.ErrRetryLater) != errors.Is(want, admission.ErrRetryLater) {
				t.Errorf("%v arrives as %v, handled %v", want, err, handled)
			}
		}
		f.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) {
			return store.JobRecord{}, false, &admission.UnrunnableError{Reason: "unknown team"}
		})
		var unrunnable *admission.UnrunnableError
		if _, _, handled, err := f.Submit(t.Context(), newJob("wk-4")); !handled || !errors.As(err, &unrunnable) || unrunnable.Reason != "unknown team" {
			t.Errorf("%v, handled %v", err, handled)
		}
	})
}

// TestNotHandled checks that a request without an answer is returned to the sender as not handled within
// a bounded time, whatever the cause, and that the peer is then avoided for avoidAfterFailure.
func TestNotHandled(t *testing.T) {
	for name, test := range map[string]struct {
		injectFault func(f *fixture)
		maxWait     time.Duration
	}{
		"no connection": {func(f *fixture) { f.refuseConnections = true }, 0},
		"no answer":     {func(f *fixture) { f.writer.setAnswer(hang) }, answerTimeout},
		"the stream breaks": {func(f *fixture) {
			f.writer.setAnswer(func(ctx context.Context, id string) (store.JobRecord, bool, error) {
				f.writerConn.Close()
				return hang(ctx, id)
			})
		}, 0},
		"a word not understood": {func(f *fixture) { f.writer.setAnswer(nil) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) { return store.JobRecord{}, true, nil })
				if name != "no connection" { // the stream works before the fault
					if _, _, handled, _ := f.Submit(t.Context(), newJob("wk-1")); !handled {
						t.Fatal("not handled without a fault")
					}
				}
				test.injectFault(f)
				job, start := newJob("wk-2"), time.Now()
				if f.writer.answer == nil {
					job.Shape = "none"
				}
				_, _, handled, err := f.Submit(t.Context(), job)
				if took := time.Since(start); handled || err != nil || took > test.maxWait {
					t.Errorf("handled %v, %v after %v", handled, err, took)
				}
				if job.Shape == "none" {
					return // the peer is not at fault
				}
				if f.Counts().Unanswered != 1 || !f.recentlyFailed("c-1") {
					t.Errorf("%+v, avoided: %v", f.Counts(), f.recentlyFailed("c-1"))
				}
				before := f.Counts().Forwarded
				if _, _, handled, _ := f.Submit(t.Context(), newJob("wk-3")); handled || f.Counts().Forwarded != before {
					t.Error("the peer that did not answer was asked again at once")
				}
				time.Sleep(avoidAfterFailure)
				f.refuseConnections = false
				f.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) {
					return store.JobRecord{Tasks: 9}, true, nil
				})
				if rec, _, handled, err := f.Submit(t.Context(), newJob("wk-4")); !handled || err != nil || rec.Tasks != 9 {
					t.Errorf("after avoidAfterFailure: %+v, handled %v, %v", rec, handled, err)
				}
			})
		})
	}
}

func hang(ctx context.Context, _ string) (store.JobRecord, bool, error) {
	<-ctx.Done()
	return store.JobRecord{}, false, ctx.Err()
}

// TestLateAnswer checks that an answer that arrives after its request was abandoned is not delivered to
// a later request, and that a user who disconnects does not cause the peer to be avoided.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.writer.setAnswer(func(ctx context.Context, id string) (store.JobRecord, bool, error) {
			if id == "wk-1" {
				time.Sleep(2 * time.Second)
			}
			return store.JobRecord{Tasks: len(id)}, true, ctx.Err()
		})
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, handled, _ := f.Submit(shortCtx, newJob("wk-1")); handled {
			t.Error("handled before the answer arrived")
		}
		if f.recentlyFailed("c-1") || f.Counts().Unanswered > 0 {
			t.Error("the peer counts as failed because the user disconnected")
		}
		if rec, _, handled, err := f.Submit(t.Context(), newJob("wk-12345")); !handled || err != nil || rec.Tasks != 8 {
			t.Errorf("%+v, handled %v, %v", rec, handled, err)
		}
		time.Sleep(serveTimeout) // until the server has handled the abandoned request
	})
}

// TestOutstandingRequestsBounded checks that a slow writer is sent at most maxOutstanding requests at
// once, and that it is not avoided when further requests are rejected locally.
func TestOutstandingRequestsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.writer.setAnswer(hang)
		var group sync.WaitGroup
		for i := range maxOutstanding + 50 {
			group.Go(func() { _, _, _, _ = f.Submit(t.Context(), newJob(fmt.Sprintf("wk-%06d", i))) })
		}
		synctest.Wait()
		f.writer.mu.Lock()
		requests := len(f.writer.requests)
		f.writer.mu.Unlock()
		if requests > maxOutstanding || f.Counts().Unanswered < 50 || f.recentlyFailed("c-1") {
			t.Errorf("%d requests outstanding at once, %+v, avoided: %v", requests, f.Counts(), f.recentlyFailed("c-1"))
		}
		group.Wait()
	})
}
