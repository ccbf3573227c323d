package admission

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// node is the admission service of one controller with its dependencies, and the state service it uses.
type node struct {
	*Service
	store         *simulator.StateService
	compactor     *archive.Compactor
	stopFollowing func()                // stops updating the view, except by read barriers
	delayOutgoing func(d time.Duration) // delays everything that the controller sends
	delayedWrites *delayedWrites
}

// delayedWrites delays the transactions that arrive on a connection before the state service executes them.
type delayedWrites struct{ delay atomic.Int64 }

// serve returns a server of connections that passes them on to another one, with the delay.
func (s *delayedWrites) serve(to transport.ServeConn) transport.ServeConn {
	return func(ctx context.Context, c transport.Stream) { to(ctx, &delayedStream{c, s}) }
}

type delayedStream struct {
	transport.Stream
	writes *delayedWrites
}

func (c *delayedStream) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	if bytes.HasPrefix(p[:n], []byte("POST "+wire.PathTxn)) {
		time.Sleep(time.Duration(c.writes.delay.Load()))
	}
	return n, err
}

func newNode(t *testing.T, ctx context.Context, net *simulator.Network, s *simulator.StateService, name string, port int) *node {
	log := slog.New(slog.DiscardHandler)
	host := net.Host(name)
	delayed, addr := &delayedWrites{}, simulator.Address("10.2.0.1", port)
	go net.Host("10.2.0.1").Listen(ctx, addr, 0, delayed.serve(s.Serve()))
	synctest.Wait()
	c := store.NewClient(host, addr, 1000, 1000, store.EvenAllowance(1), log)
	v := store.NewView(log)
	r := archive.NewReader(c, 64, log)
	v.Archive = r
	f := store.NewFollower(c, v, log)
	o := &node{store: s, delayedWrites: delayed, Service: &Service{Teams: []config.Team{{Name: "red"}}, Intake: NewIntake(c, name, 8192), Canceller: NewCanceller(c, v, f, 12), View: v, Follower: f,
		History: r, Log: log, MaxBacklog: 100, MachineTypes: func() []wire.MachineType {
			return []wire.MachineType{{Name: "g", CPUs: 8, GPUs: 8, MemoryGB: 64, Zones: []string{"a"}}}
		},
		Writable: func() bool { return true }, OnChange: func() {}}}
	followCtx, cancelFollow := context.WithCancel(ctx)
	o.stopFollowing, o.delayOutgoing = cancelFollow, func(d time.Duration) { net.Hold(name, d) }
	go f.Run(followCtx)
	go f.RunBarriers(ctx)
	go o.Intake.Run(ctx)
	go o.Canceller.Run(ctx)
	time.Sleep(time.Second)
	leader, _ := v.Leader("fleet")
	o.compactor = &archive.Compactor{Store: c, View: v, Follower: f, Reader: r, Log: log, Limits: archive.Limits{ValueBytes: 8192, TxnOps: 12},
		Fence:         wire.Condition{Key: store.LeaderKey("fleet"), Version: leader.Version},
		JobsWithTasks: func() (map[string]bool, bool) { return nil, true }, LeaseValid: func() bool { return true }, Interval: time.Second, MergeThreshold: 0}
	return o
}

// withTwoControllers runs a test on two controllers that share a state service.
func withTwoControllers(t *testing.T, run func(t *testing.T, s *simulator.StateService, a, b *node)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		net, s := simulator.NewNetwork(), simulator.NewStateService(1, 0)
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.LeaderKey("fleet"), Value: store.LeaderRecord{Leader: "a", FencingToken: 1}}}})
		a, b := newNode(t, ctx, net, s, "10.0.0.1", 2379), newNode(t, ctx, net, s, "10.0.0.2", 2380)
		run(t, s, a, b)
		stop()
		net.Close()
		time.Sleep(time.Minute)
	})
}

func job(id string) *wire.Job {
	return &wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img"}
}

// expectStage calls a method for a job, and checks the stage that it returns: "unknown" stands for ErrUnknownJob,
// "later" for any other error.
func (o *node) expectStage(t *testing.T, method, id, want string) {
	t.Helper()
	ctx := t.Context()
	var rec store.JobRecord
	var err error
	switch method {
	case "submit":
		rec, _, err = o.Submit(ctx, job(id))
	case "cancel":
		rec, err = o.Cancel(ctx, id)
	case "status":
		rec, err = o.Status(ctx, id)
	}
	got := string(rec.Stage)
	switch {
	case errors.Is(err, ErrUnknownJob):
		got = "unknown"
	case err != nil:
		got = "later"
	}
	if got != want {
		t.Errorf("%s %s: %s (%v), not %s", method, id, got, err, want)
	}
}

// compact moves all ended jobs into the archive.
func (o *node) compact(t *testing.T) {
	t.Helper()
	_ = o.Follower.Barrier(t.Context())
	for range 20 {
		if _, err := o.compactor.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
	}
	if n := len(o.View.EndedBatches(9, func(*store.Batch) bool { return true })); n > 0 {
		t.Fatalf("%d batches are not compacted", n)
	}
}

// TestLateSubmissionAfterCompaction checks that a delayed copy of a submission does not accept a job again. The
// first copy gets no response and is held up. The user submits the job to another controller, where it is
// cancelled and compacted, so that its keys are absent again when the first copy arrives.
func TestLateSubmissionAfterCompaction(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		s.Configure(func(s *simulator.StateService) {
			s.HoldTxn = func(puts []string) bool { return len(puts) > 0 && strings.Contains(puts[0], "/batch/10.0.0.1") }
		})
		a.expectStage(t, "submit", "wk-1", "later")
		s.Configure(func(s *simulator.StateService) { s.HoldTxn = nil })
		b.expectStage(t, "submit", "wk-1", "pending")
		b.expectStage(t, "cancel", "wk-1", "withdrawn")
		a.compact(t)
		a.expectStage(t, "status", "wk-1", "withdrawn")
		if n := s.ReleaseHeld(); n != 0 {
			t.Errorf("%d late submissions were applied", n)
		}
		for _, o := range []*node{a, b} {
			o.expectStage(t, "status", "wk-1", "withdrawn")
			o.expectStage(t, "submit", "wk-1", "withdrawn") // months later
			o.expectStage(t, "cancel", "wk-1", "withdrawn")
			if _, live := o.View.LiveJob("wk-1"); live {
				t.Error("the job is live again")
			}
			o.expectStage(t, "status", "wk-2", "unknown")
			o.expectStage(t, "cancel", "wk-2", "unknown")
		}
	})
}

// TestFenceAdvancesDuringLookup checks that a job is looked up again instead of being accepted a second time if
// the submission fence advances between its lookup and its write.
func TestFenceAdvancesDuringLookup(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		a.expectStage(t, "submit", "wk-1", "pending")
		b.expectStage(t, "submit", "wk-9", "pending")
		a.expectStage(t, "cancel", "wk-1", "withdrawn")
		// b has looked up its submission before the fence advances, and writes it only afterwards.
		fence := b.View.SubmissionFence().Version
		a.compact(t)
		rec := store.JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: "wk-1", Tasks: 1}}
		if err := b.Intake.Add(t.Context(), "wk-1", rec, fence, nil); err != errFenceAdvanced {
			t.Errorf("the submission returned %v, want errFenceAdvanced", err)
		}
		b.expectStage(t, "submit", "wk-1", "withdrawn")
		b.expectStage(t, "status", "wk-9", "pending")
	})
}

func responseDelay() time.Duration { return 50 * time.Millisecond }

// TestConcurrentCancelsShareChanges checks that queued cancellations of jobs in one batch are written as one
// change, and that each caller still gets its own result.
func TestConcurrentCancelsShareChanges(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for i := range 20 {
			id := fmt.Sprintf("wk-%02d", i)
			rec.Jobs[id] = store.JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
		}
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey("x"), Value: rec}}})
		time.Sleep(time.Second)
		s.Configure(func(s *simulator.StateService) { s.ResponseDelay = responseDelay }) // while the others are queued
		_, before, _ := s.Counts()
		done := make(chan bool)
		for i := range 20 {
			go func() {
				a.expectStage(t, "cancel", fmt.Sprintf("wk-%02d", i), "withdrawn")
				done <- true
			}()
		}
		for range 20 {
			<-done
		}
		if _, n, _ := s.Counts(); n-before > 2 {
			t.Errorf("%d changes for 20 cancellations", n-before)
		}
		b.expectStage(t, "cancel", "wk-07", "withdrawn")
	})
}

// TestConflictingCancelsAreRetried checks that both cancellations succeed if two controllers cancel jobs of one
// batch at the same time: the one whose write conflicts is retried.
func TestConflictingCancelsAreRetried(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for _, id := range []string{"wk-1", "wk-2"} {
			rec.Jobs[id] = store.JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
		}
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey("x"), Value: rec}}})
		time.Sleep(time.Second)
		s.Configure(func(s *simulator.StateService) { s.ResponseDelay = responseDelay })
		done := make(chan bool)
		for i, o := range []*node{a, b} {
			go func() {
				o.expectStage(t, "cancel", fmt.Sprintf("wk-%d", i+1), "withdrawn")
				done <- true
			}()
		}
		<-done
		<-done
		s.Configure(func(s *simulator.StateService) { s.ResponseDelay = nil })
		for _, o := range []*node{a, b} {
			o.expectStage(t, "status", "wk-1", "withdrawn")
			o.expectStage(t, "status", "wk-2", "withdrawn")
		}
	})
}

// TestBacklogIsBounded checks that submissions are rejected at once as retryable while compaction is behind, that
// other requests are still served, and that submissions are accepted again afterwards.
func TestBacklogIsBounded(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for i := range 120 {
			rec.Jobs[fmt.Sprintf("wk-%d", i)] = store.JobRecord{Stage: wire.Done, Tasks: 1, Ended: 1}
		}
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey("x"), Value: rec}}})
		time.Sleep(time.Second)
		started := time.Now()
		a.expectStage(t, "submit", "wk-500", "later")
		if d := time.Since(started); d > 100*time.Millisecond {
			t.Errorf("the submission was rejected only after %v", d)
		}
		a.expectStage(t, "status", "wk-7", "done")
		a.compact(t)
		a.expectStage(t, "submit", "wk-500", "pending")
	})
}

// TestSubmissionToStaleView checks that a controller whose view is stale does not accept a job again, and report
// it as pending, that another controller has accepted and cancelled meanwhile.
func TestSubmissionToStaleView(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		b.stopFollowing()
		a.expectStage(t, "submit", "wk-1", "pending")
		a.expectStage(t, "cancel", "wk-1", "withdrawn")
		time.Sleep(3 * time.Second)
		b.expectStage(t, "submit", "wk-1", "withdrawn")
	})
}

// TestResubmissionToSlightlyStaleView checks the same for a resubmission that follows at once, when the view is
// only as stale as in normal operation.
func TestResubmissionToSlightlyStaleView(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		b.stopFollowing() // as between two watch requests
		_ = b.Follower.Barrier(t.Context())
		a.expectStage(t, "submit", "wk-1", "pending")
		a.expectStage(t, "cancel", "wk-1", "withdrawn")
		b.expectStage(t, "submit", "wk-1", "withdrawn")
	})
}

// submitOvertaken submits a job to b, whose write is delayed by delayWrite, while a accepts and cancels the same
// job. The submission to b must report the job as cancelled.
func submitOvertaken(t *testing.T, a, b *node, delayWrite func()) {
	_ = b.Follower.Barrier(t.Context())
	b.stopFollowing()
	delayWrite()
	submitted := make(chan bool)
	go func() {
		b.expectStage(t, "submit", "wk-1", "withdrawn")
		close(submitted)
	}()
	time.Sleep(100 * time.Millisecond)
	a.expectStage(t, "submit", "wk-1", "pending")
	a.expectStage(t, "cancel", "wk-1", "withdrawn")
	<-submitted
}

// TestResubmissionOvertakenBeforeSend checks that a cancelled job does not become live again if a submission looks
// it up before another controller accepts it, and is sent only after that controller has reported the
// cancellation.
func TestResubmissionOvertakenBeforeSend(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		submitOvertaken(t, a, b, func() { b.delayOutgoing(800 * time.Millisecond) })
		if n := len(s.Page(store.BatchKey(""), "", 0).Items); n != 2 {
			t.Errorf("the job is in %d batches", n)
		}
		for _, o := range []*node{a, b} {
			_ = o.Follower.Barrier(t.Context())
			if _, live := o.View.LiveJob("wk-1"); live {
				t.Error("the job is live again")
			}
		}
	})
}

// TestResubmissionOvertakenInTransit checks the same for a submission that is sent at once but executed late: the
// read barrier that runs beside it shows a state older than what the other controller has reported.
func TestResubmissionOvertakenInTransit(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, _ *simulator.StateService, a, b *node) {
		submitOvertaken(t, a, b, func() { b.delayedWrites.delay.Store(int64(800 * time.Millisecond)) })
	})
}

// TestOlderListAfterOwnWrite checks that requests still report a cancellation if a list that was read before it is
// loaded into the view after it was reported: they read behind a barrier. A launch that is based on the list fails,
// since the state service has a later version of the job's batch.
func TestOlderListAfterOwnWrite(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		a.expectStage(t, "submit", "wk-1", "pending")
		a.expectStage(t, "submit", "wk-2", "pending")
		_ = a.Follower.Barrier(t.Context())
		a.stopFollowing()
		time.Sleep(5 * time.Second) // the last watch request has ended
		list := s.Page(store.StatePrefix, "", 0)
		for i, method := range []string{"status", "submit", "cancel"} {
			if i == 0 {
				a.expectStage(t, "cancel", "wk-1", "withdrawn")
			}
			a.View.Load(list.Items, list.Revision, &wire.WatchResponse{Revision: list.Revision})
			if _, live := a.View.LiveJob("wk-1"); i == 0 && !live {
				t.Error("the view did not load the list")
			}
			a.expectStage(t, method, "wk-1", "withdrawn")
		}
		b.expectStage(t, "status", "wk-1", "withdrawn")
		b.expectStage(t, "status", "wk-2", "pending")
	})
}

// TestUnrunnableReason checks that a job is rejected permanently if no task of it could ever run, or not all
// tasks of a gang or service, and that any other job is accepted.
func TestUnrunnableReason(t *testing.T) {
	service := &Service{Teams: []config.Team{{Name: "red"}, {Name: "blue", CPUsMax: 12, GPUsMax: 0.3}, {Name: "green", GPUsMax: 4}}}
	types := []wire.MachineType{{Name: "small", CPUs: 4, GPUs: 2, MemoryGB: 16, Zones: []string{"a", "b"}}, {Name: "large", CPUs: 8, MemoryGB: 64, Zones: []string{"b"}},
		{Name: "nowhere", CPUs: 64, GPUs: 8, MemoryGB: 512}}
	const limit, size, zone = "over the team's limit", "no allowed machine type is large enough", "all its tasks would have to be in one zone, which may hold half of them"
	for name, x := range map[string]struct {
		change func(j *wire.Job)
		why    string
	}{
		"as it is":                         {func(j *wire.Job) {}, ""},
		"unknown team":                     {func(j *wire.Job) { j.Team = "black" }, "unknown team"},
		"too many CPUs":                    {func(j *wire.Job) { j.CPUs = 9 }, size},
		"too much memory":                  {func(j *wire.Job) { j.MemoryGB = 65 }, size},
		"GPUs of one, CPUs of another":     {func(j *wire.Job) { j.CPUs = 5 }, size},
		"as large as a type":               {func(j *wire.Job) { j.CPUs, j.GPUs, j.MemoryGB = 4, 2, 16 }, ""},
		"unknown type":                     {func(j *wire.Job) { j.Types = []string{"huge"} }, size},
		"a type too small":                 {func(j *wire.Job) { j.Types, j.MemoryGB = []string{"small"}, 17 }, size},
		"of two types one":                 {func(j *wire.Job) { j.Types = []string{"huge", "small"} }, ""},
		"unknown zone":                     {func(j *wire.Job) { j.Zone = "c" }, size},
		"a type of another zone":           {func(j *wire.Job) { j.Types, j.GPUs, j.Zone = []string{"large"}, 0, "a" }, size},
		"a type of no zone":                {func(j *wire.Job) { j.Types = []string{"nowhere"} }, size},
		"a type of no zone, in one":        {func(j *wire.Job) { j.Types, j.Zone = []string{"nowhere"}, "a" }, size},
		"an array over the limit in all":   {func(j *wire.Job) { j.Team, j.Tasks = "green", 100 }, ""},
		"a task over the limit":            {func(j *wire.Job) { j.Team, j.GPUs = "blue", 0.4 }, limit},
		"a gang as large as the limit":     {func(j *wire.Job) { j.Team, j.Shape, j.Tasks, j.CPUs, j.GPUs = "blue", wire.Gang, 3, 4, 0.1 }, ""},
		"a gang over the limit":            {func(j *wire.Job) { j.Team, j.Shape, j.Tasks = "green", wire.Gang, 5 }, limit},
		"a service over the limit of CPUs": {func(j *wire.Job) { j.Team, j.Shape, j.Tasks, j.CPUs, j.GPUs = "blue", wire.Service, 5, 3, 0 }, limit},
		"a gang spread over two zones":     {func(j *wire.Job) { j.Shape, j.Spread, j.Tasks = wire.Gang, true, 5 }, ""},
		"a gang spread in one zone":        {func(j *wire.Job) { j.Shape, j.Spread, j.Tasks, j.Zone = wire.Gang, true, 2, "a" }, zone},
		"a gang spread on a type of one": {func(j *wire.Job) {
			j.Shape, j.Spread, j.Tasks, j.GPUs, j.Types = wire.Gang, true, 2, 0, []string{"large"}
		}, zone},
		"a gang spread and in one zone":   {func(j *wire.Job) { j.Shape, j.Spread, j.OneZone, j.Tasks = wire.Gang, true, true, 2 }, zone},
		"a gang of one, spread in a zone": {func(j *wire.Job) { j.Shape, j.Spread, j.OneZone, j.Zone = wire.Gang, true, true, "b" }, ""},
		"an array spread in one zone":     {func(j *wire.Job) { j.Spread, j.Tasks, j.Zone = true, 5, "a" }, ""}, // half of it at a time
		"half a service in one zone":      {func(j *wire.Job) { j.Shape, j.Spread, j.Tasks, j.Zone = wire.Service, true, 2, "a" }, ""},
		"a gang in one zone of two":       {func(j *wire.Job) { j.Shape, j.OneZone, j.Tasks = wire.Gang, true, 50 }, ""},
	} {
		j := job("wk-1")
		x.change(j)
		if why := service.unrunnableReason(j, types); why != x.why {
			t.Errorf("%s: %q", name, why)
		}
	}
}

// TestResubmissionWithInvalidBody checks that a resubmission whose body would be rejected returns the job that was
// accepted under its ID, whether another controller has just accepted it or it was compacted long ago.
// A repeated cancellation returns that job too.
func TestResubmissionWithInvalidBody(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, _ *simulator.StateService, a, b *node) {
		tooLarge, unknownTeam := job("wk-1"), job("wk-1")
		tooLarge.Image, unknownTeam.Team = strings.Repeat("x", 9000), "blue"
		resubmit := func(want wire.Stage) {
			t.Helper()
			for _, j := range []*wire.Job{tooLarge, unknownTeam} {
				if rec, created, err := b.Submit(t.Context(), j); err != nil || created || rec.Stage != want {
					t.Errorf("resubmission: %s, created %v, error %v", rec.Stage, created, err)
				}
			}
		}
		b.stopFollowing()
		_ = b.Follower.Barrier(t.Context())
		a.expectStage(t, "submit", "wk-1", string(wire.Pending))
		resubmit(wire.Pending)
		a.expectStage(t, "cancel", "wk-1", string(wire.Cancelled))
		a.compact(t)
		time.Sleep(10 * time.Minute)
		resubmit(wire.Cancelled)
		b.expectStage(t, "cancel", "wk-1", string(wire.Cancelled))
	})
}

// TestUnreadableBatchLeavesArchiveReadable checks that jobs in the archive are still found while a batch exists that
// no controller can read, even by a controller that has none of them in memory. A request for an unknown job
// is retryable, since that batch may hold the job.
func TestUnreadableBatchLeavesArchiveReadable(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		a.expectStage(t, "submit", "wk-1", "pending")
		a.expectStage(t, "cancel", "wk-1", "withdrawn")
		a.compact(t)
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey("y"), Value: "garbled"}}})
		time.Sleep(time.Second)
		b.History.(*archive.Reader).Reset()
		b.expectStage(t, "status", "wk-1", "withdrawn")
		b.expectStage(t, "status", "wk-2", "later")
	})
}

// TestPrioritizedSubmissionsAreAdmitted checks that a prioritized submission goes ahead of a full queue, whose last
// submission fails with ErrQueueFull.
func TestPrioritizedSubmissionsAreAdmitted(t *testing.T) {
	in := &Intake{MaxQueue: defaultMaxQueue}
	entries := make([]*submission, defaultMaxQueue)
	for i := range entries {
		entries[i] = &submission{job: fmt.Sprint(i), done: make(chan error, 1)}
		if !in.enqueue(entries[i]) {
			t.Fatal("not admitted")
		}
	}
	if in.enqueue(&submission{job: "one more"}) {
		t.Error("a full queue admits another submission")
	}
	for i := range 2 {
		if !in.enqueue(&submission{job: fmt.Sprint("top-", i), prioritized: true}) {
			t.Error("a prioritized submission is not admitted")
		}
	}
	if in.queue[0].job != "top-0" || in.queue[1].job != "top-1" || in.queue[2] != entries[0] || len(in.queue) != defaultMaxQueue || <-entries[defaultMaxQueue-1].done != ErrQueueFull {
		t.Errorf("the queue begins with %v, %v, %v of %d", in.queue[0].job, in.queue[1].job, in.queue[2].job, len(in.queue))
	}
}

// TestLateSubmissionBeforeFenceAdvance is like TestLateSubmissionAfterCompaction, but the submission fence has not advanced:
// the late copy is applied, since its key is absent again. The compacted record takes precedence: the job does
// not become live again, its reported stage does not change, and it goes into the archive only once the fence
// has advanced.
func TestLateSubmissionBeforeFenceAdvance(t *testing.T) {
	withTwoControllers(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		a.compactor.MergeThreshold = 99
		s.Configure(func(s *simulator.StateService) {
			s.HoldTxn = func(puts []string) bool { return len(puts) > 0 && strings.Contains(puts[0], "/batch/10.0.0.1") }
		})
		a.expectStage(t, "submit", "wk-1", "later")
		s.Configure(func(s *simulator.StateService) { s.HoldTxn = nil })
		b.expectStage(t, "submit", "wk-1", "pending")
		b.expectStage(t, "cancel", "wk-1", "withdrawn")
		a.compact(t)
		if n := s.ReleaseHeld(); n != 1 {
			t.Errorf("%d late submissions were applied", n)
		}
		time.Sleep(time.Second)
		expectCancelled := func() {
			t.Helper()
			for _, o := range []*node{a, b} {
				o.expectStage(t, "status", "wk-1", "withdrawn")
				o.expectStage(t, "submit", "wk-1", "withdrawn")
				if _, live := o.View.LiveJob("wk-1"); live {
					t.Error("the job is live again")
				}
			}
		}
		expectCancelled()
		a.compactor.MergeThreshold = 0
		a.compact(t)
		expectCancelled()
	})
}

// TestReroute checks that Reroute fails the queued jobs with errRerouted, but not those that are being written.
func TestReroute(t *testing.T) {
	in := NewIntake(nil, "c-0-1", 8192)
	results := make(chan error, 3)
	for i := range 3 {
		rec := store.JobRecord{Job: &wire.Job{ID: fmt.Sprint("wk-", i)}}
		go func() { results <- in.Add(t.Context(), rec.Job.ID, rec, 1, nil) }()
	}
	for {
		in.mu.Lock()
		waiting := len(in.queue)
		in.mu.Unlock()
		if waiting == 3 {
			break
		}
		runtime.Gosched()
	}
	writing := in.nextBatch()[:1]
	in.queue = append(in.queue, &submission{job: "wk-9", ctx: t.Context(), done: results})
	in.Reroute()
	if err := <-results; !errors.Is(err, errRerouted) {
		t.Errorf("a queued submission returned %v, want errRerouted", err)
	}
	finish(writing, nil)
	if err := <-results; err != nil {
		t.Errorf("the submission that was being written returned %v", err)
	}
	if len(in.queue) > 0 {
		t.Errorf("%d submissions are still queued", len(in.queue))
	}
}
