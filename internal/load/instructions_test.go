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

// fakeService emulates three controllers that share their state. The last one delays its responses to polls by lag or,
// if stale is set, responds from a copy of the state that is older by lag.
type fakeService struct {
	mu     sync.Mutex
	stages map[string][]stageSince // by job, in the order of time
	lag    time.Duration
	stale  bool
}

// stageSince is a stage of a job and the time at which it began.
type stageSince struct {
	stage wire.Stage
	since time.Time
}

// set moves a job to a stage, unless it has ended, and returns its resulting stage.
func (s *fakeService) set(id string, stage wire.Stage) wire.Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	stages := s.stages[id]
	if len(stages) == 0 || stages[len(stages)-1].stage == wire.Running && stage != wire.Running {
		s.stages[id] = append(stages, stageSince{stage, time.Now()})
	}
	return s.stages[id][len(s.stages[id])-1].stage
}

// at returns the stage of a job at a time, or an empty string if it did not exist.
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

// answer returns the request handler of a controller.
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

// TestAnswersByRealTime polls all controllers concurrently while jobs are submitted and cancelled. It checks that
// responses which are late but were correct while the request was in flight are accepted, and that a controller which
// responds from a stale copy of the state is reported.
func TestAnswersByRealTime(t *testing.T) {
	for _, stale := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := simulator.NewNetwork()
			ctx, stop := context.WithCancel(t.Context())
			s := &fakeService{stages: map[string][]stageSince{}, lag: 150 * time.Millisecond, stale: stale}
			r := Runner{Addrs: []string{"10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"}, Prefix: "7", DrainTimeout: time.Minute,
				Caller: &transport.Client{MaxBody: 1 << 20, Dial: n.Host("10.3.0.1").Dial}, Mix: &Mix{Seed: 1, Duration: 5 * time.Second, PollInterval: time.Second, Classes: []Class{newClass("a")}}}
			r.Mix.Classes[0].JobsPerMinute, r.Mix.Classes[0].Cancel = 60, 1
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
			if violations := strings.Join(res.Violations, "\n"); strings.Contains(violations, "went_back") != stale {
				t.Errorf("stale: %v, violations %q", stale, violations)
			}
			n.Close()
			time.Sleep(time.Minute)
		})
	}
}
