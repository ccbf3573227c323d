package load

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// fakeService is three controllers with common knowledge. The last one's answers to polls are delayed,
// or come from a copy that is as old.
type fakeService struct {
	mu     sync.Mutex
	stages map[string][]stageSince
	lag    time.Duration
	stale  bool
}

type stageSince struct {
	stage wire.Stage
	since time.Time
}

func (s *fakeService) set(id string, stage wire.Stage) wire.Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.stages[id]
	if len(l) == 0 || l[len(l)-1].stage == wire.Running && stage != wire.Running {
		s.stages[id] = append(l, stageSince{stage, time.Now()})
	}
	return s.stages[id][len(s.stages[id])-1].stage
}

func (s *fakeService) at(id string, when time.Time) (stage wire.Stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.stages[id] {
		if !x.since.After(when) {
			stage = x.stage
		}
	}
	return stage
}

func (s *fakeService) answer(last bool) func(context.Context, *httpwire.Request) *httpwire.Response {
	return func(_ context.Context, r *httpwire.Request) *httpwire.Response {
		id, _, _ := strings.Cut(strings.TrimPrefix(r.Path, wire.PathJobs+"/"), "/")
		var stage wire.Stage
		switch {
		case r.Path == wire.PathJobs:
			stage = s.set(wire.SubmittedID(r.Body), wire.Running)
		case r.Method == "POST":
			stage = s.set(id, wire.Cancelled)
		case last && s.stale:
			stage = s.at(id, time.Now().Add(-s.lag))
		default:
			if stage = s.at(id, time.Now()); last {
				time.Sleep(s.lag)
			}
		}
		if stage == "" {
			return &httpwire.Response{Status: 404}
		}
		return &httpwire.Response{Status: 200, Body: wire.Encode(wire.JobStatus{ID: id, Stage: stage})}
	}
}

// TestAnswersByRealTime has polls in flight at all controllers while a job is submitted and
// cancelled. Answers that were on their way may be older than others; a controller that answers
// from an old copy is reported.
func TestAnswersByRealTime(t *testing.T) {
	for _, stale := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := simulator.NewNetwork()
			ctx, stop := context.WithCancel(t.Context())
			s := &fakeService{stages: map[string][]stageSince{}, lag: 150 * time.Millisecond, stale: stale}
			r := Runner{Addrs: []string{"10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"}, Prefix: "7", DrainTimeout: time.Minute,
				Caller: &transport.Caller{MaxBody: 1 << 20, Dial: n.Host("10.3.0.1").Dial}, Mix: &Mix{Seed: 1, Duration: 5 * time.Second, PollInterval: time.Second, Classes: []Class{newClass("a")}}}
			r.Mix.Classes[0].JobsPerMinute, r.Mix.Classes[0].CancelShare = 60, 1
			for i, addr := range r.Addrs {
				go n.Host(simulator.HostOf(addr)).Listen(ctx, addr, 0, transport.HTTP(1<<20, time.Minute, s.answer(i == 2)))
			}
			time.Sleep(time.Second)
			r.instructions.ConcurrentReads = true
			var reads sync.WaitGroup
			reads.Go(func() {
				for ctx.Err() == nil {
					time.Sleep(100 * time.Millisecond)
					r.mu.Lock()
					for _, tracked := range r.jobs {
						reads.Go(func() { r.readConcurrently(ctx, tracked) })
					}
					r.mu.Unlock()
				}
			})
			res, err := r.Run(ctx, func(int, int, int) {})
			stop()
			reads.Wait()
			if err != nil || len(res.Open) > 0 || res.Instructions.ConcurrentReads < 100 || res.Classes["a"].Cancelled < 3 {
				t.Errorf("%v, open %v, %+v", err, res.Open, res.Instructions)
			}
			if broken := strings.Join(res.Violations, "\n"); strings.Contains(broken, "went_back") != stale {
				t.Errorf("stale: %v, found %q", stale, broken)
			}
			n.Close()
			time.Sleep(time.Minute)
		})
	}
}
