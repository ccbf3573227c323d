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

// node is a service with all that it needs, and a state service.
type node struct {
	*Service
	store     *simulator.StateService
	compactor *archive.Compactor
	stall     func()                // its view follows no more, but for barriers
	hold      func(d time.Duration) // what it sends leaves late
	slow      *slowWrites
}

// slowWrites has transactions that come on a connection be carried out later than they were sent.
type slowWrites struct{ delay atomic.Int64 }

// serve passes what comes on.
func (s *slowWrites) serve(to transport.ServeConn) transport.ServeConn {
	return func(ctx context.Context, c transport.Stream) { to(ctx, &slowStream{c, s}) }
}

type slowStream struct {
	transport.Stream
	of *slowWrites
}

func (c *slowStream) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	if bytes.HasPrefix(p[:n], []byte("POST "+wire.PathTxn)) {
		time.Sleep(time.Duration(c.of.delay.Load()))
	}
	return n, err
}

func newNode(t *testing.T, ctx context.Context, net *simulator.Network, s *simulator.StateService, name string, port int) *node {
	log := slog.New(slog.DiscardHandler)
	host := net.Host(name)
	slow, addr := &slowWrites{}, simulator.Address("10.2.0.1", port)
	go net.Host("10.2.0.1").Listen(ctx, addr, 0, slow.serve(s.Serve()))
	synctest.Wait()
	c := store.NewClient(host, addr, 1000, 1000, store.EvenAllowance(1), log)
	v := store.NewView(log)
	r := archive.NewReader(c, 64, log)
	v.Archive = r
	f := store.NewFollower(c, v, log)
	o := &node{store: s, slow: slow, Service: &Service{Teams: []config.Team{{Name: "red"}}, Intake: NewIntake(c, name, 8192), Canceller: NewCanceller(c, v, f, 12), View: v, Follow: f,
		History: r, Log: log, MaxBacklog: 100, MachineTypes: func() []wire.MachineType {
			return []wire.MachineType{{Name: "g", CPUs: 8, GPUs: 8, MemoryGB: 64, Zones: []string{"a"}}}
		},
		Writable: func() bool { return true }, OnChange: func() {}}}
	follow, stall := context.WithCancel(ctx)
	o.stall, o.hold = stall, func(d time.Duration) { net.Hold(name, d) }
	go f.Run(follow)
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

// two plays a story with the doors of two controllers.
func two(t *testing.T, play func(t *testing.T, s *simulator.StateService, a, b *node)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		net, s := simulator.NewNetwork(), simulator.NewStateService(1, 0)
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.LeaderKey("fleet"), Value: store.LeaderRecord{Leader: "a", FencingToken: 1}}}})
		a, b := newNode(t, ctx, net, s, "10.0.0.1", 2379), newNode(t, ctx, net, s, "10.0.0.2", 2380)
		play(t, s, a, b)
		stop()
		net.Close()
		time.Sleep(time.Minute)
	})
}

func job(id string) *wire.Job {
	return &wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "img"}
}

func (o *node) ask(t *testing.T, method, id, want string) {
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

// compact moves all ended jobs into the history.
func (o *node) compact(t *testing.T) {
	t.Helper()
	_ = o.Follow.Barrier(t.Context())
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

// TestLateSubmissionAfterFold: a submission that had no answer is held up for
// minutes. Its user has sent it to another controller, the job was cancelled and
// compacted away, so that its keys are absent again when the first copy arrives.
func TestLateSubmissionAfterFold(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		s.Configure(func(s *simulator.StateService) {
			s.HoldTxn = func(puts []string) bool { return len(puts) > 0 && strings.Contains(puts[0], "/batch/10.0.0.1") }
		})
		a.ask(t, "submit", "wk-1", "later")
		s.Configure(func(s *simulator.StateService) { s.HoldTxn = nil })
		b.ask(t, "submit", "wk-1", "pending")
		b.ask(t, "cancel", "wk-1", "withdrawn")
		a.compact(t)
		a.ask(t, "status", "wk-1", "withdrawn")
		if n := s.ReleaseHeld(); n != 0 {
			t.Errorf("%d late submissions were taken", n)
		}
		for _, o := range []*node{a, b} {
			o.ask(t, "status", "wk-1", "withdrawn")
			o.ask(t, "submit", "wk-1", "withdrawn") // months later
			o.ask(t, "cancel", "wk-1", "withdrawn")
			if _, live := o.View.Live("wk-1"); live {
				t.Error("the job is back")
			}
			o.ask(t, "status", "wk-2", "unknown")
			o.ask(t, "cancel", "wk-2", "unknown")
		}
	})
}

// TestGateMovesWhileLookedUp: between the look for a job and its write the gate
// moves; the job is looked up again instead of being accepted a second time.
func TestGateMovesWhileLookedUp(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		a.ask(t, "submit", "wk-1", "pending")
		b.ask(t, "submit", "wk-9", "pending")
		a.ask(t, "cancel", "wk-1", "withdrawn")
		// b's submission was looked up long ago, and goes out only now.
		gate := b.View.SubmissionFence().Version
		a.compact(t)
		rec := store.JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: "wk-1", Tasks: 1}}
		if err := b.Intake.Add(t.Context(), "wk-1", rec, gate, nil); err != errFenceMoved {
			t.Errorf("the submission became %v", err)
		}
		b.ask(t, "submit", "wk-1", "withdrawn")
		b.ask(t, "status", "wk-9", "pending")
	})
}

func slow() time.Duration { return 50 * time.Millisecond }

// TestCancelsShareChanges: cancellations that wait together are one change for
// jobs that were accepted together, each answered for itself.
func TestCancelsShareChanges(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for i := range 20 {
			id := fmt.Sprintf("wk-%02d", i)
			rec.Jobs[id] = store.JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
		}
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey("x"), Value: rec}}})
		time.Sleep(time.Second)
		s.Configure(func(s *simulator.StateService) { s.ResponseDelay = slow }) // in which the others come
		_, before, _ := s.Counts()
		done := make(chan bool)
		for i := range 20 {
			go func() {
				a.ask(t, "cancel", fmt.Sprintf("wk-%02d", i), "withdrawn")
				done <- true
			}()
		}
		for range 20 {
			<-done
		}
		if _, n, _ := s.Counts(); n-before > 2 {
			t.Errorf("%d changes for 20 cancellations", n-before)
		}
		b.ask(t, "cancel", "wk-07", "withdrawn")
	})
}

// TestCancelsRace: two controllers cancel jobs of one batch at the same time;
// whoever is refused makes it again.
func TestCancelsRace(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for _, id := range []string{"wk-1", "wk-2"} {
			rec.Jobs[id] = store.JobRecord{Stage: wire.Pending, Tasks: 1, Job: &wire.Job{ID: id, Tasks: 1}}
		}
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey("x"), Value: rec}}})
		time.Sleep(time.Second)
		s.Configure(func(s *simulator.StateService) { s.ResponseDelay = slow })
		done := make(chan bool)
		for i, o := range []*node{a, b} {
			go func() {
				o.ask(t, "cancel", fmt.Sprintf("wk-%d", i+1), "withdrawn")
				done <- true
			}()
		}
		<-done
		<-done
		s.Configure(func(s *simulator.StateService) { s.ResponseDelay = nil })
		for _, o := range []*node{a, b} {
			o.ask(t, "status", "wk-1", "withdrawn")
			o.ask(t, "status", "wk-2", "withdrawn")
		}
	})
}

// TestBacklogIsBounded: where compaction falls behind, no more jobs are accepted, at
// once and with when to come back; all else is answered, and it recovers.
func TestBacklogIsBounded(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		rec := store.BatchRecord{Jobs: map[string]store.JobRecord{}}
		for i := range 120 {
			rec.Jobs[fmt.Sprintf("wk-%d", i)] = store.JobRecord{Stage: wire.Done, Tasks: 1, Ended: 1}
		}
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey("x"), Value: rec}}})
		time.Sleep(time.Second)
		begun := time.Now()
		a.ask(t, "submit", "wk-500", "later")
		if d := time.Since(begun); d > 100*time.Millisecond {
			t.Errorf("answered after %v", d)
		}
		a.ask(t, "status", "wk-7", "done")
		a.compact(t)
		a.ask(t, "submit", "wk-500", "pending")
	})
}

// TestSubmissionToStaleView: a controller that stood still does not know yet of a job that
// another has accepted and cancelled meanwhile. Sent to it again, the job must not be
// accepted anew and called pending.
func TestSubmissionToStaleView(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		b.stall()
		a.ask(t, "submit", "wk-1", "pending")
		a.ask(t, "cancel", "wk-1", "withdrawn")
		time.Sleep(3 * time.Second)
		b.ask(t, "submit", "wk-1", "withdrawn")
	})
}

// TestRepeatAtOnce: the same within a moment, while the view is as fresh as it mostly is.
func TestRepeatAtOnce(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		b.stall() // as between two of its watches
		_ = b.Follow.Barrier(t.Context())
		a.ask(t, "submit", "wk-1", "pending")
		a.ask(t, "cancel", "wk-1", "withdrawn")
		b.ask(t, "submit", "wk-1", "withdrawn")
	})
}

// overtaken has a job be submitted at b, which is late, and meanwhile be accepted and cancelled at a.
func overtaken(t *testing.T, a, b *node, late func()) {
	_ = b.Follow.Barrier(t.Context())
	b.stall()
	late()
	told := make(chan bool)
	go func() {
		b.ask(t, "submit", "wk-1", "withdrawn")
		close(told)
	}()
	time.Sleep(100 * time.Millisecond)
	a.ask(t, "submit", "wk-1", "pending")
	a.ask(t, "cancel", "wk-1", "withdrawn")
	<-told
}

// TestRepeatOvertakenWhileWritten: a submission is looked up before another controller accepts the
// job, and leaves only after that one has told that it is cancelled.
func TestRepeatOvertakenWhileWritten(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		overtaken(t, a, b, func() { b.hold(800 * time.Millisecond) })
		if n := len(s.Page(store.BatchKey(""), "", 0).Items); n != 2 {
			t.Errorf("the job is in %d batches", n)
		}
		for _, o := range []*node{a, b} {
			_ = o.Follow.Barrier(t.Context())
			if _, live := o.View.Live("wk-1"); live {
				t.Error("the job is back")
			}
		}
	})
}

// TestOvertakenOnItsWay: the same, and the submission leaves at once, with a read beside it, but is
// carried out late: what the read has brought is older than what the other controller has told.
func TestOvertakenOnItsWay(t *testing.T) {
	two(t, func(t *testing.T, _ *simulator.StateService, a, b *node) {
		overtaken(t, a, b, func() { b.slow.delay.Store(int64(800 * time.Millisecond)) })
	})
}

// TestOlderListAfterOwnWrite: a list that was begun before a cancellation is taken in after it was
// told. What is asked next is read behind a barrier, and no launch finds the job's batch as the list shows it.
func TestOlderListAfterOwnWrite(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		a.ask(t, "submit", "wk-1", "pending")
		a.ask(t, "submit", "wk-2", "pending")
		_ = a.Follow.Barrier(t.Context())
		a.stall()
		time.Sleep(5 * time.Second) // its last watch is over
		list := s.Page(store.StatePrefix, "", 0)
		for i, how := range []string{"status", "submit", "cancel"} {
			if i == 0 {
				a.ask(t, "cancel", "wk-1", "withdrawn")
			}
			a.View.Load(list.Items, list.Revision, &wire.WatchResponse{Revision: list.Revision})
			if _, live := a.View.Live("wk-1"); i == 0 && !live {
				t.Error("the list was not taken in")
			}
			a.ask(t, how, "wk-1", "withdrawn")
		}
		b.ask(t, "status", "wk-1", "withdrawn")
		b.ask(t, "status", "wk-2", "pending")
	})
}

// TestNeverRuns: a job is refused for ever where no task of it, or of a gang or service not all of them,
// could ever run, and no other is.
func TestNeverRuns(t *testing.T) {
	d := &Service{Teams: []config.Team{{Name: "red"}, {Name: "blue", CPUsMax: 12, GPUsMax: 0.3}, {Name: "green", GPUsMax: 4}}}
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
		if why := d.unrunnableReason(j, types); why != x.why {
			t.Errorf("%s: %q", name, why)
		}
	}
}

// TestAnotherBody: a submission that comes again with a body that would be refused is that of
// the accepted job, be it accepted elsewhere just now or compacted long ago, and so is a
// cancellation that comes again.
func TestAnotherBody(t *testing.T) {
	two(t, func(t *testing.T, _ *simulator.StateService, a, b *node) {
		large, foreign := job("wk-1"), job("wk-1")
		large.Image, foreign.Team = strings.Repeat("x", 9000), "blue"
		again := func(want wire.Stage) {
			t.Helper()
			for _, j := range []*wire.Job{large, foreign} {
				if rec, created, err := b.Submit(t.Context(), j); err != nil || created || rec.Stage != want {
					t.Errorf("again: %s, %v, %v", rec.Stage, created, err)
				}
			}
		}
		b.stall()
		_ = b.Follow.Barrier(t.Context())
		a.ask(t, "submit", "wk-1", string(wire.Pending))
		again(wire.Pending)
		a.ask(t, "cancel", "wk-1", string(wire.Cancelled))
		a.compact(t)
		time.Sleep(10 * time.Minute)
		again(wire.Cancelled)
		b.ask(t, "cancel", "wk-1", string(wire.Cancelled))
	})
}

// TestDoubtHidesNoHistory: while a batch is there that nobody understands, jobs that were
// compacted before are still answered by a controller that has none of them in memory; what is not known
// may be in that batch.
func TestDoubtHidesNoHistory(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		a.ask(t, "submit", "wk-1", "pending")
		a.ask(t, "cancel", "wk-1", "withdrawn")
		a.compact(t)
		s.Commit(wire.Txn{Then: []wire.Operation{{Put: store.BatchKey("y"), Value: "garbled"}}})
		time.Sleep(time.Second)
		b.History.(*archive.Reader).Reset()
		b.ask(t, "status", "wk-1", "withdrawn")
		b.ask(t, "status", "wk-2", "later")
	})
}

// TestFirstTierIsAdmitted: however many submissions wait, one of the first tier goes before
// them, and the last of them comes back later.
func TestFirstTierIsAdmitted(t *testing.T) {
	in := &Intake{MaxQueue: maxQueue}
	entries := make([]*submission, maxQueue)
	for i := range entries {
		entries[i] = &submission{job: fmt.Sprint(i), done: make(chan error, 1)}
		if !in.enqueue(entries[i]) {
			t.Fatal("not admitted")
		}
	}
	if in.enqueue(&submission{job: "one more"}) {
		t.Error("more than may wait are admitted")
	}
	for i := range 2 {
		if !in.enqueue(&submission{job: fmt.Sprint("top-", i), prioritized: true}) {
			t.Error("the first tier is sent away")
		}
	}
	if in.queue[0].job != "top-0" || in.queue[1].job != "top-1" || in.queue[2] != entries[0] || len(in.queue) != maxQueue || <-entries[maxQueue-1].done != ErrFull {
		t.Errorf("the queue begins with %v, %v, %v of %d", in.queue[0].job, in.queue[1].job, in.queue[2].job, len(in.queue))
	}
}

// TestLateSubmissionBeforeGate: the same, while the gate has not moved: the late copy is taken, for
// its key is absent again. What was compacted goes before it: the job does not come back, is not
// answered otherwise, and goes into the history only once the gate has moved.
func TestLateSubmissionBeforeGate(t *testing.T) {
	two(t, func(t *testing.T, s *simulator.StateService, a, b *node) {
		a.compactor.MergeThreshold = 99
		s.Configure(func(s *simulator.StateService) {
			s.HoldTxn = func(puts []string) bool { return len(puts) > 0 && strings.Contains(puts[0], "/batch/10.0.0.1") }
		})
		a.ask(t, "submit", "wk-1", "later")
		s.Configure(func(s *simulator.StateService) { s.HoldTxn = nil })
		b.ask(t, "submit", "wk-1", "pending")
		b.ask(t, "cancel", "wk-1", "withdrawn")
		a.compact(t)
		if n := s.ReleaseHeld(); n != 1 {
			t.Errorf("%d late submissions were taken", n)
		}
		time.Sleep(time.Second)
		still := func() {
			t.Helper()
			for _, o := range []*node{a, b} {
				o.ask(t, "status", "wk-1", "withdrawn")
				o.ask(t, "submit", "wk-1", "withdrawn")
				if _, live := o.View.Live("wk-1"); live {
					t.Error("the job is back")
				}
			}
		}
		still()
		a.compactor.MergeThreshold = 0
		a.compact(t)
		still()
	})
}

// TestReroute: what waits when another controller is to write it is sent back, what is being written
// is not.
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
		t.Errorf("what waited is told %v", err)
	}
	finish(writing, nil)
	if err := <-results; err != nil {
		t.Errorf("what was being written is told %v", err)
	}
	if len(in.queue) > 0 {
		t.Errorf("%d still wait", len(in.queue))
	}
}
