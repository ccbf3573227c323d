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

// pipe is one end of a connection as a listener has it.
type pipeStream struct{ net.Conn }

func (pipeStream) SetIdle(time.Duration) {}

// answerFunc answers the request for a job.
type answerFunc func(ctx context.Context, id string) (store.JobRecord, bool, error)

// fakeAdmission answers with answer, and records the requests. A test may set another answer while
// a request whose client has given up is still being served.
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

// fixture is a client and the server of a peer.
type fixture struct {
	*Client
	writer            *fakeAdmission
	opened            int
	refuseConnections bool     // connections
	writerConn        net.Conn // the writer's end of the newest one
}

func newFixture(t *testing.T) *fixture {
	log := slog.New(slog.DiscardHandler)
	b := &fixture{writer: &fakeAdmission{}}
	ctx, stop := context.WithCancel(t.Context())
	server := &Server{Admission: b.writer, Log: log}
	b.Client = &Client{Log: log, Writer: func(_ string, avoid func(string) bool) string {
		if avoid("c-1") {
			return ""
		}
		return "c-1"
	}, OpenStream: func(context.Context, string, string) (net.Conn, *gob.Encoder, error) {
		b.opened++
		if b.refuseConnections {
			return nil, nil, errors.New("refused")
		}
		mine, its := net.Pipe()
		b.writerConn = its
		go func() {
			defer its.Close()
			server.Serve(ctx, "c-0", pipeStream{its}, gob.NewDecoder(its))
		}()
		return mine, gob.NewEncoder(mine), nil
	}}
	ran := make(chan struct{})
	go func() { defer close(ran); _ = b.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ran
		if b.writerConn != nil {
			b.writerConn.Close()
		}
	})
	return b
}

func newJob(id string) *wire.Job {
	return &wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 3, CPUs: 1, MemoryGB: 1, Image: "img", EstimateS: 1, Work: "do this"}
}

// TestAnswersReachSender: what a writer answers is what the controller that forwarded the request gets.
func TestAnswersReachSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		rec := store.JobRecord{Stage: wire.Pending, Tasks: 3, Created: 77, Job: newJob("wk-1"), Ranges: []store.ShardRange{{From: 0, To: 3, Shard: "a"}}}
		b.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) { return rec, true, nil })
		got, created, told, err := b.Submit(t.Context(), newJob("wk-1"))
		if !told || !created || err != nil || got.Created != 77 || got.Job.Work != "do this" || len(got.Ranges) != 1 {
			t.Errorf("%+v, created %v, told %v, %v", got, created, told, err)
		}
		if got, told, err := b.Cancel(t.Context(), "wk-2"); !told || err != nil || got.Tasks != 3 {
			t.Errorf("%+v, told %v, %v", got, told, err)
		}
		if fmt.Sprint(b.writer.requests) != "[submit wk-1 cancel wk-2]" || b.opened != 1 {
			t.Errorf("%v by %d streams", b.writer.requests, b.opened)
		}
		for _, want := range []error{admission.ErrRetryLater, admission.ErrCompactionBehind, admission.ErrHistoryUnavailable, admission.ErrUnknownJob, admission.ErrFull, admission.ErrTooLarge} {
			b.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) {
				return store.JobRecord{}, false, fmt.Errorf("because: %w", want)
			})
			if _, _, told, err := b.Submit(t.Context(), newJob("wk-3")); !told || !errors.Is(err, want) || errors.Is(err, admission.ErrRetryLater) != errors.Is(want, admission.ErrRetryLater) {
				t.Errorf("%v arrives as %v, told %v", want, err, told)
			}
		}
		b.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) {
			return store.JobRecord{}, false, &admission.UnrunnableError{Reason: "unknown team"}
		})
		var never *admission.UnrunnableError
		if _, _, told, err := b.Submit(t.Context(), newJob("wk-4")); !told || !errors.As(err, &never) || never.Reason != "unknown team" {
			t.Errorf("%v, told %v", err, told)
		}
	})
}

// TestNotHandled: whatever keeps an answer away, the request is left to whoever forwarded it, soon, and
// the peer is avoided for a while.
func TestNotHandled(t *testing.T) {
	for name, x := range map[string]struct {
		spoil func(b *fixture)
		most  time.Duration
	}{
		"no connection": {func(b *fixture) { b.refuseConnections = true }, 0},
		"no answer":     {func(b *fixture) { b.writer.setAnswer(hang) }, answerTimeout},
		"the stream breaks": {func(b *fixture) {
			b.writer.setAnswer(func(ctx context.Context, id string) (store.JobRecord, bool, error) {
				b.writerConn.Close()
				return hang(ctx, id)
			})
		}, 0},
		"a word not understood": {func(b *fixture) { b.writer.setAnswer(nil) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(t)
				b.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) { return store.JobRecord{}, true, nil })
				if name != "no connection" { // a stream that was good before
					if _, _, told, _ := b.Submit(t.Context(), newJob("wk-1")); !told {
						t.Fatal("not told while all is well")
					}
				}
				x.spoil(b)
				job, begun := newJob("wk-2"), time.Now()
				if b.writer.answer == nil {
					job.Shape = "none"
				}
				_, _, told, err := b.Submit(t.Context(), job)
				if took := time.Since(begun); told || err != nil || took > x.most {
					t.Errorf("told %v, %v after %v", told, err, took)
				}
				if job.Shape == "none" {
					return // nothing is wrong with the peer
				}
				if b.Counts().Unanswered != 1 || !b.recentlyFailed("c-1") {
					t.Errorf("%+v, avoided: %v", b.Counts(), b.recentlyFailed("c-1"))
				}
				before := b.Counts().Forwarded
				if _, _, told, _ := b.Submit(t.Context(), newJob("wk-3")); told || b.Counts().Forwarded != before {
					t.Error("a peer that did not answer is asked again at once")
				}
				time.Sleep(avoidAfterFailure)
				b.refuseConnections = false
				b.writer.setAnswer(func(context.Context, string) (store.JobRecord, bool, error) {
					return store.JobRecord{Tasks: 9}, true, nil
				})
				if rec, _, told, err := b.Submit(t.Context(), newJob("wk-4")); !told || err != nil || rec.Tasks != 9 {
					t.Errorf("after a while: %+v, told %v, %v", rec, told, err)
				}
			})
		})
	}
}

func hang(ctx context.Context, _ string) (store.JobRecord, bool, error) {
	<-ctx.Done()
	return store.JobRecord{}, false, ctx.Err()
}

// TestLateAnswer: the answer to a request that nobody waits for any more is not taken for that to
// another, and what is over in between is not done.
func TestLateAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.writer.setAnswer(func(ctx context.Context, id string) (store.JobRecord, bool, error) {
			if id == "wk-1" {
				time.Sleep(2 * time.Second)
			}
			return store.JobRecord{Tasks: len(id)}, true, ctx.Err()
		})
		soon, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, _, told, _ := b.Submit(soon, newJob("wk-1")); told {
			t.Error("told before the answer")
		}
		if b.recentlyFailed("c-1") || b.Counts().Unanswered > 0 {
			t.Error("the peer is blamed for a user who has gone")
		}
		if rec, _, told, err := b.Submit(t.Context(), newJob("wk-12345")); !told || err != nil || rec.Tasks != 8 {
			t.Errorf("%+v, told %v, %v", rec, told, err)
		}
		time.Sleep(serveTimeout) // the late one ends
	})
}

// TestOutstandingRequestsBounded: a writer that does not keep up is not sent more and more.
func TestOutstandingRequestsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(t)
		b.writer.setAnswer(hang)
		var group sync.WaitGroup
		for i := range maxOutstanding + 50 {
			group.Go(func() { _, _, _, _ = b.Submit(t.Context(), newJob(fmt.Sprintf("wk-%06d", i))) })
		}
		synctest.Wait()
		b.writer.mu.Lock()
		asked := len(b.writer.requests)
		b.writer.mu.Unlock()
		if asked > maxOutstanding || b.Counts().Unanswered < 50 || b.recentlyFailed("c-1") {
			t.Errorf("%d are asked at once, %+v, avoided: %v", asked, b.Counts(), b.recentlyFailed("c-1"))
		}
		group.Wait()
	})
}
